// Package tenantquota is the filter that refuses requests of tenants above
// their quota. Requests that another host has forwarded are not counted again.
package tenantquota

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/quota"
)

// Admitter decides on requests by the quota of their tenant.
type Admitter interface {
	// Admit counts one request and returns an error if it is above the quota.
	Admit(tenant deployment.Tenant) error
}

// TenantQuota is the filter.
type TenantQuota struct {
	filter.Base
	admitter Admitter
}

// New returns the filter with an admitter.
func New(admitter Admitter) *TenantQuota { return &TenantQuota{admitter: admitter} }

// Provision implements filter.Filter.
func (f *TenantQuota) Provision(i do.Injector) (err error) {
	f.admitter, err = do.Invoke[*quota.Quota](i)
	return err
}

// Handle implements filter.Filter.
func (f *TenantQuota) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if !r.Forwarded {
		tenant := r.Document.Tenants[r.Tenant]
		tenant.Name = r.Tenant
		if err := f.admitter.Admit(tenant); err != nil {
			return err
		}
	}
	return next(ctx, r)
}
