package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Tables of jobs. The part of each row is the job's id.
const (
	// TableJobs holds a job's owner and its end; all hosts follow it.
	TableJobs    = "jobs"
	tableSpecs   = "job_specs"
	tableResults = "job_results"
	tableTexts   = "job_texts"
)

const (
	keyOwner = "owner"
	keyEnd   = "end"
	// chunkBytes is the size of a spec's rows; a row holds 64 KiB at most.
	chunkBytes = 60 << 10
	// commitBytes bounds the values of one transaction; base64 lengthens them to less than 1 MB.
	commitBytes = 600 << 10
	// maxValueBytes bounds one value.
	maxValueBytes = 64 << 10
)

// errOwnerLost ends a run whose job has another owner.
var errOwnerLost = errors.New("the job has another owner")

// store reads and writes the rows of jobs.
type store struct{ rows platform.RowStore }

func ownerID(job string) platform.RowID {
	return platform.RowID{Table: TableJobs, Part: job, Key: keyOwner}
}

func resultID(job string, position, piece int) platform.RowID {
	return platform.RowID{Table: tableResults, Part: job, Key: resultKey(position) + fmt.Sprintf("/%04d", piece)}
}

func resultKey(position int) string { return fmt.Sprintf("%08d", position) }

func ownerWrite(job string, owner Owner) (platform.RowWrite, error) {
	value, err := json.Marshal(owner)
	if err != nil {
		return platform.RowWrite{}, failure.Wrap(err, failure.Internal, "", "owner row can't be encoded")
	}
	return platform.RowWrite{RowID: ownerID(job), Value: value}, nil
}

// acceptance prepares the transactions that make a job durable; the last one
// decides. It returns also the owner row that they write.
func acceptance(spec *Spec, owner Owner) ([]platform.RowTransaction, Owner, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, owner, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the job can't be encoded")
	}
	chunks := split(text, chunkBytes)
	owner.Chunks = len(chunks)
	first, err := ownerWrite(spec.ID, owner)
	if err != nil {
		return nil, owner, err
	}
	var txs []platform.RowTransaction
	tx := platform.RowTransaction{}
	size := 0
	for i, chunk := range chunks {
		if size+len(chunk) > commitBytes {
			txs = append(txs, tx)
			tx, size = platform.RowTransaction{}, 0
		}
		id := platform.RowID{Table: tableSpecs, Part: spec.ID, Key: fmt.Sprintf("%06d", i)}
		tx.Writes = append(tx.Writes, platform.RowWrite{RowID: id, Value: chunk})
		size += len(chunk)
	}
	tx.Writes = append(tx.Writes, first)
	tx.Checks = []platform.RowCheck{{RowID: ownerID(spec.ID)}}
	return append(txs, tx), owner, nil
}

func split(text []byte, size int) [][]byte {
	var chunks [][]byte
	for len(text) > size {
		chunks = append(chunks, text[:size])
		text = text[size:]
	}
	return append(chunks, text)
}

// readOwner returns a job's owner row; version zero if the job does not exist.
func (s store) readOwner(ctx context.Context, job string) (Owner, uint64, bool, error) {
	page, err := s.rows.Read(ctx, platform.RowRange{Table: TableJobs, Part: job})
	if err != nil {
		return Owner{}, 0, false, err
	}
	var owner Owner
	var version uint64
	ended := false
	for _, row := range page.Rows {
		switch row.Key {
		case keyOwner:
			if err := json.Unmarshal(row.Value, &owner); err != nil {
				return Owner{}, 0, false, failure.Wrap(err, failure.Internal, "", "owner row of job %s can't be read", job)
			}
			version = row.Version
		case keyEnd:
			ended = true
		}
	}
	return owner, version, ended, nil
}

// readSpec returns a job's spec.
func (s store) readSpec(ctx context.Context, job string, chunks int) (*Spec, error) {
	rows, err := follow.ReadPart(ctx, s.rows, tableSpecs, job)
	if err != nil {
		return nil, err
	}
	var text []byte
	for i, row := range rows {
		if i < chunks {
			text = append(text, row.Value...)
		}
	}
	spec := new(Spec)
	if err := json.Unmarshal(text, spec); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "spec of job %s can't be read from %d of %d rows", job, len(rows), chunks)
	}
	return spec, nil
}

// readResults returns the results from a position on, as many as one answer of the store holds.
func (s store) readResults(ctx context.Context, job string, from int) ([]Result, error) {
	page, err := s.rows.Read(ctx, platform.RowRange{Table: tableResults, Part: job, From: resultKey(from)})
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(page.Rows, page.More)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "results of job %s can't be read", job)
	}
	return results, nil
}

