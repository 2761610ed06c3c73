// Package authenticate is the filter that finds the tenant of a request by its
// bearer token.
package authenticate

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

// Authenticate is the filter. It refuses requests without the token of a tenant,
// and passes on those that another host has authenticated and forwarded.
type Authenticate struct{ filter.Base }

// Handle implements filter.Filter.
func (Authenticate) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if r.Forwarded {
		return next(ctx, r)
	}
	name, err := Tenant(r.Document, string(r.Inbound.Header.Peek(bearer.HeaderAuthorization)))
	if err != nil {
		return err
	}
	r.Tenant = name
	return next(ctx, r)
}

// Tenant returns the name of the tenant whose token is in an Authorization
// header. It fails with Unauthorized if there is none.
func Tenant(doc *deployment.Document, header string) (string, error) {
	return bearer.Authenticate(header, func(token bearer.Token) (string, bool) {
		for name, tenant := range doc.Tenants {
			if token.Matches(tenant.TokenSHA256) {
				return name, true
			}
		}
		return "", false
	})
}
