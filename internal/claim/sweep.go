package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// sweepInterval is the mean time between two sweeps of the table by any host.
	sweepInterval = time.Minute
	// sweepBatchSize is the maximum number of rows that one transaction deletes.
	sweepBatchSize = 100
	// sweepMargin is how long a row is kept after its key has expired. It exceeds
	// the longest deadline of a request plus the clock difference between hosts.
	sweepMargin = 3 * time.Hour
	// evictInterval is the time between two evictions of expired records from memory.
	evictInterval = 10 * time.Second
)

// runSweep deletes the rows of expired keys with a timestamp from the table until ctx ends.
// Each host sweeps at random intervals in proportion to the number of hosts, so
// the load on the table does not grow with that number.
func (reg *Registry) runSweep(ctx context.Context) error {
	for {
		hosts := max(len(reg.exchange.Hosts()), 1)
		wait := time.Duration((0.5 + rand.Float64()) * float64(hosts) * float64(sweepInterval))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
		for ctx.Err() == nil {
			deleted, err := reg.sweepOnce(ctx)
			if err != nil {
				reg.log.Info("expired claims not deleted from the table", "error", err.Error())
			}
			if err != nil || deleted < sweepBatchSize {
				break
			}
		}
	}
}

// sweepOnce deletes up to sweepBatchSize of the oldest expired rows and returns their
// number. After an error they may be deleted or not.
func (reg *Registry) sweepOnce(ctx context.Context) (int, error) {
	rows, err := reg.table.Scan(ctx, datedPrefix, "", sweepBatchSize)
	if err != nil {
		return 0, err
	}
	var tx platform.Transaction
	for _, r := range rows {
		hour, ok := rowHour(r.Key)
		if ok && reg.now().Sub(hour.Add(time.Hour)) > reg.retention+sweepMargin {
			tx.Writes = append(tx.Writes, platform.Write{Key: r.Key, Delete: true})
		}
	}
	if len(tx.Writes) == 0 {
		return 0, nil
	}
	return len(tx.Writes), reg.table.Transact(ctx, tx)
}

// runEviction removes expired records from memory until ctx ends.
func (reg *Registry) runEviction(ctx context.Context) error {
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			reg.records.evictExpired(reg.now())
		case <-ctx.Done():
			return nil
		}
	}
}
