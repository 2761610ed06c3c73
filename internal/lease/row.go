package lease

import (
	"encoding/json"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// rowPrefix is followed by the shard in the key of a lease's row.
const rowPrefix = "lease/"

// row is the value of a lease's row in the table.
type row struct {
	// Holder is the id of the host that holds the lease, and Incarnation that of
	// its process. After a release all fields but Fence are empty or zero.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token.
	Fence uint64 `json:"fence"`
	// Seq numbers the writes of one process. The process recognises its own rows by it.
	Seq uint64 `json:"seq"`
	// TermMillis is the holder's lease term in milliseconds. Another host must
	// wait at least this long before it takes over.
	TermMillis int64 `json:"term_ms"`
}

func (r row) term() time.Duration { return time.Duration(r.TermMillis) * time.Millisecond }

// observation is a lease's row together with its version at the time of the read.
type observation struct {
	row
	// version is the table's version of the row; zero if there is none.
	version uint64
}

func rowKey(shard string) string { return rowPrefix + shard }

// decodeRow decodes a row as read. A row that does not exist is an observation of version zero.
func decodeRow(got platform.Row) (observation, error) {
	o := observation{version: got.Version}
	if got.Version == 0 {
		return o, nil
	}
	if err := json.Unmarshal(got.Value, &o.row); err != nil {
		return o, failure.Wrap(err, failure.Internal, "", "lease row %s cannot be decoded", got.Key)
	}
	return o, nil
}

// transaction returns a compare-and-swap of a lease's row at version.
func transaction(shard string, version uint64, next row) (platform.Transaction, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return platform.Transaction{}, failure.Wrap(err, failure.Internal, "", "lease row of %s cannot be encoded", shard)
	}
	key := rowKey(shard)
	return platform.Transaction{
		Checks: []platform.Check{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	}, nil
}
