// Command lab-2 plays the scripts of the review: it starts hosts of the project as processes, and
// stand-ins of the platform, of replicas and of clients in its own process.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// record is the record of a case.
type record struct {
	started time.Time
	mu      sync.Mutex
	file    *os.File
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// call makes one call on a channel of its own and returns the whole answer.
func call(method, address, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if name := header["Host"]; name != "" {
		req.Host = name
		req.Header.Del("Host")
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// scenario plays a case and reports whether its rule held. An error means that it could not run.
type scenario func(rec *record, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"late-text":   lateText,
	"large-steps": largeSteps,
	"bodies":      bodies,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	play, found := scenarios[*name]
	file, err := os.Create(*path)
	if !found || err != nil {
		fmt.Println("no such case, or no record:", *name, err)
		os.Exit(exitNotRun)
	}
	rec := &record{started: time.Now(), file: file}
	held, err := play(rec, os.Getenv("TROUBLE") != "0")
	code, result := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, result = exitNotRun, "the case could not run: "+err.Error()
	case !held:
		code, result = exitBroken, "the rule was broken"
	}
	rec.note("%s", result)
	_ = file.Close()
	fmt.Println(*name+":", result)
	os.Exit(code)
}
