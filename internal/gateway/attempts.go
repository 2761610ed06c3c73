package gateway

import (
	"strconv"
	"strings"
	"time"
)

// maxLoggedAttempts is the number of attempts that are logged one by one for a call.
const maxLoggedAttempts = 12

// attemptRecord is one attempt of a call. Times are since the start of the call.
type attemptRecord struct {
	replica   string
	startedAt time.Duration
	// result is the status, the error kind or "whole"; empty while the attempt runs.
	result  string
	endedAt time.Duration
}

// attemptLog records the attempts of a call for its last log line.
type attemptLog struct {
	// began is the start of the call.
	began    time.Time
	attempts []attemptRecord
	// omitted is the number of attempts beyond maxLoggedAttempts.
	omitted int
}

// begin records the start of an attempt.
func (t *attemptLog) begin(replica string) {
	if len(t.attempts) >= maxLoggedAttempts {
		t.omitted++
		return
	}
	t.attempts = append(t.attempts, attemptRecord{replica: replica, startedAt: time.Since(t.began)})
}

// end records the result of the last unfinished attempt at a replica.
func (t *attemptLog) end(replica, end string) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := &t.attempts[i]; a.replica == replica && a.result == "" {
			a.result, a.endedAt = end, time.Since(t.began)
			return
		}
	}
}

// String returns the attempts in the order of their starts, as
// replica@start:result@end, for example "e1@0s:queue_full@3ms e2@3ms:200@81ms". The
// result of an unfinished attempt is "silent".
func (t *attemptLog) String() string {
	parts := make([]string, 0, len(t.attempts)+1)
	for _, a := range t.attempts {
		end := "silent"
		if a.result != "" {
			end = a.result + "@" + a.endedAt.Round(time.Millisecond).String()
		}
		parts = append(parts, a.replica+"@"+a.startedAt.Round(time.Millisecond).String()+":"+end)
	}
	if t.omitted > 0 {
		parts = append(parts, "and "+strconv.Itoa(t.omitted)+" more")
	}
	return strings.Join(parts, " ")
}
