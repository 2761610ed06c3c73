package scenario

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdEvery waits until every URL has given a matching answer.
func cmdEvery(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: every DURATION REGEXP URL...")
	}
	wait, err := time.ParseDuration(args[0])
	ts.Check(err)
	match := regexp.MustCompile(args[1])
	start := time.Now()
	failures := make(chan error, len(args[2:]))
	for _, url := range args[2:] {
		c := call{method: http.MethodGet, url: url, match: match}
		go func() { failures <- untilMatch(c, start.Add(wait)) }()
	}
	for range args[2:] {
		if err := <-failures; err != nil {
			defer ts.Fatalf("not within %v: %v", wait, err)
		}
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "all matched after %v\n", time.Since(start).Round(time.Millisecond))
}

func untilMatch(c call, deadline time.Time) error {
	for {
		_, err := c.do()
		if err == nil && time.Now().Before(deadline) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %w", c.url, err)
		}
		time.Sleep(pollInterval)
	}
}

// cmdRising requires that a number never decreases within the log of a process.
func cmdRising(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: rising REGEXP NAME...")
	}
	match := regexp.MustCompile(args[0])
	for _, name := range args[1:] {
		last := uint64(0)
		found := 0
		for _, line := range strings.Split(ts.ReadFile(name+".log"), "\n") {
			groups := match.FindStringSubmatch(line)
			if groups == nil {
				continue
			}
			n, err := strconv.ParseUint(groups[1], 10, 64)
			ts.Check(err)
			if n < last {
				ts.Fatalf("%s.log falls from %d to %d: %s", name, last, n, line)
			}
			last = n
			found++
		}
		if found == 0 {
			ts.Fatalf("no line of %s.log matches %q", name, match)
		}
	}
}
