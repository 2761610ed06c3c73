package lease

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// Grant is a held lease.
type Grant struct {
	// Shard is the name of the lease.
	Shard string
	// Fence grows with each change of holder.
	Fence uint64
	// Until is the time on this host's monotonic clock at which the holder must have stopped; the margin is already taken off.
	Until time.Time
}

// ValidAt reports whether the holder may still act at now, by both clocks.
func (g Grant) ValidAt(now time.Time) bool {
	return !pause.Passed(g.Until, now)
}

// Holder tells controllers whether this host holds a shard.
type Holder interface {
	// Held returns the grant of a shard, and whether this host may act under it
	// now. Call it right before each order.
	Held(shard string) (Grant, bool)
}
