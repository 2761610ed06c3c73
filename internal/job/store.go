package job

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Tables of jobs. The part of each row is the job's ID.
const (
	// TableJobs holds the owner row and the end row of a job; all hosts follow it.
	TableJobs = "jobs"
	// tableSpecs holds the encoded Spec in chunks.
	tableSpecs = "job_specs"
	// tableResults holds the listed results: those stored at a final position, where
	// readers can see them. The key is the position and the chunk.
	tableResults = "job_results"
	// tableTexts holds the texts of unfinished rollouts: their saved events. The key is
	// the rollout's ID and the index of the first event.
	tableTexts = "job_texts"
)

const (
	// keyOwner is the key of the owner row.
	keyOwner = "owner"
	// keyEnd is the key of the row that marks a job as ended.
	keyEnd = "end"
	// chunkBytes is the largest chunk of a spec or result; a row holds 64 KiB at most.
	chunkBytes = 60 << 10
	// maxCommitBytes limits the values of one transaction; in base64 they stay below 1 MB.
	maxCommitBytes = 600 << 10
	// maxValueBytes is the largest value of a row.
	maxValueBytes = 64 << 10
	// teamKeyBytes is the number of bytes of the hash of a team's name in the keys of its specs.
	teamKeyBytes = 8
)

// errOwnershipLost cancels the attempts of a job that another host owns.
var errOwnershipLost = errors.New("the job has another owner")

// errNoSpec is the cause of the error of a job without spec rows.
var errNoSpec = errors.New("the store has no spec rows")

// store reads and writes the rows of jobs.
type store struct{ rows platform.RowStore }

func ownerRowID(job string) platform.RowID {
	return platform.RowID{Table: TableJobs, Part: job, Key: keyOwner}
}

func endRowID(job string) platform.RowID {
	return platform.RowID{Table: TableJobs, Part: job, Key: keyEnd}
}

func resultRowID(job string, position, chunk int) platform.RowID {
	return platform.RowID{Table: tableResults, Part: job, Key: resultKey(position) + fmt.Sprintf("/%04d", chunk)}
}

func resultKey(position int) string { return fmt.Sprintf("%08d", position) }

func ownerWrite(job string, owner OwnerRow) (platform.RowWrite, error) {
	value, err := json.Marshal(owner)
	if err != nil {
		return platform.RowWrite{}, failure.Wrap(err, failure.Internal, "", "cannot encode owner row")
	}
	return platform.RowWrite{RowID: ownerRowID(job), Value: value}, nil
}

// acceptTransactions returns the transactions that store a job and the owner row that they
// write. It passes all but the last one to commit, in order, so that only one of them is in
// memory at a time. The last one creates the owner row, and with it the job; it fails with
// Conflict if the job exists.
func acceptTransactions(spec *Spec, owner OwnerRow, commit func(platform.RowTransaction) error) (platform.RowTransaction, OwnerRow, error) {
	tx := platform.RowTransaction{}
	size := 0
	chunks := &chunkWriter{}
	chunks.emit = func(chunk []byte) error {
		if size+len(chunk) > maxCommitBytes {
			if err := commit(tx); err != nil {
				return err
			}
			tx, size = platform.RowTransaction{}, 0
		}
		id := platform.RowID{Table: tableSpecs, Part: spec.ID, Key: specKey(spec.Team, owner.Chunks)}
		tx.Writes = append(tx.Writes, platform.RowWrite{RowID: id, Value: chunk})
		size += len(chunk)
		owner.Chunks++
		return nil
	}
	if err := encodeSpec(chunks, spec); err != nil {
		return tx, owner, err
	}
	ownerRowWrite, err := ownerWrite(spec.ID, owner)
	if err != nil {
		return tx, owner, err
	}
	tx.Writes = append(tx.Writes, ownerRowWrite)
	// Version zero: the row must not exist.
	tx.Checks = []platform.RowCheck{{RowID: ownerRowID(spec.ID)}}
	return tx, owner, nil
}

