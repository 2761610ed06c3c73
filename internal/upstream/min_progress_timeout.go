package upstream

import (
	"context"
	"time"
)

type minProgressTimeoutKey struct{}

// WithMinProgressTimeout returns a context for exchanges with a progress timeout
// of at least d on newly dialed connections. It is for attempts that gain little
// or nothing by an early timeout, such as those of requests that cannot be repeated.
func WithMinProgressTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, minProgressTimeoutKey{}, d)
}

// progressTimeoutOf returns the progress timeout on a new connection, whose
// default is progress.
func progressTimeoutOf(ctx context.Context, progress time.Duration) time.Duration {
	d, _ := ctx.Value(minProgressTimeoutKey{}).(time.Duration)
	return max(d, progress)
}
