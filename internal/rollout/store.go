package rollout

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	// writeResolveAttempts is how often a write with an unknown outcome is tried and read back.
	writeResolveAttempts = 4
	// writeResolveDelay is the wait before the second of these attempts.
	writeResolveDelay = 100 * time.Millisecond
	// scanPageRows is the page size of a scan, in rows.
	scanPageRows = 512
)

// store reads and writes steps in the platform's table and object store. All its errors are
// *failure.Error.
type store struct {
	table   platform.Table
	objects platform.ObjectStore
	// resolveDelay is the wait before a write with unknown outcome is tried again; it doubles
	// each time.
	resolveDelay time.Duration
}

func newStore(table platform.Table, objects platform.ObjectStore) *store {
	return &store{table: table, objects: objects, resolveDelay: writeResolveDelay}
}

// step is a step row with its version in the table; version 0 means that the row does not exist
// yet.
type step struct {
	stepRow
	version uint64
}

// key returns the key of the step's row.
func (s step) key() string { return stepKey(s.Trainer, s.Step) }

// create creates a step, or returns the existing one if it was created by an equal request. It
// returns Conflict if the step exists with different content. configVersion is the version of
// the document by which the request was accepted.
func (st *store) create(ctx context.Context, trainer string, n uint64, req trainerapi.StepRequest, configVersion uint64) (step, error) {
	definition, err := encodeJSON(req)
	if err != nil {
		return step{}, err
	}
	hash := strconv.FormatUint(xxhash.Sum64(definition), 16)
	existing, err := st.read(ctx, trainer, n)
	if err == nil {
		return existing, sameDefinition(existing, hash)
	}
	if !failure.IsKind(err, failure.NotFound) {
		return step{}, err
	}
	stored, err := st.putBlob(ctx, definitionKey(trainer, n, hash), definition)
	if err != nil {
		return step{}, err
	}
	row := stepRow{
		Trainer:        trainer,
		Step:           n,
		Groups:         len(req.Groups),
		Needed:         neededGroups(req),
		GroupSize:      req.GroupSize,
		MaxTokens:      req.MaxTokens,
		DefinitionHash: hash,
		Definition:     stored,
		State:          trainerapi.StepRunning,
		ConfigVersion:  configVersion,
	}
	active := platform.Write{Key: activeKey(trainer, n), Value: []byte("{}")}
	created, err := st.writeStep(ctx, step{stepRow: row}, active)
	if failure.IsKind(err, failure.Conflict) {
		existing, err = st.read(ctx, trainer, n)
		if err != nil {
			return step{}, err
		}
		return existing, sameDefinition(existing, hash)
	}
	return created, err
}

func sameDefinition(existing step, hash string) error {
	if existing.DefinitionHash == hash {
		return nil
	}
	return failure.New(failure.Conflict, failure.NotRun, "step %d already exists with different content", existing.Step).WithField("step")
}

func neededGroups(req trainerapi.StepRequest) int {
	if req.GroupsNeeded == 0 {
		return len(req.Groups)
	}
	return req.GroupsNeeded
}

// read returns a step; NotFound if it does not exist.
func (st *store) read(ctx context.Context, trainer string, n uint64) (step, error) {
	rows, err := st.table.Read(ctx, stepKey(trainer, n))
	if err != nil {
		return step{}, err
	}
	if len(rows) != 1 || rows[0].Version == 0 {
		return step{}, failure.New(failure.NotFound, failure.NotRun, "trainer %s has no step %d", trainer, n).WithField("step")
	}
	var row stepRow
	if err := decodeJSON(rows[0].Value, &row); err != nil {
		return step{}, err
	}
	return step{stepRow: row, version: rows[0].Version}, nil
}

// writeStep replaces the step row if it is still at s.version, together with further writes in
// the same transaction. After each attempt it reads the row back, for its new version and, after
// a lost reply, for the outcome. It returns Conflict if the row was changed concurrently,
// StoreUnavailable if the first attempt fails with it, and StoreInDoubt if the outcome stays
// unknown.
func (st *store) writeStep(ctx context.Context, s step, writes ...platform.Write) (step, error) {
	s.WriteID = uuid.NewString()
	value, err := encodeJSON(s.stepRow)
	if err != nil {
		return step{}, err
	}
	tx := platform.Transaction{
		Checks: []platform.Check{{Key: s.key(), Version: s.version}},
		Writes: append([]platform.Write{{Key: s.key(), Value: value}}, writes...),
	}
	for attempt := range writeResolveAttempts {
		err = st.table.Transact(ctx, tx)
		if failure.IsKind(err, failure.StoreUnavailable) && attempt == 0 {
			return step{}, err
		}
		now, readErr := st.read(ctx, s.Trainer, s.Step)
		switch {
		case readErr == nil && now.WriteID == s.WriteID:
			return now, nil
		case readErr == nil && (err == nil || failure.IsKind(err, failure.Conflict)):
			return step{}, failure.New(failure.Conflict, failure.NotRun, "step %d was changed concurrently", s.Step)
		case failure.IsKind(err, failure.Conflict) && attempt == 0:
			return step{}, err
		}
		if !pause.For(ctx, st.resolveDelay<<attempt) {
			break
		}
	}
	return step{}, failure.New(failure.StoreInDoubt, failure.Unknown, "unknown whether the write of step %d took effect", s.Step)
}

// definition returns the request that created the step.
func (st *store) definition(ctx context.Context, s step) (trainerapi.StepRequest, error) {
	var req trainerapi.StepRequest
	value := s.Definition.Inline
	if s.Definition.Object != "" {
		var err error
		if value, err = st.objects.Get(ctx, s.Definition.Object); err != nil {
			return req, err
		}
	}
	return req, decodeJSON(value, &req)
}

// activeSteps returns the numbers of a trainer's unfinished steps, in ascending order.
func (st *store) activeSteps(ctx context.Context, trainer string) ([]uint64, error) {
	prefix := activePrefix(trainer)
	rows, err := st.scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	steps := make([]uint64, 0, len(rows))
	for _, row := range rows {
		n, err := strconv.ParseUint(row.Key[len(prefix):], 10, 64)
		if err != nil {
			continue
		}
		steps = append(steps, n)
	}
	return steps, nil
}

// groups returns the committed groups of a step, in ascending order.
func (st *store) groups(ctx context.Context, trainer string, n uint64) ([]groupRow, error) {
	rows, err := st.scan(ctx, groupPrefix(trainer, n))
	if err != nil {
		return nil, err
	}
	groups := make([]groupRow, 0, len(rows))
	for _, row := range rows {
		var g groupRow
		if err := decodeJSON(row.Value, &g); err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	return groups, nil
}

func (st *store) scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	var all []platform.Row
	after := ""
	for {
		rows, err := st.table.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (st *store) putBlob(ctx context.Context, key string, value []byte) (blob, error) {
	if len(value) <= maxInlineBytes {
		return blob{Inline: value}, nil
	}
	if err := st.objects.Put(ctx, key, value); err != nil {
		return blob{}, err
	}
	return blob{Object: key}, nil
}

func encodeJSON(v any) ([]byte, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "cannot encode a value as JSON")
	}
	return value, nil
}

func decodeJSON(value []byte, v any) error {
	if err := json.Unmarshal(value, v); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "cannot decode a value from JSON")
	}
	return nil
}
