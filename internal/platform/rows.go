package platform

import (
	"context"
	"time"
)

// RowID names one row of the partitioned row service.
type RowID struct {
	Table string `json:"table"`
	// Part groups the rows that one transaction may change together; it may be empty.
	Part string `json:"part"`
	Key  string `json:"key"`
}

// VersionedRow is one row as it stood at a version.
type VersionedRow struct {
	RowID
	Value []byte `json:"value"`
	// Version grows with each write, over all rows. Zero means that the row does not exist.
	Version uint64 `json:"version"`
	// Deleted marks, in a list of changes, a row that was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// RowRange selects rows of one part of a table, in the order of their keys.
type RowRange struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	// From is the first key and To the key behind the last one; empty does not bound.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Limit bounds the number of rows; zero leaves it to the service.
	Limit int `json:"limit,omitempty"`
}

// RowPage is an answer with rows as of one moment.
type RowPage struct {
	Rows []VersionedRow `json:"rows"`
	// More is true if the range or the changes go on.
	More bool `json:"more"`
	// Version is the newest version of the service, or the one from which to ask for further changes.
	Version uint64 `json:"version"`
	// Now is the service's steady clock.
	Now time.Duration `json:"now_ns"`
}

// PartPage is an answer with the parts of a table.
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

// RowTransaction applies all writes if all checks hold, and none otherwise. All
// its rows share one part.
type RowTransaction struct {
	Checks []RowCheck `json:"checks"`
	Writes []RowWrite `json:"writes"`
}

// CommitResult is the acknowledgement of a transaction.
type CommitResult struct {
	// Version is the version that the written rows have.
	Version uint64 `json:"version"`
	// Now is the service's steady clock.
	Now time.Duration `json:"now_ns"`
}

// Limits of one transaction, as the row service states them.
const (
	MaxTransactionRows  = 100
	MaxTransactionBytes = 1 << 20
)

// RowStore is a row service with conditional writes within a part and a feed of changes.
//
// Errors are *failure.Error: Conflict if a check did not hold, StoreUnavailable
// if the call surely had no effect, StoreInDoubt if it may have taken effect or
// may do so later, HistoryLost if changes since a version are not known any more.
type RowStore interface {
	Read(ctx context.Context, r RowRange) (RowPage, error)
	// Parts lists the parts of a table behind a part, in order.
	Parts(ctx context.Context, table, after string) (PartPage, error)
	// Changes returns the rows of a table that changed after a version, at once if there are any, else within wait.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (RowPage, error)
	Commit(ctx context.Context, tx RowTransaction) (CommitResult, error)
}
