package claim

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Prefixes of the rows of caller-made keys.
const (
	// undatedPrefix is followed by tenant/key. These rows are kept.
	undatedPrefix = "claim/"
	// datedPrefix is followed by the hour of the key's issue, then tenant/key.
	datedPrefix = "claim-dated/"
	// hourLayout sorts by time.
	hourLayout = "2006010215"
)

// row is the value of a claim's row in the table.
type row struct {
	HostID      string      `msgpack:"h"`
	Incarnation string      `msgpack:"i"`
	Nonce       string      `msgpack:"n"`
	Fingerprint Fingerprint `msgpack:"f"`
	// Verdict is nil until the claim's holder has recorded how it ended.
	Verdict *Verdict `msgpack:"v,omitempty"`
}

func rowKey(u Request) string {
	if u.Key.Issued.IsZero() {
		return undatedPrefix + u.id()
	}
	return datedPrefix + u.Key.Issued.UTC().Format(hourLayout) + "/" + u.id()
}

// rowHour returns the hour in the key of a dated row, and false if there is none.
func rowHour(key string) (time.Time, bool) {
	if len(key) < len(datedPrefix)+len(hourLayout) {
		return time.Time{}, false
	}
	hour, err := time.Parse(hourLayout, key[len(datedPrefix):len(datedPrefix)+len(hourLayout)])
	return hour, err == nil
}

func (c *Registry) encodeRow(r *record, v *Verdict) ([]byte, error) {
	self := c.exchange.Self()
	value, err := msgpack.Marshal(&row{HostID: self.ID, Incarnation: self.Incarnation, Nonce: r.nonce, Fingerprint: r.fingerprint, Verdict: v})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "a claim cannot be encoded")
	}
	return value, nil
}

func decodeRow(stored platform.Row) (row, error) {
	var decoded row
	if err := msgpack.Unmarshal(stored.Value, &decoded); err != nil {
		return row{}, failure.Wrap(err, failure.Internal, failure.Unknown, "the claim row %q cannot be read", stored.Key)
	}
	return decoded, nil
}
