package config

import (
	"context"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// store reads and writes the configuration rows of the table.
type store struct {
	table platform.Table
}

// snapshot is the content of the head row and of the row of one change.
type snapshot struct {
	// head is the newest accepted version; its Version is zero if there is none.
	head VersionInfo
	// headRowVersion is the table's version of the head row.
	headRowVersion uint64
	// change is the version that the change led to; its Version is zero if there is none.
	change VersionInfo
}

// head returns the newest accepted version, whose Version is zero if there is
// none, and the table's version of the head row.
func (s *store) head(ctx context.Context) (VersionInfo, uint64, error) {
	rows, err := s.table.Read(ctx, headKey)
	if err != nil {
		return VersionInfo{}, 0, err
	}
	var head VersionInfo
	err = decodeRow(rows[0], &head)
	return head, rows[0].Version, err
}

// snapshot reads the head row together with a change's row.
func (s *store) snapshot(ctx context.Context, changeID string) (snapshot, error) {
	rows, err := s.table.Read(ctx, headKey, changeKey(changeID))
	if err != nil {
		return snapshot{}, err
	}
	got := snapshot{headRowVersion: rows[0].Version}
	if err := decodeRow(rows[0], &got.head); err != nil {
		return snapshot{}, err
	}
	return got, decodeRow(rows[1], &got.change)
}

// record returns an accepted version with its document. The error is NotFound if
// the version was never accepted or is no longer kept.
func (s *store) record(ctx context.Context, version uint64) (Record, error) {
	rows, err := s.table.Read(ctx, documentKey(version))
	if err != nil {
		return Record{}, err
	}
	if rows[0].Version == 0 {
		return Record{}, failure.New(failure.NotFound, "", "configuration version %d is not kept", version)
	}
	var record Record
	err = decodeRow(rows[0], &record)
	return record, err
}

// history returns up to limit accepted versions lower than before, newest first.
func (s *store) history(ctx context.Context, before uint64, limit int) ([]VersionInfo, error) {
	first := uint64(0)
	if before > uint64(limit) {
		first = before - uint64(limit) - 1
	}
	rows, err := s.table.Scan(ctx, documentPrefix, documentKey(first), limit)
	if err != nil {
		return nil, err
	}
	heads := make([]VersionInfo, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		var record Record
		if err := decodeRow(rows[i], &record); err != nil {
			return nil, err
		}
		if record.Version < before {
			heads = append(heads, record.VersionInfo)
		}
	}
	return heads, nil
}

// write commits a record and deletes the version that falls out of the history.
// The error is Conflict if the head row is no longer at headRowVersion.
func (s *store) write(ctx context.Context, record Record, headRowVersion uint64) error {
	tx, err := s.transaction(record, headRowVersion)
	if err != nil {
		return err
	}
	expired, err := s.expired(ctx, record.Version)
	if err != nil {
		return err
	}
	tx.Writes = append(tx.Writes, expired...)
	return s.table.Transact(ctx, tx)
}

// restore writes an accepted record to a store that lost it. The error is Conflict
// if the head row is no longer at headRowVersion.
func (s *store) restore(ctx context.Context, record Record, headRowVersion uint64) error {
	tx, err := s.transaction(record, headRowVersion)
	if err != nil {
		return err
	}
	return s.table.Transact(ctx, tx)
}

// transaction returns the transaction that writes all rows of a record if the head
// row is at headRowVersion.
func (s *store) transaction(record Record, headRowVersion uint64) (platform.Transaction, error) {
	tx := platform.Transaction{Checks: []platform.Check{{Key: headKey, Version: headRowVersion}}}
	for _, part := range []struct {
		key   string
		value any
	}{
		{headKey, record.VersionInfo},
		{documentKey(record.Version), record},
		{changeKey(record.ChangeID), record.VersionInfo},
	} {
		write, err := encodeRow(part.key, part.value)
		if err != nil {
			return platform.Transaction{}, err
		}
		tx.Writes = append(tx.Writes, write)
	}
	return tx, nil
}

// expired returns the deletions of the version that exceeds HistoryLimit when
// version is added.
func (s *store) expired(ctx context.Context, version uint64) ([]platform.Write, error) {
	if version <= HistoryLimit {
		return nil, nil
	}
	old, err := s.record(ctx, version-HistoryLimit)
	if failure.IsKind(err, failure.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return []platform.Write{
		{Key: documentKey(old.Version), Delete: true},
		{Key: changeKey(old.ChangeID), Delete: true},
	}, nil
}

// validChangeID reports whether a change id can be part of a row's key.
func validChangeID(id string) bool {
	return id != "" && len(id) <= maxChangeIDLength && !strings.ContainsAny(id, " /\t\r\n")
}
