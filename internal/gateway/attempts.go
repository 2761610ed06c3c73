package gateway

import (
	"strconv"
	"strings"
	"time"
)

// maxLoggedAttempts is the number of attempts that are logged one by one for a request.
const maxLoggedAttempts = 12

// attemptRecord is one attempt at a request. Times are since attemptLog.began.
type attemptRecord struct {
	replica   string
	startedAt time.Duration
	// result is the status of an answer, "whole" for a stream that was read to its end,
	// or the error kind. It is empty until the attempt ends.
	result  string
	endedAt time.Duration
}

// attemptLog records the attempts at a request for the last log line of the request.
type attemptLog struct {
	// began is when the gateway got the request.
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
// replica@start:result@end, for example "e1@0s:queue_full@3ms e2@3ms:200@81ms". An
// attempt without a result yet is logged as "silent".
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
