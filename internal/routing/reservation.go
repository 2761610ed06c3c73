package routing

import (
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// reservation implements Reservation.
type reservation struct {
	pool      *pool
	replica   *replica
	class     deployment.Class
	upstream  membership.Upstream
	startedAt time.Time
	once      sync.Once
}

// Upstream implements Reservation.
func (r *reservation) Upstream() membership.Upstream { return r.upstream }

// Done implements Reservation.
func (r *reservation) Done(result Result) {
	r.once.Do(func() { r.pool.release(r, result) })
}