// chunkWriter splits what is written into chunks of chunkBytes.
type chunkWriter struct {
	emit func(chunk []byte) error
	next []byte
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	written := len(p)
	for len(w.next)+len(p) > chunkBytes {
		n := chunkBytes - len(w.next)
		w.next = append(w.next, p[:n]...)
		chunk := w.next
		w.next, p = nil, p[n:]
		if err := w.emit(chunk); err != nil {
			return 0, err
		}
	}
	w.next = append(w.next, p...)
	return written, nil
}

// encodeSpec writes the JSON of a spec in chunks, one rollout at a time: a copy of all of it
// would be as large as the job.
func encodeSpec(w *chunkWriter, spec *Spec) error {
	// The rollouts are the last field.
	const noRollouts = `null}`
	head := *spec
	head.Rollouts = nil
	encoded, err := json.Marshal(head)
	if err != nil || !bytes.HasSuffix(encoded, []byte(noRollouts)) {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "cannot encode the job")
	}
	if spec.Rollouts == nil {
		if _, err := w.Write(encoded); err != nil {
			return err
		}
		return w.emit(w.next)
	}
	if _, err := w.Write(append(encoded[:len(encoded)-len(noRollouts)], '[')); err != nil {
		return err
	}
	for i := range spec.Rollouts {
		encoded, err := json.Marshal(&spec.Rollouts[i])
		if err != nil {
			return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "cannot encode the job")
		}
		if i > 0 {
			encoded = append([]byte{','}, encoded...)
		}
		if _, err := w.Write(encoded); err != nil {
			return err
		}
	}
	if _, err := w.Write([]byte("]}")); err != nil {
		return err
	}
	return w.emit(w.next)
}

// specKey returns the key of a chunk of a team's spec.
func specKey(team string, chunk int) string { return chunkKey(specPrefix(team), chunk) }

func chunkKey(prefix string, chunk int) string { return fmt.Sprintf("%s%06d", prefix, chunk) }

// specPrefix returns the prefix of the keys of a team's specs. A spec is written before the
// row that creates the job, so two teams that submit the same ID must not write the same rows.
func specPrefix(team string) string {
	if team == "" {
		return ""
	}
	// The hash of the name has a fixed length and characters that any row key may have.
	sum := sha256.Sum256([]byte(team))
	return fmt.Sprintf("%x/", sum[:teamKeyBytes])
}

func splitChunks(encoded []byte, size int) [][]byte {
	var chunks [][]byte
	for len(encoded) > size {
		chunks = append(chunks, encoded[:size])
		encoded = encoded[size:]
	}
	return append(chunks, encoded)
}

// readOwner returns a job's owner row, its version, and whether the job was ended.
// The version is zero if the job does not exist.
func (s store) readOwner(ctx context.Context, job string) (OwnerRow, uint64, bool, error) {
	page, err := s.rows.Read(ctx, platform.RowRange{Table: TableJobs, Part: job})
	if err != nil {
		return OwnerRow{}, 0, false, err
	}
	var owner OwnerRow
	var version uint64
	ended := false
	for _, row := range page.Rows {
		switch row.Key {
		case keyOwner:
			if err := json.Unmarshal(row.Value, &owner); err != nil {
				return OwnerRow{}, 0, false, failure.Wrap(err, failure.Internal, "", "cannot decode owner row of job %s", job)
			}
			version = row.Version
		case keyEnd:
			ended = true
		}
	}
	return owner, version, ended, nil
}

// readSpec returns the spec of the job with an owner row. A process of an older version drops
// the team from an owner row that it writes. The rows of a spec without a team are then
// preferred, and next those of the team that the spec itself names. The error wraps
// errNoSpec if the job has no spec rows.
func (s store) readSpec(ctx context.Context, job string, owner OwnerRow) (*Spec, error) {
	rows, err := follow.ReadPart(ctx, s.rows, tableSpecs, job)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, failure.Wrap(errNoSpec, failure.Internal, "", "job %s has no spec", job)
	}
	prefixes := []string{specPrefix(owner.Team)}
	if owner.Team == "" {
		for _, row := range rows {
			prefix := row.Key[:strings.LastIndexByte(row.Key, '/')+1]
			if !slices.Contains(prefixes, prefix) {
				prefixes = append(prefixes, prefix)
			}
		}
	}
	for _, prefix := range prefixes {
		var spec *Spec
		// A submission that was refused may have left the first rows of its spec. They
		// are not decoded without the last ones.
		if spec, err = decodeSpec(job, rows, prefix, owner.Chunks); err == nil && specPrefix(spec.Team) == prefix {
			return spec, nil
		}
	}
	if err == nil {
		err = failure.New(failure.Internal, "", "spec of job %s is of another team", job)
	}
	return nil, err
}

