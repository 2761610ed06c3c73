package upstream

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

type dispatchByKey struct{}

// WithDispatchBy returns a context for exchanges that must not send their first
// byte at or after t. It is checked right before the first write, so that a
// process that was paused, for example while it dialed, does not run a request
// that its caller has given up.
func WithDispatchBy(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, dispatchByKey{}, t)
}

// sendLimit returns the time by which the first byte must be sent; zero if there is none.
func sendLimit(ctx context.Context) time.Time {
	limit, _ := ctx.Value(dispatchByKey{}).(time.Time)
	if deadline, ok := ctx.Deadline(); ok && (limit.IsZero() || deadline.Before(limit)) {
		return deadline
	}
	return limit
}

// mayBegin reports whether the first byte of an exchange may still be sent.
func (c *conn) mayBegin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent > 0 || c.sendBy.IsZero() || !pause.Passed(c.sendBy, time.Now())
}