// readAllResults returns all results of a job by their positions.
func (s store) readAllResults(ctx context.Context, job string) ([]Result, error) {
	rows, err := follow.ReadPart(ctx, s.rows, tableResults, job)
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(rows, false)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "results of job %s can't be read", job)
	}
	return results, nil
}

// decodeResults joins the pieces of results. The last result is left out if more rows may belong to it.
func decodeResults(rows []platform.VersionedRow, more bool) ([]Result, error) {
	var results []Result
	for i := 0; i < len(rows); {
		position, _, _ := strings.Cut(rows[i].Key, "/")
		var text []byte
		for ; i < len(rows) && strings.HasPrefix(rows[i].Key, position+"/"); i++ {
			text = append(text, rows[i].Value...)
		}
		if i == len(rows) && more && len(results) > 0 {
			break
		}
		var result Result
		if err := json.Unmarshal(text, &result); err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// listing prepares the transaction that lists results behind those of owner.
// It takes as many as fit and returns their number.
func listing(job string, version uint64, owner Owner, results []Result) (platform.RowTransaction, Owner, int, error) {
	tx := platform.RowTransaction{Checks: []platform.RowCheck{{RowID: ownerID(job), Version: version}}}
	size, taken := 0, 0
	for _, result := range results {
		text, err := json.Marshal(result)
		if err != nil {
			return tx, owner, 0, failure.Wrap(err, failure.Internal, "", "result can't be encoded")
		}
		pieces := split(text, chunkBytes)
		tooMany := len(tx.Writes)+len(pieces) > platform.MaxTransactionRows-2 || size+len(text) > commitBytes
		if taken > 0 && tooMany {
			break
		}
		for i, piece := range pieces {
			tx.Writes = append(tx.Writes, platform.RowWrite{RowID: resultID(job, owner.Listed+taken, i), Value: piece})
		}
		size += len(text)
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

// saved is a row of the text of an unfinished rollout.
type saved struct {
	From   int     `json:"from"`
	Events []Event `json:"events"`
	// Failures counts the runs that the engines answered with a failure.
	Failures int `json:"failures,omitempty"`
}

// textWrite prepares the row that keeps events of a rollout from a position on.
func textWrite(job, rollout string, s saved) (platform.RowWrite, int, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return platform.RowWrite{}, 0, failure.Wrap(err, failure.Internal, "", "text can't be encoded")
	}
	for len(value) > maxValueBytes && len(s.Events) > 1 {
		s.Events = s.Events[:len(s.Events)/2]
		if value, err = json.Marshal(s); err != nil {
			return platform.RowWrite{}, 0, failure.Wrap(err, failure.Internal, "", "text can't be encoded")
		}
	}
	id := platform.RowID{Table: tableTexts, Part: job, Key: fmt.Sprintf("%s/%08d", rollout, s.From)}
	return platform.RowWrite{RowID: id, Value: value}, len(s.Events), nil
}

// text is the saved state of an unfinished rollout.
type text struct {
	events   []Event
	failures int
}

// readTexts returns the saved texts of a job by rollout.
func (s store) readTexts(ctx context.Context, job string) (map[string]text, error) {
	rows, err := follow.ReadPart(ctx, s.rows, tableTexts, job)
	if err != nil {
		return nil, err
	}
	texts := map[string]text{}
	for _, row := range rows {
		cut := strings.LastIndexByte(row.Key, '/')
		var piece saved
		if cut < 0 || json.Unmarshal(row.Value, &piece) != nil {
			continue
		}
		t := texts[row.Key[:cut]]
		// A row that was written late may overlap its successor or leave a gap behind it.
		if piece.From <= len(t.events) {
			if end := piece.From + len(piece.Events); end > len(t.events) {
				t.events = append(t.events, piece.Events[len(t.events)-piece.From:]...)
			}
		}
		t.failures = max(t.failures, piece.Failures)
		texts[row.Key[:cut]] = t
	}
	return texts, nil
}

// end marks a job as ended.
func (s store) end(ctx context.Context, job string, now time.Duration) error {
	value, err := json.Marshal(struct {
		EndedMS int64 `json:"ended_ms"`
	}{now.Milliseconds()})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "end can't be encoded")
	}
	row := platform.RowWrite{RowID: platform.RowID{Table: TableJobs, Part: job, Key: keyEnd}, Value: value}
	_, err = s.rows.Commit(ctx, platform.RowTransaction{Writes: []platform.RowWrite{row}})
	return err
}