// decodeSpec decodes the spec in the first chunks whose keys have a prefix.
func decodeSpec(job string, rows []platform.VersionedRow, prefix string, chunks int) (*Spec, error) {
	var encoded []byte
	found := 0
	for _, row := range rows {
		if found < chunks && row.Key == chunkKey(prefix, found) {
			encoded = append(encoded, row.Value...)
			found++
		}
	}
	spec := new(Spec)
	if err := json.Unmarshal(encoded, spec); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "cannot decode spec of job %s: found %d rows, want %d", job, found, chunks)
	}
	return spec, nil
}

// readResults returns the results starting at a position, as many as one response
// of the store holds.
func (s store) readResults(ctx context.Context, job string, from int) ([]Result, error) {
	page, err := s.rows.Read(ctx, platform.RowRange{Table: tableResults, Part: job, From: resultKey(from)})
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(page.Rows, page.More)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "cannot decode results of job %s", job)
	}
	return results, nil
}

// readAllResults returns all results of a job in the order of their positions.
func (s store) readAllResults(ctx context.Context, job string) ([]Result, error) {
	rows, err := follow.ReadPart(ctx, s.rows, tableResults, job)
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(rows, false)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "cannot decode results of job %s", job)
	}
	return results, nil
}

// decodeResults joins the chunks of results and decodes them. If more is true,
// further rows may belong to the last result, and it is left out unless it is the
// only one.
func decodeResults(rows []platform.VersionedRow, more bool) ([]Result, error) {
	var results []Result
	for i := 0; i < len(rows); {
		position, _, _ := strings.Cut(rows[i].Key, "/")
		var encoded []byte
		for ; i < len(rows) && strings.HasPrefix(rows[i].Key, position+"/"); i++ {
			encoded = append(encoded, rows[i].Value...)
		}
		if i == len(rows) && more && len(results) > 0 {
			break
		}
		var result Result
		if err := json.Unmarshal(encoded, &result); err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// listTransaction returns the transaction that lists results at the positions from
// owner.Listed on, the new owner row, and the number of results, which is limited by
// the size of a transaction.
func listTransaction(job string, version uint64, owner OwnerRow, results []Result) (platform.RowTransaction, OwnerRow, int, error) {
	tx := platform.RowTransaction{Checks: []platform.RowCheck{{RowID: ownerRowID(job), Version: version}}}
	size, taken := 0, 0
	for _, result := range results {
		encoded, err := json.Marshal(result)
		if err != nil {
			return tx, owner, 0, failure.Wrap(err, failure.Internal, "", "cannot encode result")
		}
		chunks := splitChunks(encoded, chunkBytes)
		// Leaves room for the owner row, which is checked and written. The first result
		// is taken whatever its size.
		tooLarge := len(tx.Writes)+len(chunks) > platform.MaxTransactionRows-2 || size+len(encoded) > maxCommitBytes
		if taken > 0 && tooLarge {
			break
		}
		for i, chunk := range chunks {
			tx.Writes = append(tx.Writes, platform.RowWrite{RowID: resultRowID(job, owner.Listed+taken, i), Value: chunk})
		}
		size += len(encoded)
		taken++
	}
	owner.Listed += taken
	write, err := ownerWrite(job, owner)
	if err != nil {
		return tx, owner, 0, err
	}
	tx.Writes = append(tx.Writes, write)
	return tx, owner, taken, nil
}

// textRow is a row of tableTexts: a range of events of an unfinished rollout.
type textRow struct {
	// From is the index of the first event.
	From   int     `json:"from"`
	Events []Event `json:"events"`
	// Restarts is the number of texts of the rollout that were dropped before this one.
	Restarts int `json:"restarts,omitempty"`
	// Failures is the number of attempts to which an engine answered with a failure.
	Failures int `json:"failures,omitempty"`
}

// textWrite returns the write of a row of saved events and the number of events in
// it. It halves the events until the row is small enough; the number is zero if the first
// event alone is too large.
func textWrite(job, rollout string, s textRow) (platform.RowWrite, int, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return platform.RowWrite{}, 0, failure.Wrap(err, failure.Internal, "", "cannot encode saved text")
	}
	for len(value) > maxValueBytes && len(s.Events) > 1 {
		s.Events = s.Events[:len(s.Events)/2]
		if value, err = json.Marshal(s); err != nil {
			return platform.RowWrite{}, 0, failure.Wrap(err, failure.Internal, "", "cannot encode saved text")
		}
	}
	if len(value) > maxValueBytes {
		return platform.RowWrite{}, 0, nil
	}
	id := platform.RowID{Table: tableTexts, Part: job, Key: fmt.Sprintf("%s/%08d", rollout, s.From)}
	return platform.RowWrite{RowID: id, Value: value}, len(s.Events), nil
}

// savedText is the saved progress of an unfinished rollout.
type savedText struct {
	events []Event
	// restarts and failures are as in textRow.
	restarts, failures int
	// rows is the number of its rows, and version that of the newest one.
	rows    int
	version uint64
}

// readTexts returns the saved texts of a job by rollout ID, and the number of rows that
// belong to none of them.
func (s store) readTexts(ctx context.Context, job string) (map[string]savedText, int, error) {
	rows, err := follow.ReadPart(ctx, s.rows, tableTexts, job)
	if err != nil {
		return nil, 0, err
	}
	texts, stale := joinTexts(rows)
	return texts, stale, nil
}

// joinTexts joins rows of tableTexts, in the order of their keys, to texts by rollout ID.
// stale is the number of rows that it leaves out.
//
// Each save demands the version of the owner row, so only the owner's saves are executed, but
// one without an answer may be executed after later ones and put a shorter row back. Nothing
// after such a gap belongs to the text: the next run continues before it, and its rows come to
// stand among those of the run before. A run writes the rows of a text in the order of their
// events, so a row with a lower version than one before it is of an earlier run, or follows a
// gap. Rows of a text that was dropped are left out, too.
func joinTexts(rows []platform.VersionedRow) (texts map[string]savedText, stale int) {
	texts = map[string]savedText{}
	for _, row := range rows {
		cut := strings.LastIndexByte(row.Key, '/')
		var saved textRow
		if cut < 0 || json.Unmarshal(row.Value, &saved) != nil {
			continue
		}
		t := texts[row.Key[:cut]]
		if saved.Restarts > t.restarts {
			t = savedText{restarts: saved.Restarts, failures: t.failures}
		}
		if saved.Restarts == t.restarts && saved.From <= len(t.events) && row.Version > t.version {
			// The rows of one run overlap after a late save of more events than the save that
			// was acknowledged.
			if end := saved.From + len(saved.Events); end > len(t.events) {
				t.events = append(t.events, saved.Events[len(t.events)-saved.From:]...)
			}
			t.version = row.Version
			t.rows++
		}
		t.failures = max(t.failures, saved.Failures)
		texts[row.Key[:cut]] = t
	}
	stale = len(rows)
	for _, t := range texts {
		stale -= t.rows
	}
	return texts, stale
}

// end writes the row that marks a job as ended.
func (s store) end(ctx context.Context, job string, now time.Duration) error {
	value, err := json.Marshal(struct {
		EndedMS int64 `json:"ended_ms"`
	}{now.Milliseconds()})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "cannot encode end row")
	}
	row := platform.RowWrite{RowID: endRowID(job), Value: value}
	_, err = s.rows.Commit(ctx, platform.RowTransaction{Writes: []platform.RowWrite{row}})
	return err
}
