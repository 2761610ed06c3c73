package platform

import (
	"context"
	"time"
)

// RowID identifies a row of the partitioned row store.
type RowID struct {
	Table string `json:"table"`
	// Part is the partition of the table. A transaction is limited to one part. It
	// may be empty.
	Part string `json:"part"`
	Key  string `json:"key"`
}

// VersionedRow is a row as of a version.
type VersionedRow struct {
	RowID
	Value []byte `json:"value"`
	// Version increases with each write to any row of the store. Zero means that
	// the row does not exist.
	Version uint64 `json:"version"`
	// Deleted is true for a deleted row in a list of changes.
	Deleted bool `json:"deleted,omitempty"`
}

// RowRange selects rows of one part of a table, ordered by key.
type RowRange struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	// From is the first key, To the first key after the range. Empty means unbounded.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Limit is the maximum number of rows; zero means the store's own limit.
	Limit int `json:"limit,omitempty"`
}

// RowPage is a page of rows, all as of the same moment.
type RowPage struct {
	Rows []VersionedRow `json:"rows"`
	// More is true if there are further rows or changes.
	More bool `json:"more"`
	// Version is the newest version of the store or, for changes, the version to
	// continue after.
	Version uint64 `json:"version"`
	// Now is the store clock, which is monotonic, in nanoseconds.
	Now time.Duration `json:"now_ns"`
}

// PartPage is a page with the names of the parts of a table, ordered by name. The
// other fields are as in RowPage.
type PartPage struct {
	Parts   []string      `json:"parts"`
	More    bool          `json:"more"`
	Version uint64        `json:"version"`
	Now     time.Duration `json:"now_ns"`
}

// RowCheck is a condition of a transaction: the row must be at exactly this version.
type RowCheck struct {
	RowID
	// Version zero requires that the row does not exist.
	Version uint64 `json:"version"`
}

// RowWrite sets or deletes one row.
type RowWrite struct {
	RowID
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// RowTransaction applies all writes if all checks pass, and none otherwise. All
// its rows must be in one part.
type RowTransaction struct {
	Checks []RowCheck `json:"checks"`
	Writes []RowWrite `json:"writes"`
}

// CommitResult is the acknowledgement of a transaction.
type CommitResult struct {
	// Version is the version of the written rows.
	Version uint64 `json:"version"`
	// Now is the store clock, which is monotonic, in nanoseconds.
	Now time.Duration `json:"now_ns"`
}

// Limits of one transaction, as specified by the row store.
const (
	MaxTransactionRows  = 100
	MaxTransactionBytes = 1 << 20
)

// RowStore is a row store with conditional writes within a part and a feed of changes.
//
// Errors are *failure.Error: Conflict if a check failed, StoreUnavailable if the
// call had no effect, StoreInDoubt if it may have taken effect or may do so later,
// HistoryLost if the store no longer has the changes after a version.
type RowStore interface {
	Read(ctx context.Context, r RowRange) (RowPage, error)
	// Parts lists the parts of a table that come after the part after, in order.
	Parts(ctx context.Context, table, after string) (PartPage, error)
	// Changes returns the rows of a table that changed after a version. If there are
	// none, it waits up to wait for a change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error)
	Commit(ctx context.Context, tx RowTransaction) (CommitResult, error)
}
