package scenario

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// cmdRuns requires N executions of an idempotency key in the upstream records in
// FILE..., saved from the output of http.
func cmdRuns(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: runs N KEY FILE...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	for _, name := range args[2:] {
		_, body, _ := strings.Cut(ts.ReadFile(name), "\n\n")
		if _, after, ok := strings.Cut(body, "\r\n\n"); ok {
			body = after
		}
		var record standinapi.LogResponse
		ts.Check(json.Unmarshal([]byte(body), &record))
		for _, e := range record.Entries {
			if e.Event == "run" && e.Key == args[1] {
				got++
			}
		}
	}
	if got != want {
		ts.Fatalf("key %s ran %d times, want %d", args[1], got, want)
	}
}

// exitTimeout is the time that a process may take to exit after closing its sockets.
const exitTimeout = 5 * time.Second

// cmdAlive requires that exactly N of the processes still run. It waits up to
// exitTimeout for processes that are about to exit.
func cmdAlive(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: alive N NAME...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	deadline := time.Now().Add(exitTimeout)
	alive := runningProcesses(ts, args[1:])
	for len(alive) > want && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
		alive = runningProcesses(ts, args[1:])
	}
	if len(alive) != want {
		ts.Fatalf("%d processes run, want %d: %s", len(alive), want, strings.Join(alive, " "))
	}
}

func runningProcesses(ts *testscript.TestScript, names []string) []string {
	var alive []string
	for _, name := range names {
		select {
		case <-findProcess(ts, name).exited:
		default:
			alive = append(alive, name)
		}
	}
	return alive
}
