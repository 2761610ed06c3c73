package filter

import (
	"context"

	"github.com/samber/do/v2"
)

// Handler serves one request. It fills the request's Answer or Stream, or
// returns a *failure.Error whose outcome covers all attempts at the request.
type Handler func(ctx context.Context, r *Request) error

// Filter is one step of the chain.
type Filter interface {
	// Provision gets the filter's dependencies from the container. It is called once, before Validate.
	Provision(i do.Injector) error
	// Validate checks the provisioned filter.
	Validate() error
	// Handle serves the request, or passes it to next.
	Handle(ctx context.Context, r *Request, next Handler) error
}

// Base is embedded by filters that need no provisioning or checks.
type Base struct{}

// Provision implements Filter.
func (Base) Provision(do.Injector) error { return nil }

// Validate implements Filter.
func (Base) Validate() error { return nil }

// Compose returns a handler that passes requests through the filters in order.
// The last filter must not call its next handler, which is nil.
func Compose(filters ...Filter) Handler {
	var handler Handler
	for i := len(filters) - 1; i >= 0; i-- {
		handler = wrap(filters[i], handler)
	}
	return handler
}

func wrap(f Filter, next Handler) Handler {
	return func(ctx context.Context, r *Request) error { return f.Handle(ctx, r, next) }
}
