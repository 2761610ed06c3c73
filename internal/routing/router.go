package routing

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// Request describes a request to be routed.
type Request struct {
	// Pool is the name of the service or engine pool.
	Pool string
	// Class selects the queue in which the request waits.
	Class deployment.Class
	// Prefix holds the prompt's engineapi.PrefixBlocks; empty for services.
	Prefix []uint64
	// Tokens is the expected or the longest length of the answer, in tokens; zero if
	// unknown. No filter or scorer of this package uses it.
	Tokens int
	// Avoid lists the ids of upstreams that are used only if no others are
	// eligible, such as those of earlier attempts.
	Avoid []string
	// Tenant and Share order the waiting requests of one class: tenants are
	// served in proportion to their shares. A share of zero counts as one.
	Tenant string
	Share  int
	// Alone prefers a replica with no other requests in flight.
	Alone bool
}

// Result is the result of an attempt on an upstream. It updates the replica's
// concurrency limit and failure backoff.
type Result int

// Results of an attempt.
const (
	// Succeeded means that a complete answer was read.
	Succeeded Result = iota
	// Refused means that the upstream refused work or could not be dialed.
	Refused
	// Failed means that the attempt failed after the upstream may have received the
	// request, for example because the connection broke or the exchange timed out.
	Failed
	// Cancelled means that this host ended the attempt for a reason unrelated to the upstream.
	Cancelled
)

// Reservation is capacity for one request on one upstream. Done must be called
// to release it.
type Reservation interface {
	// Upstream returns the upstream to send the request to.
	Upstream() membership.Upstream
	// Done releases the reservation and records the result. Further calls have no effect.
	Done(result Result)
}

// Router picks upstreams. Errors are *failure.Error: NoUpstream, QueueFull or
// DeadlineExceeded, all with outcome NotRun.
type Router interface {
	// Reserve returns a reservation on a suitable upstream, waiting for free
	// capacity until ctx ends.
	Reserve(ctx context.Context, req Request) (Reservation, error)
}
