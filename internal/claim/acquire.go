package claim

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// maxAcquireAttempts bounds the writes that try to claim one key. A write is
// repeated after a conflict or a lost reply.
const maxAcquireAttempts = 4

// acquisition is an attempt to claim one key in the table.
type acquisition struct {
	record *record
	// value is the encoded row to write.
	value []byte
	// version is the row version of the abandoned claim to take over; zero to insert.
	version uint64
}

// acquire claims a record's key in the table. It returns nil, nil if this
// process holds the claim, and the result so far if another claim holds the key.
func (reg *Registry) acquire(ctx context.Context, r *record) (*Result, error) {
	value, err := reg.encodeRow(r, nil)
	if err != nil {
		return nil, err
	}
	a := &acquisition{record: r, value: value}
	for range maxAcquireAttempts {
		err := reg.tryWrite(ctx, a)
		if err == nil {
			return nil, nil
		}
		if !failure.IsKind(err, failure.Conflict) && !failure.IsKind(err, failure.StoreInDoubt) {
			return nil, acquireError(err)
		}
		res, held, err := reg.resolve(ctx, a)
		if held || res != nil || err != nil {
			return res, err
		}
	}
	return nil, failure.New(failure.Conflict, failure.Unknown, "the idempotency key is contended")
}

// tryWrite writes this process's claim if the row is still at the version last read.
func (reg *Registry) tryWrite(ctx context.Context, a *acquisition) error {
	err := reg.table.Transact(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: a.record.rowKey, Version: a.version}},
		Writes: []platform.Write{{Key: a.record.rowKey, Value: a.value}},
	})
	if err == nil || failure.IsKind(err, failure.StoreInDoubt) {
		a.record.mayBeInTable = true
	}
	return err
}

// resolve reads a key's row after a conflict or a lost reply. held is true if
// the row has this claim's nonce. If nothing is returned, the write may be
// repeated.
func (reg *Registry) resolve(ctx context.Context, a *acquisition) (res *Result, held bool, err error) {
	rows, err := reg.table.Read(ctx, a.record.rowKey)
	if err != nil {
		return nil, false, acquireError(err)
	}
	if rows[0].Version == 0 {
		a.version = 0
		return nil, false, nil
	}
	found, err := decodeRow(rows[0])
	if err != nil {
		return nil, false, err
	}
	if found.Nonce == a.record.nonce {
		return nil, true, nil
	}
	if found.Fingerprint != a.record.fingerprint {
		return nil, false, keyReused()
	}
	if found.Result != nil && !found.Result.notRun() {
		return found.Result, false, nil
	}
	result, abandoned := Result{}, found.Result != nil
	if !abandoned {
		result, abandoned = reg.queryHolder(ctx, found)
	}
	if abandoned {
		a.version = rows[0].Version
		return nil, false, nil
	}
	return &result, false, nil
}

// acquireError returns the error of a key that could not be claimed. Its outcome
// is unknown: this request was not dispatched, but an earlier one with the same
// key may have been, on any host.
func acquireError(err error) error {
	e := failure.As(err)
	kind := e.Kind
	if kind != failure.StoreInDoubt {
		kind = failure.StoreUnavailable
	}
	return failure.Wrap(err, kind, failure.Unknown, "the idempotency key cannot be claimed now")
}
