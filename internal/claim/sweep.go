package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// sweepInterval is the mean interval at which some host looks for expired rows.
	sweepInterval = time.Minute
	// sweepPage bounds the rows deleted in one transaction.
	sweepPage = 100
	// sweepMargin is how long a row outlives its key: longer than the longest
	// deadline of a request plus the clock difference between hosts.
	sweepMargin = 3 * time.Hour
	// forgetInterval is the interval at which memory is freed.
	forgetInterval = 10 * time.Second
)

// sweep is the duty that deletes the rows of expired dated keys. All hosts
// take turns at random, so that the load on the table does not grow with their number.
func (c *Registry) sweep(ctx context.Context) error {
	for {
		hosts := max(len(c.exchange.Hosts()), 1)
		wait := time.Duration((0.5 + rand.Float64()) * float64(hosts) * float64(sweepInterval))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
		for ctx.Err() == nil {
			deleted, err := c.sweepOnce(ctx)
			if err != nil {
				c.log.Info("expired claims cannot be deleted yet", "error", err.Error())
			}
			if deleted < sweepPage {
				break
			}
		}
	}
}

// sweepOnce deletes the oldest expired rows and returns their number.
func (c *Registry) sweepOnce(ctx context.Context) (int, error) {
	rows, err := c.table.Scan(ctx, datedPrefix, "", sweepPage)
	if err != nil {
		return 0, err
	}
	var tx platform.Transaction
	for _, r := range rows {
		hour, ok := rowHour(r.Key)
		if ok && c.now().Sub(hour.Add(time.Hour)) > c.retention+sweepMargin {
			tx.Writes = append(tx.Writes, platform.Write{Key: r.Key, Delete: true})
		}
	}
	if len(tx.Writes) == 0 {
		return 0, nil
	}
	return len(tx.Writes), c.table.Transact(ctx, tx)
}

// forget is the duty that frees the memory of expired records.
func (c *Registry) forget(ctx context.Context) error {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.book.forget(c.now())
		case <-ctx.Done():
			return nil
		}
	}
}
