package gateway

import (
	"strconv"
	"strings"
	"time"
)

// maxLoggedAttempts bounds the attempts that a call's last line names.
const maxLoggedAttempts = 12

// attemptRecord is one attempt of a call.
type attemptRecord struct {
	replica   string
	startedAt time.Duration
	// result is how the attempt ended; empty while it runs.
	result  string
	endedAt time.Duration
}

// attemptLog is what the attempts of one call brought, for its last log line.
type attemptLog struct {
	began    time.Time
	attempts []attemptRecord
	omitted  int
}

// begin records the start of an attempt.
func (t *attemptLog) begin(replica string) {
	if len(t.attempts) >= maxLoggedAttempts {
		t.omitted++
		return
	}
	t.attempts = append(t.attempts, attemptRecord{replica: replica, startedAt: time.Since(t.began)})
}

// end records the end of the latest attempt at a replica.
func (t *attemptLog) end(replica, end string) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := &t.attempts[i]; a.replica == replica && a.result == "" {
			a.result, a.endedAt = end, time.Since(t.began)
			return
		}
	}
}

// String returns the attempts in the order of their starts, such as
// "e1@0s:queue_full@3ms e2@3ms:200@81ms"; one that has not ended is "silent".
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
