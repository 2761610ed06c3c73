package claim

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// writeBatch bounds the verdicts in one transaction.
	writeBatch = 16
	// gatherTime is how long a verdict waits for others to be written with it.
	gatherTime = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the wait before a failed write is tried again.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// flushTimeout bounds the writing of what is left at a stop.
	flushTimeout = 3 * time.Second
)

// writeVerdicts is the duty that records in the table how claims ended. It is off the
// request path: until it has written a verdict, other hosts ask this one.
func (c *Registry) writeVerdicts(ctx context.Context) error {
	for {
		first, err := c.ended.Pop(ctx)
		if err != nil {
			break
		}
		c.writeUntilDone(ctx, c.batch(first))
	}
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for c.ended.Len() > 0 && flushCtx.Err() == nil {
		first, err := c.ended.Pop(flushCtx)
		if err != nil {
			break
		}
		c.writeUntilDone(flushCtx, c.batch(first))
	}
	return nil
}

// batch adds to the first record what else ends within the gather time.
func (c *Registry) batch(first *record) []*record {
	batch := []*record{first}
	gathered := time.After(gatherTime)
	for len(batch) < writeBatch {
		select {
		case r := <-c.ended.Items():
			batch = append(batch, r)
		case <-gathered:
			return batch
		}
	}
	return batch
}

// writeUntilDone repeats the writes of a batch, which are idempotent, until
// they took effect. If ctx ends first, the batch waits in the ring again.
func (c *Registry) writeUntilDone(ctx context.Context, batch []*record) {
	backoff := firstBackoff
	for {
		err := c.writeOnce(ctx, batch)
		if err == nil {
			return
		}
		c.log.Info("verdicts cannot be written yet", "count", len(batch), "error", err.Error())
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			for _, r := range batch {
				c.ended.TryPush(r)
			}
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Registry) writeOnce(ctx context.Context, batch []*record) error {
	var tx platform.Transaction
	for _, r := range batch {
		if r.abandoned {
			if err := c.release(ctx, r); err != nil {
				return err
			}
			continue
		}
		value, err := c.encodeRow(r, &r.verdict)
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: r.rowKey, Value: value})
	}
	if len(tx.Writes) > 0 {
		// Only the holder of a claim that is not given up changes its row, so no check is needed.
		if err := c.table.Transact(ctx, tx); err != nil {
			return err
		}
	}
	for _, r := range batch {
		if !r.abandoned {
			c.book.keepUntil(r, c.now().Add(writtenRetention))
		}
	}
	return nil
}

// release marks the row of a given-up claim as free, so that the key can be
// used again after this process has gone. The row is not deleted: its version
// must go on growing, or a slow host could mistake a later claim for this one.
func (c *Registry) release(ctx context.Context, r *record) error {
	rows, err := c.table.Read(ctx, r.rowKey)
	if err != nil {
		return err
	}
	if rows[0].Version == 0 {
		return nil
	}
	found, err := decodeRow(rows[0])
	if err != nil || found.Nonce != r.nonce || found.Verdict != nil {
		return nil //nolint:nilerr // A row that cannot be read is not this claim's.
	}
	free := Verdict{Failure: failure.New(failure.NoUpstream, failure.NotRun, "the request was not dispatched")}
	value, err := c.encodeRow(r, &free)
	if err != nil {
		return err
	}
	err = c.table.Transact(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: r.rowKey, Version: rows[0].Version}},
		Writes: []platform.Write{{Key: r.rowKey, Value: value}},
	})
	if failure.IsKind(err, failure.Conflict) {
		return nil
	}
	return err
}
