package upstream

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

type dispatchByKey struct{}

// WithDispatchBy returns a context for exchanges that must not send their first
// byte at or after t. The time is checked right before the first write: after a
// pause of the process, for example while dialing, a request whose caller has
// given up is not sent.
func WithDispatchBy(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, dispatchByKey{}, t)
}

// sendDeadlineOf returns the time before which the first byte must be sent: the
// earlier of the dispatch time and the context's deadline; zero if there is none.
func sendDeadlineOf(ctx context.Context) pause.Deadline {
	limit, _ := ctx.Value(dispatchByKey{}).(time.Time)
	if deadline, ok := ctx.Deadline(); ok && (limit.IsZero() || deadline.Before(limit)) {
		limit = deadline
	}
	if limit.IsZero() {
		return pause.Deadline{}
	}
	return pause.DeadlineAfter(time.Until(limit))
}

// maySend reports whether a write is allowed: always after the first byte,
// before it until sendDeadline.
func (c *conn) maySend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent > 0 || c.sendDeadline.IsZero() || !c.sendDeadline.Passed()
}
