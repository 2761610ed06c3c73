package upstream

import "context"

type newConnectionKey struct{}

// WithNewConnection returns a context that makes the client dial a new connection
// for an exchange, for example if its request must not be sent twice: if a pooled
// connection turns out to be dead, it is unknown whether the request arrived, while
// a failed dial proves that it did not.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

func needsNewConnection(ctx context.Context) bool {
	wants, _ := ctx.Value(newConnectionKey{}).(bool)
	return wants
}
