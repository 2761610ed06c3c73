package claim

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// writeBatchSize is the maximum number of results that one transaction writes.
	writeBatchSize = 16
	// batchDelay is how long a result waits for others to be written in the same transaction.
	batchDelay = 100 * time.Millisecond
	// firstBackoff is the wait before a failed write is retried. It doubles with
	// each failure, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// flushTimeout bounds the time to write the remaining results when the host stops.
	flushTimeout = 3 * time.Second
)

// writeResults writes the results of finished claims to the table until ctx ends,
// then flushes the remaining ones. It runs outside the request path: until a
// result is written, other hosts get it from this one by methodOutcome.
func (reg *Registry) writeResults(ctx context.Context) error {
	for {
		first, err := reg.unwritten.Pop(ctx)
		if err != nil {
			break
		}
		reg.writeWithRetry(ctx, reg.collectBatch(first))
	}
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for reg.unwritten.Len() > 0 && flushCtx.Err() == nil {
		first, err := reg.unwritten.Pop(flushCtx)
		if err != nil {
			break
		}
		reg.writeWithRetry(flushCtx, reg.collectBatch(first))
	}
	return nil
}

// collectBatch returns the first record and those that follow in the queue within batchDelay,
// up to writeBatchSize in total.
func (reg *Registry) collectBatch(first *record) []*record {
	batch := []*record{first}
	gathered := time.After(batchDelay)
	for len(batch) < writeBatchSize {
		select {
		case r := <-reg.unwritten.Items():
			batch = append(batch, r)
		case <-gathered:
			return batch
		}
	}
	return batch
}

// writeWithRetry repeats the writes of a batch, which are idempotent, until they
// succeed. If ctx ends first, the batch is put back into the queue.
func (reg *Registry) writeWithRetry(ctx context.Context, batch []*record) {
	backoff := firstBackoff
	for {
		err := reg.writeOnce(ctx, batch)
		if err == nil {
			return
		}
		reg.log.Info("results of claims not written to the table, retrying", "count", len(batch), "error", err.Error())
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			for _, r := range batch {
				reg.unwritten.TryPush(r)
			}
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// writeOnce writes the results of a batch in one transaction and releases the rows of abandoned claims.
func (reg *Registry) writeOnce(ctx context.Context, batch []*record) error {
	var tx platform.Transaction
	for _, r := range batch {
		if r.abandoned {
			if err := reg.releaseRow(ctx, r); err != nil {
				return err
			}
			continue
		}
		value, err := reg.encodeRow(r, &r.result)
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: r.rowKey, Value: value})
	}
	if len(tx.Writes) > 0 {
		// No check is needed: only the process that made a claim writes its row, unless it abandoned the claim.
		if err := reg.table.Transact(ctx, tx); err != nil {
			return err
		}
	}
	for _, r := range batch {
		if !r.abandoned {
			reg.records.setExpiry(r, reg.now().Add(writtenKeyRetention))
		}
	}
	return nil
}

// releaseRow marks the row of an abandoned claim as not run, which lets the key
// be claimed again after this process has stopped. The row is not deleted,
// because its version must keep growing: otherwise a slow host could mistake a
// later claim for this one.
func (reg *Registry) releaseRow(ctx context.Context, r *record) error {
	rows, err := reg.table.Read(ctx, r.rowKey)
	if err != nil {
		return err
	}
	if rows[0].Version == 0 {
		return nil
	}
	found, err := decodeRow(rows[0])
	if err != nil || found.Nonce != r.nonce || found.Result != nil {
		return nil //nolint:nilerr // A row that cannot be decoded is not this claim's.
	}
	free := Result{Failure: failure.New(failure.NoUpstream, failure.NotRun, "the request was not dispatched")}
	value, err := reg.encodeRow(r, &free)
	if err != nil {
		return err
	}
	err = reg.table.Transact(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: r.rowKey, Version: rows[0].Version}},
		Writes: []platform.Write{{Key: r.rowKey, Value: value}},
	})
	if failure.IsKind(err, failure.Conflict) {
		return nil
	}
	return err
}
