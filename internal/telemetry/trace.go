package telemetry

import "context"

type firstByteKey struct{}

// WithFirstByteHook returns a context with a hook that is called when the header of
// an upstream's answer has arrived.
func WithFirstByteHook(ctx context.Context, hook func()) context.Context {
	return context.WithValue(ctx, firstByteKey{}, hook)
}

// CallFirstByteHook calls the hook of ctx, if it has one.
func CallFirstByteHook(ctx context.Context) {
	if hook, ok := ctx.Value(firstByteKey{}).(func()); ok {
		hook()
	}
}
