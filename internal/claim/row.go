package claim

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Keys of the rows of caller-made keys.
const (
	// undatedPrefix is followed by tenant/key. These rows are never deleted.
	undatedPrefix = "claim/"
	// datedPrefix is followed by the hour in which the key was issued, then
	// /tenant/key. These rows are deleted sweepMargin after
	// the key has expired.
	datedPrefix = "claim-dated/"
	// hourLayout formats the hour; it sorts by time.
	hourLayout = "2006010215"
)

// row is the value of a claim's row in the table.
type row struct {
	// HostID and Incarnation name the process that made the claim, and Nonce the claim itself.
	HostID      string      `msgpack:"h"`
	Incarnation string      `msgpack:"i"`
	Nonce       string      `msgpack:"n"`
	Fingerprint Fingerprint `msgpack:"f"`
	// Result is nil until that process has written the result.
	Result *Result `msgpack:"v,omitempty"`
}

// rowKey returns the key of a request's row.
func rowKey(req Request) string {
	if req.Key.Issued.IsZero() {
		return undatedPrefix + req.id()
	}
	return datedPrefix + req.Key.Issued.UTC().Format(hourLayout) + "/" + req.id()
}

// rowHour returns the hour in the key of a dated row, and false if it has none.
func rowHour(key string) (time.Time, bool) {
	if len(key) < len(datedPrefix)+len(hourLayout) {
		return time.Time{}, false
	}
	hour, err := time.Parse(hourLayout, key[len(datedPrefix):len(datedPrefix)+len(hourLayout)])
	return hour, err == nil
}

func (reg *Registry) encodeRow(r *record, res *Result) ([]byte, error) {
	self := reg.exchange.Self()
	value, err := msgpack.Marshal(&row{HostID: self.ID, Incarnation: self.Incarnation, Nonce: r.nonce, Fingerprint: r.fingerprint, Result: res})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "the claim row cannot be encoded")
	}
	return value, nil
}

func decodeRow(stored platform.Row) (row, error) {
	var decoded row
	if err := msgpack.Unmarshal(stored.Value, &decoded); err != nil {
		return row{}, failure.Wrap(err, failure.Internal, failure.Unknown, "the claim row %q cannot be decoded", stored.Key)
	}
	return decoded, nil
}
