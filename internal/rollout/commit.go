package rollout

import (
	"context"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// finishedGroup is a scored group that is ready to be committed. Its oldestVersion is the oldest
// weight version in any sample, or math.MaxUint64 if the samples have no token.
type finishedGroup struct {
	group int
	// commitID identifies the content; it is the same in each attempt to commit it.
	commitID      string
	oldestVersion uint64
	// encoded is the content in its stored form.
	encoded []byte
}

// commitGroups commits groups of a running step in one transaction, each only if it is not
// committed yet. It returns the groups of the batch that are committed now, by this host or
// another. The others can be tried again. Conflict means that the step itself was changed and
// must be read again.
func (st *store) commitGroups(ctx context.Context, s step, batch []finishedGroup) ([]groupRow, error) {
	present, missing, err := st.splitCommitted(ctx, s, batch)
	if err != nil || len(missing) == 0 {
		return present, err
	}
	tx, err := st.commitTransaction(ctx, s, missing)
	if err != nil {
		return nil, err
	}
	err = st.table.Transact(ctx, tx)
	if err != nil && !failure.IsKind(err, failure.Conflict) && !failure.IsKind(err, failure.StoreInDoubt) {
		return nil, err
	}
	present, missing, readErr := st.splitCommitted(ctx, s, batch)
	if readErr != nil {
		return nil, readErr
	}
	st.deleteSuperseded(ctx, s, batch, present)
	if len(missing) == 0 {
		return present, nil
	}
	if failure.IsKind(err, failure.Conflict) {
		if now, readErr := st.read(ctx, s.Trainer, s.Step); readErr == nil && now.version != s.version {
			return nil, err
		}
	}
	return present, nil
}

// deleteSuperseded deletes the objects of groups for which another commit succeeded first.
func (st *store) deleteSuperseded(ctx context.Context, s step, batch []finishedGroup, present []groupRow) {
	committed := make(map[int]string, len(present))
	for _, g := range present {
		committed[g.Group] = g.CommitID
	}
	for _, g := range batch {
		id, ok := committed[g.group]
		if ok && id != g.commitID && len(g.encoded) > maxInlineBytes {
			_ = st.objects.Delete(ctx, contentKey(s.Trainer, s.Step, g.group, g.commitID))
		}
	}
}

// splitCommitted reads which groups of a batch are committed already.
func (st *store) splitCommitted(ctx context.Context, s step, batch []finishedGroup) (present []groupRow, missing []finishedGroup, err error) {
	keys := make([]string, len(batch))
	for i, g := range batch {
		keys[i] = groupKey(s.Trainer, s.Step, g.group)
	}
	rows, err := st.table.Read(ctx, keys...)
	if err != nil {
		return nil, nil, err
	}
	for i, row := range rows {
		if row.Version == 0 {
			missing = append(missing, batch[i])
			continue
		}
		var g groupRow
		if err := decodeJSON(row.Value, &g); err != nil {
			return nil, nil, err
		}
		present = append(present, g)
	}
	return present, missing, nil
}

func (st *store) commitTransaction(ctx context.Context, s step, batch []finishedGroup) (platform.Transaction, error) {
	tx := platform.Transaction{Checks: []platform.Check{{Key: s.key(), Version: s.version}}}
	for _, g := range batch {
		row := groupRow{Group: g.group, CommitID: g.commitID, OldestVersion: g.oldestVersion}
		content := contentKey(s.Trainer, s.Step, g.group, g.commitID)
		if len(g.encoded) > maxInlineBytes {
			if err := st.objects.Put(ctx, content, g.encoded); err != nil {
				return tx, err
			}
			row.InObject = true
		} else {
			tx.Writes = append(tx.Writes, platform.Write{Key: content, Value: g.encoded})
		}
		value, err := encodeJSON(row)
		if err != nil {
			return tx, err
		}
		key := groupKey(s.Trainer, s.Step, g.group)
		tx.Checks = append(tx.Checks, platform.Check{Key: key, Version: 0})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	return tx, nil
}

// discard deletes committed groups of a step that is running, or sealed but not delivered, and
// sets the step to running. It also writes the step row, which makes any commit or seal that
// was prepared earlier fail.
func (st *store) discard(ctx context.Context, s step, stale []groupRow) (step, error) {
	if s.State == trainerapi.StepSealed {
		s.Epoch++
	}
	s.State = trainerapi.StepRunning
	s.Sealed = nil
	s.Discarded += len(stale)
	var writes []platform.Write
	for _, g := range stale {
		writes = append(writes, platform.Write{Key: groupKey(s.Trainer, s.Step, g.Group), Delete: true})
		if !g.InObject {
			writes = append(writes, platform.Write{Key: contentKey(s.Trainer, s.Step, g.Group, g.CommitID), Delete: true})
		}
	}
	s, err := st.writeStep(ctx, s, writes...)
	if err != nil {
		return s, err
	}
	for _, g := range stale {
		if g.InObject {
			_ = st.objects.Delete(ctx, contentKey(s.Trainer, s.Step, g.Group, g.CommitID))
		}
	}
	return s, nil
}

// seal sets the step to sealed, with the given groups as its content.
func (st *store) seal(ctx context.Context, s step, groups []groupRow) (step, error) {
	s.State = trainerapi.StepSealed
	s.Sealed = nil
	for _, g := range groups {
		s.Sealed = append(s.Sealed, sealedGroup{Group: g.Group, CommitID: g.CommitID, OldestVersion: g.OldestVersion})
	}
	return st.writeStep(ctx, s)
}

// end moves the step to a final state. clean removes its content later.
func (st *store) end(ctx context.Context, s step, state trainerapi.StepState) (step, error) {
	s.State = state
	return st.writeStep(ctx, s)
}

// markDelivered records that the content is about to be sent for the first time. After that the
// content must not change.
func (st *store) markDelivered(ctx context.Context, s step) (step, error) {
	s.Delivered = true
	return st.writeStep(ctx, s)
}

// content reads the samples of a sealed step. Conflict means that the step was changed
// concurrently.
func (st *store) content(ctx context.Context, s step) ([]trainerapi.Sample, error) {
	committed, err := st.groups(ctx, s.Trainer, s.Step)
	if err != nil {
		return nil, err
	}
	byID := make(map[string]groupRow, len(committed))
	for _, g := range committed {
		byID[g.CommitID] = g
	}
	var samples []trainerapi.Sample
	for _, sealed := range s.Sealed {
		g, ok := byID[sealed.CommitID]
		if !ok {
			return nil, failure.New(failure.Conflict, failure.NotRun, "step %d was changed concurrently", s.Step)
		}
		group, err := st.groupContent(ctx, s, g)
		if err != nil {
			return nil, err
		}
		samples = append(samples, group...)
	}
	return samples, nil
}

func (st *store) groupContent(ctx context.Context, s step, g groupRow) ([]trainerapi.Sample, error) {
	key := contentKey(s.Trainer, s.Step, g.Group, g.CommitID)
	value, err := st.contentValue(ctx, key, g.InObject)
	if err != nil {
		return nil, err
	}
	var samples []trainerapi.Sample
	return samples, decodeJSON(value, &samples)
}

func (st *store) contentValue(ctx context.Context, key string, inObject bool) ([]byte, error) {
	if inObject {
		return st.objects.Get(ctx, key)
	}
	rows, err := st.table.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(rows) != 1 || rows[0].Version == 0 {
		return nil, failure.New(failure.Conflict, failure.NotRun, "a group was discarded concurrently")
	}
	return rows[0].Value, nil
}

// clean removes the rows and objects of a step in a final state, then the row that lists it as
// unfinished. The step row stays, which prevents the number from being used again.
func (st *store) clean(ctx context.Context, s step) error {
	groups, err := st.groups(ctx, s.Trainer, s.Step)
	if err != nil {
		return err
	}
	var writes []platform.Write
	for _, g := range groups {
		key := contentKey(s.Trainer, s.Step, g.Group, g.CommitID)
		if g.InObject {
			if err := st.objects.Delete(ctx, key); err != nil && !failure.IsKind(err, failure.NotFound) {
				return err
			}
		} else {
			writes = append(writes, platform.Write{Key: key, Delete: true})
		}
		writes = append(writes, platform.Write{Key: groupKey(s.Trainer, s.Step, g.Group), Delete: true})
	}
	if s.Definition.Object != "" {
		if err := st.objects.Delete(ctx, s.Definition.Object); err != nil && !failure.IsKind(err, failure.NotFound) {
			return err
		}
	}
	writes = append(writes, platform.Write{Key: activeKey(s.Trainer, s.Step), Delete: true})
	return st.table.Transact(ctx, platform.Transaction{Writes: writes})
}
