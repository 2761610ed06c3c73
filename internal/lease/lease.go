package lease

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// Grant is a held lease.
type Grant struct {
	// Shard is the name of the lease, see WeightsShard and TrainerShard.
	Shard string
	// Fence is the fencing token. It increases with each change of holder.
	Fence uint64
	// Until is when the grant expires: the end of the lease term less the margin.
	Until time.Time
}

// ValidAt reports whether the holder may still act at now. It compares both the
// monotonic and the wall clock, because the monotonic clock may stop while the
// machine is suspended.
func (g Grant) ValidAt(now time.Time) bool {
	return !pause.Passed(g.Until, now)
}

// Holder reports the leases that this host holds.
type Holder interface {
	// Held returns the grant of a shard and whether this host may act under it
	// now. Call it immediately before each order.
	Held(shard string) (Grant, bool)
}
