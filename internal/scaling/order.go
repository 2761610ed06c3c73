package scaling

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
)

// Order sets the number of replicas of one service, failure domain and kind.
type Order struct {
	Service string
	Domain  string
	// Replicas is the desired number; it is absolute, so repeating an order has no effect.
	Replicas int
	// Spot selects replicas that may be reclaimed.
	Spot bool
}

// Orderer sends orders to the control API.
type Orderer interface {
	// Scale sends one order under a grant of the lease rowlease.Scaling. Errors are
	// *failure.Error. Those with outcome NotRun are not executed: CapacityUnavailable if
	// none is available there at the moment, QuotaExceeded if the control API is called
	// too often, LeaseLost if the grant has ended, StaleFencingToken if calls under this
	// token are held back, and UpstreamUnreachable. An order that failed with another
	// outcome may be executed later.
	Scale(ctx context.Context, grant rowlease.Grant, order Order) error
}
