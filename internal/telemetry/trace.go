package telemetry

import "context"

type firstByteKey struct{}

// WithFirstByteHook returns a context for an exchange that calls seen when the
// header of its answer has arrived.
func WithFirstByteHook(ctx context.Context, seen func()) context.Context {
	return context.WithValue(ctx, firstByteKey{}, seen)
}

// CallFirstByteHook tells the one who asked for it that the header of an answer has arrived.
func CallFirstByteHook(ctx context.Context) {
	if seen, ok := ctx.Value(firstByteKey{}).(func()); ok {
		seen()
	}
}
