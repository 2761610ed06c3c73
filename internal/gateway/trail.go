package gateway

import (
	"strconv"
	"strings"
	"time"
)

// trailLength bounds the attempts that a call's last line names.
const trailLength = 12

// ask is one attempt of a call.
type ask struct {
	replica string
	asked   time.Duration
	// end is how the attempt ended; empty while it runs.
	end   string
	ended time.Duration
}

// trail is what the attempts of one call brought, for its last log line.
type trail struct {
	began time.Time
	asks  []ask
	more  int
}

// begin records the start of an attempt.
func (t *trail) begin(replica string) {
	if len(t.asks) >= trailLength {
		t.more++
		return
	}
	t.asks = append(t.asks, ask{replica: replica, asked: time.Since(t.began)})
}

// end records the end of the latest attempt at a replica.
func (t *trail) end(replica, end string) {
	for i := len(t.asks) - 1; i >= 0; i-- {
		if s := &t.asks[i]; s.replica == replica && s.end == "" {
			s.end, s.ended = end, time.Since(t.began)
			return
		}
	}
}

// String returns the attempts in the order of their starts, such as
// "e1@0s:queue_full@3ms e2@3ms:200@81ms"; one that has not ended is "silent".
func (t *trail) String() string {
	parts := make([]string, 0, len(t.asks)+1)
	for _, s := range t.asks {
		end := "silent"
		if s.end != "" {
			end = s.end + "@" + s.ended.Round(time.Millisecond).String()
		}
		parts = append(parts, s.replica+"@"+s.asked.Round(time.Millisecond).String()+":"+end)
	}
	if t.more > 0 {
		parts = append(parts, "and "+strconv.Itoa(t.more)+" more")
	}
	return strings.Join(parts, " ")
}
