package telemetry

import "context"

type firstByteKey struct{}

// WithFirstByte returns a context for an exchange that calls seen when the
// header of its answer has arrived.
func WithFirstByte(ctx context.Context, seen func()) context.Context {
	return context.WithValue(ctx, firstByteKey{}, seen)
}

// FirstByte tells the one who asked for it that the header of an answer has arrived.
func FirstByte(ctx context.Context) {
	if seen, ok := ctx.Value(firstByteKey{}).(func()); ok {
		seen()
	}
}
