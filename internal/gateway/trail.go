package gateway

import (
	"strconv"
	"strings"
	"time"
)

// trailLength bounds the attempts that a call's last line names.
const trailLength = 12

// trail is what the attempts of one call brought, for its last log line.
type trail struct {
	began time.Time
	parts []string
	more  int
}

// add records the end of an attempt.
func (t *trail) add(replica, end string) {
	if len(t.parts) >= trailLength {
		t.more++
		return
	}
	t.parts = append(t.parts, replica+":"+end+"@"+time.Since(t.began).Round(time.Millisecond).String())
}

// String returns the attempts in order, such as "e1:queue_full@3ms e2:whole@81ms".
func (t *trail) String() string {
	text := strings.Join(t.parts, " ")
	if t.more > 0 {
		text += " and " + strconv.Itoa(t.more) + " more"
	}
	return text
}
