package upstream

import "context"

// SmallAnswerBytes bounds the body of an answer that reports on an upstream, confirms an order,
// scores a text or says why a run failed. A report on 500 models with 10 adapters each has less.
const SmallAnswerBytes = 256 << 10

type maxAnswerKey struct{}

// WithMaxAnswer returns a context for exchanges whose answer may have a body of at most n bytes,
// as far as it is not streamed.
func WithMaxAnswer(ctx context.Context, n int) context.Context {
	return context.WithValue(ctx, maxAnswerKey{}, n)
}

// maxAnswerOf returns the size of the largest body in bytes.
func maxAnswerOf(ctx context.Context) int {
	if n, ok := ctx.Value(maxAnswerKey{}).(int); ok {
		return min(n, maxAnswerBytes)
	}
	return maxAnswerBytes
}
