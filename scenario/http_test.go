package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const callTimeout = 40 * time.Second

// call is a parsed http command.
type call struct {
	method, url, body string
	header            http.Header
	status            int
	match             *regexp.Regexp
	saveVar           string
	save              *regexp.Regexp
}

func parseCall(ts *testscript.TestScript, args []string) call {
	if len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [-H 'K: V'] [-d BODY] [-status N] [-match REGEXP] [-save VAR REGEXP]")
	}
	c := call{method: args[0], url: args[1], header: http.Header{}}
	for rest := args[2:]; len(rest) > 0; {
		switch flag := rest[0]; flag {
		case "-H":
			name, value, _ := strings.Cut(rest[1], ": ")
			c.header.Set(name, value)
		case "-d":
			c.body = rest[1]
			if path, ok := strings.CutPrefix(rest[1], "@"); ok {
				c.body = ts.ReadFile(path)
			}
		case "-status":
			status, err := strconv.Atoi(rest[1])
			ts.Check(err)
			c.status = status
		case "-match":
			c.match = regexp.MustCompile(rest[1])
		case "-save":
			c.saveVar, c.save = rest[1], regexp.MustCompile(rest[2])
			rest = rest[1:]
		default:
			ts.Fatalf("http: unknown flag %s", flag)
		}
		rest = rest[2:]
	}
	return c
}

// do makes the call and returns "STATUS\nheaders\n\nbody". A status or body other than
// expected is an error.
func (c call) do() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return "", err
	}
	req.Header = c.header
	req.Host = c.header.Get("Host")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%d\n", resp.StatusCode)
	_ = resp.Header.Write(&text)
	text.WriteString("\n")
	text.Write(body)
	text.WriteString("\n")
	if c.status != 0 && resp.StatusCode != c.status {
		return text.String(), fmt.Errorf("status %d, want %d:\n%s", resp.StatusCode, c.status, text.String())
	}
	if c.match != nil && !c.match.Match(text.Bytes()) {
		return text.String(), fmt.Errorf("no match for %q:\n%s", c.match, text.String())
	}
	return text.String(), nil
}

func (c call) saveTo(ts *testscript.TestScript, text string) {
	if c.save == nil {
		return
	}
	groups := c.save.FindStringSubmatch(text)
	if len(groups) < 2 {
		ts.Fatalf("-save %s: no match for %q in:\n%s", c.saveVar, c.save, text)
	}
	ts.Setenv(c.saveVar, groups[1])
}

func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	c := parseCall(ts, args)
	text, err := c.do()
	_, _ = io.WriteString(ts.Stdout(), text)
	if neg {
		if err == nil {
			ts.Fatalf("unexpected success:\n%s", text)
		}
		return
	}
	ts.Check(err)
	c.saveTo(ts, text)
}

func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: until DURATION http|exec ...")
	}
	wait, err := time.ParseDuration(args[0])
	ts.Check(err)
	deadline := time.Now().Add(wait)
	attempt := untilAttempt(ts, args[1], args[2:])
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("not within %v: %v", wait, err)
		}
		time.Sleep(pollInterval)
	}
}

func untilAttempt(ts *testscript.TestScript, verb string, args []string) func() error {
	switch verb {
	case "http":
		c := parseCall(ts, args)
		return func() error {
			text, err := c.do()
			if err == nil {
				c.saveTo(ts, text)
			}
			return err
		}
	case "exec":
		return func() error {
			return ts.Exec(args[0], args[1:]...)
		}
	default:
		ts.Fatalf("until: unknown verb %s", verb)
		return nil
	}
}

func cmdNever(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 || args[1] != "http" {
		ts.Fatalf("usage: never DURATION http ... -match REGEXP")
	}
	wait, err := time.ParseDuration(args[0])
	ts.Check(err)
	c := parseCall(ts, args[2:])
	if c.match == nil {
		ts.Fatalf("never: -match is required")
	}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if text, err := c.do(); err == nil {
			ts.Fatalf("matched %q:\n%s", c.match, text)
		}
	}
}

func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 || (args[2] != "on" && args[2] != "off") {
		ts.Fatalf("usage: fault ADDRESS KIND on|off [delay=MS] [match=TEXT] [count=N] [bytes=N]")
	}
	fault := standinapi.Fault{Kind: standinapi.FaultKind(args[1]), On: args[2] == "on"}
	for _, arg := range args[3:] {
		name, value, _ := strings.Cut(arg, "=")
		if name == "match" {
			fault.Match = value
			continue
		}
		n, err := strconv.Atoi(value)
		ts.Check(err)
		switch name {
		case "delay":
			fault.DelayMillis = int64(n)
		case "count":
			fault.Count = n
		case "bytes":
			fault.Bytes = n
		default:
			ts.Fatalf("fault: unknown option %s", name)
		}
	}
	body, err := json.Marshal(fault)
	ts.Check(err)
	c := call{method: http.MethodPost, url: "http://" + args[0] + standinapi.PathFault, body: string(body), status: http.StatusOK}
	_, err = c.do()
	ts.Check(err)
}

var normalisations = []struct {
	pattern *regexp.Regexp
	word    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`127\.0\.0\.1:[0-9]+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+(Z|[+-][0-9:]+)`), "TIME"},
	{regexp.MustCompile(`[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9:]{8} GMT`), "DATE"},
	{regexp.MustCompile(`("(?:created|at_ms|ttl_ms|accepted_at|published_at)":) ?[0-9]+`), "${1}N"},
	{regexp.MustCompile(`\b[0-9a-f]{16,64}\b`), "HEX"},
}

func cmdNormalise(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: normalise IN OUT")
	}
	text := ts.ReadFile(args[0])
	for _, n := range normalisations {
		text = n.pattern.ReplaceAllString(text, n.word)
	}
	text = strings.ReplaceAll(text, "\r", "")
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
