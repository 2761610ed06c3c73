package claim

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// maxRounds bounds the attempts to claim a key, each of which met a change of its row.
const maxRounds = 4

// attempt is the state of acquiring one key.
type attempt struct {
	record *record
	value  []byte
	// version is that of the given-up claim to take over; zero to insert.
	version uint64
}

// acquire claims a record's key in the table. It returns nil, nil once this
// process holds the claim, and the verdict if another claim holds the key.
func (c *Registry) acquire(ctx context.Context, r *record) (*Verdict, error) {
	value, err := c.encodeRow(r, nil)
	if err != nil {
		return nil, err
	}
	a := &attempt{record: r, value: value}
	for range maxRounds {
		err := c.write(ctx, a)
		if err == nil {
			return nil, nil
		}
		if !failure.IsKind(err, failure.Conflict) && !failure.IsKind(err, failure.StoreInDoubt) {
			return nil, unclaimed(err)
		}
		v, held, err := c.resolve(ctx, a)
		if held || v != nil || err != nil {
			return v, err
		}
	}
	return nil, failure.New(failure.Conflict, failure.Unknown, "the idempotency key is contended")
}

// write tries to put this host's claim in place of the version last seen.
func (c *Registry) write(ctx context.Context, a *attempt) error {
	err := c.table.Transact(ctx, platform.Transaction{
		Checks: []platform.Check{{Key: a.record.rowKey, Version: a.version}},
		Writes: []platform.Write{{Key: a.record.rowKey, Value: a.value}},
	})
	if err == nil || failure.IsKind(err, failure.StoreInDoubt) {
		a.record.inserted = true
	}
	return err
}

// resolve reads a key's row after a conflict or a lost reply. Without a result
// another write may be tried. The nonce tells this host's claim from others'.
func (c *Registry) resolve(ctx context.Context, a *attempt) (v *Verdict, held bool, err error) {
	rows, err := c.table.Read(ctx, a.record.rowKey)
	if err != nil {
		return nil, false, unclaimed(err)
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
	if found.Verdict != nil && !found.Verdict.notRun() {
		return found.Verdict, false, nil
	}
	verdict, abandoned := Verdict{}, found.Verdict != nil
	if !abandoned {
		verdict, abandoned = c.consult(ctx, found)
	}
	if abandoned {
		a.version = rows[0].Version
		return nil, false, nil
	}
	return &verdict, false, nil
}

// unclaimed reports that a key could not be claimed. This use was not
// dispatched, but an earlier one may have been, on any host.
func unclaimed(err error) error {
	e := failure.As(err)
	kind := e.Kind
	if kind != failure.StoreInDoubt {
		kind = failure.StoreUnavailable
	}
	return failure.Wrap(err, kind, failure.Unknown, "the idempotency key cannot be claimed now")
}
