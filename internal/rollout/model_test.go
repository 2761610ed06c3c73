package rollout

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	modelGroups = 3
	modelBound  = 1
)

// stepModel runs two hosts that process the same step, with any interleaving of their calls,
// lost replies and calls that take effect late, and checks what the trainer receives.
type stepModel struct {
	rows  *fakeStore
	store *store
	// late holds transactions whose reply was lost and that take effect later or never.
	late []platform.Transaction
	// held and groups are the state that each host last read. A paused host uses it later.
	held   [2]step
	groups [2][]groupRow
	newest uint64
	// delivered is the content of the first delivery.
	delivered []trainerapi.Sample
	cleaned   bool
}

func newStepModel(t *rapid.T) *stepModel {
	m := &stepModel{rows: newFakeStore(), newest: 1}
	m.store = &store{table: m.rows, objects: m.rows}
	m.rows.transactOutcome = func(tx platform.Transaction) callOutcome {
		switch rapid.IntRange(0, 5).Draw(t, "outcome") {
		case 0:
			return replyLost
		case 1:
			return requestLost
		case 2:
			m.late = append(m.late, tx)
			return requestLost
		}
		return succeeds
	}
	return m
}

func (m *stepModel) host(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "host") }

// failUnlessExpected fails the test for errors that the injected store faults do not cause.
func (m *stepModel) failUnlessExpected(t *rapid.T, err error) {
	known := failure.IsKind(err, failure.Conflict) || failure.IsKind(err, failure.StoreInDoubt) || failure.IsKind(err, failure.NotFound)
	if err != nil && !known {
		t.Fatal(err)
	}
}

func (m *stepModel) create(t *rapid.T) {
	_, err := m.store.create(context.Background(), "advice", 1, stepRequest(modelGroups, 1), 1)
	m.failUnlessExpected(t, err)
}

func (m *stepModel) read(t *rapid.T) {
	host := m.host(t)
	s, err := m.store.read(context.Background(), "advice", 1)
	m.failUnlessExpected(t, err)
	if err != nil {
		return
	}
	m.held[host] = s
	m.groups[host], err = m.store.groups(context.Background(), "advice", 1)
	m.failUnlessExpected(t, err)
}

func (m *stepModel) commit(t *rapid.T) {
	s := m.held[m.host(t)]
	if s.version == 0 || s.State != trainerapi.StepRunning {
		return
	}
	var batch []finishedGroup
	for group := range modelGroups {
		if !rapid.Bool().Draw(t, "in batch") {
			continue
		}
		id := uuid.NewString()
		encoded, err := encodeJSON([]trainerapi.Sample{{ID: id, Group: group}})
		if err != nil {
			t.Fatal(err)
		}
		batch = append(batch, finishedGroup{group: group, commitID: id, oldestVersion: m.newest, encoded: encoded})
	}
	if len(batch) == 0 {
		return
	}
	_, err := m.store.commitGroups(context.Background(), s, batch)
	m.failUnlessExpected(t, err)
}

func (m *stepModel) sealOrDrop(t *rapid.T) {
	host := m.host(t)
	s := m.held[host]
	if s.version == 0 || s.State != trainerapi.StepRunning {
		return
	}
	var err error
	groups := m.groups[host]
	stale := slices.DeleteFunc(slices.Clone(groups), func(g groupRow) bool { return age(m.newest, g.OldestVersion) <= modelBound })
	switch {
	case len(stale) > 0:
		s, err = m.store.discard(context.Background(), s, stale)
	case len(groups) == modelGroups:
		s, err = m.store.seal(context.Background(), s, groups)
	default:
		return
	}
	m.failUnlessExpected(t, err)
	if err != nil {
		return
	}
	m.held[host] = s
	m.groups[host] = slices.DeleteFunc(groups, func(g groupRow) bool { return slices.Contains(stale, g) })
}

func (m *stepModel) publish(*rapid.T) { m.newest++ }

// applyLate applies a transaction whose reply was lost earlier.
func (m *stepModel) applyLate(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late call")
	_ = m.rows.apply(m.late[i])
	m.late = slices.Delete(m.late, i, i+1)
}

// fetch fetches the samples, as any host does for the trainer.
func (m *stepModel) fetch(t *rapid.T) {
	s, err := m.store.read(context.Background(), "advice", 1)
	m.failUnlessExpected(t, err)
	if err != nil || s.State != trainerapi.StepSealed {
		return
	}
	samples, err := m.store.content(context.Background(), s)
	m.failUnlessExpected(t, err)
	if err != nil {
		return
	}
	if countStaleGroups(s, m.newest, modelBound) > 0 {
		if !s.Delivered {
			groups, err := m.store.groups(context.Background(), "advice", 1)
			m.failUnlessExpected(t, err)
			_, err = m.store.discard(context.Background(), s, groups)
			m.failUnlessExpected(t, err)
		}
		return
	}
	if !s.Delivered {
		if s, err = m.store.markDelivered(context.Background(), s); err != nil {
			m.failUnlessExpected(t, err)
			return
		}
	}
	m.checkDelivery(t, samples)
}

func (m *stepModel) checkDelivery(t *rapid.T, samples []trainerapi.Sample) {
	groups := map[int]bool{}
	for _, sample := range samples {
		groups[sample.Group] = true
	}
	if len(samples) != modelGroups || len(groups) != modelGroups {
		t.Fatalf("delivered %v, want each group once", samples)
	}
	if m.delivered == nil {
		m.delivered = samples
	}
	if diff := cmp.Diff(m.delivered, samples); diff != "" {
		t.Fatalf("a later fetch returned different samples: %s", diff)
	}
}

// end acknowledges a delivered step, as any host does for the trainer.
func (m *stepModel) end(t *rapid.T) {
	s, err := m.store.read(context.Background(), "advice", 1)
	m.failUnlessExpected(t, err)
	if err != nil || s.State != trainerapi.StepSealed || !s.Delivered {
		return
	}
	_, err = m.store.end(context.Background(), s, trainerapi.StepAcknowledged)
	m.failUnlessExpected(t, err)
}

// clean removes the content of an ended step, as the owner does.
func (m *stepModel) clean(t *rapid.T) {
	s, err := m.store.read(context.Background(), "advice", 1)
	m.failUnlessExpected(t, err)
	if err == nil && s.State == trainerapi.StepAcknowledged {
		err = m.store.clean(context.Background(), s)
		m.failUnlessExpected(t, err)
		m.cleaned = m.cleaned || err == nil
	}
}

// check verifies the invariants after each action: a delivered step is not running again, a
// cleaned step leaves only its own row, and the content of a sealed step exists.
func (m *stepModel) check(t *rapid.T) {
	var s stepRow
	row, ok := m.rows.rows[stepKey("advice", 1)]
	if !ok {
		return
	}
	if err := decodeJSON(row.Value, &s); err != nil {
		t.Fatal(err)
	}
	if s.Delivered && s.State == trainerapi.StepRunning {
		t.Fatal("a delivered step is running again")
	}
	if m.cleaned && len(m.rows.rows) > 1 {
		t.Fatalf("rows %v are left of a cleaned step, want its own", slices.Collect(maps.Keys(m.rows.rows)))
	}
	if s.State != trainerapi.StepSealed {
		return
	}
	for _, sealed := range s.Sealed {
		if _, ok := m.rows.rows[contentKey("advice", 1, sealed.Group, sealed.CommitID)]; !ok {
			t.Fatalf("sealed group %d has no content", sealed.Group)
		}
	}
}

// TestStepModel checks commit, seal, discard and delivery by two hosts with any order of their
// calls.
func TestStepModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStepModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":  m.create,
			"read":    m.read,
			"commit":  m.commit,
			"seal":    m.sealOrDrop,
			"publish": m.publish,
			"late":    m.applyLate,
			"fetch":   m.fetch,
			"end":     m.end,
			"clean":   m.clean,
			"":        m.check,
		})
	})
}

// A step definition and a group that are too large for a row are stored as objects.
func TestLargeContentIsAnObject(t *testing.T) {
	rows := newFakeStore()
	st := newStore(rows, rows)
	s, err := st.create(t.Context(), "advice", 1, stepRequest(1000, 1), 1)
	if err != nil {
		t.Fatal(err)
	}
	large := []trainerapi.Sample{{ID: "id", Text: fmt.Sprintf("%0*d", maxInlineBytes, 1)}}
	encoded, err := encodeJSON(large)
	if err != nil {
		t.Fatal(err)
	}
	group := finishedGroup{group: 5, commitID: "c", oldestVersion: 1, encoded: encoded}
	present, err := st.commitGroups(t.Context(), s, []finishedGroup{group})
	if err != nil || len(present) != 1 {
		t.Fatalf("committed %v: %v", present, err)
	}
	group.commitID = "loser"
	if _, err := st.commitGroups(t.Context(), s, []finishedGroup{group}); err != nil {
		t.Fatal(err)
	}
	if s, err = st.seal(t.Context(), s, present); err != nil {
		t.Fatal(err)
	}
	got, err := st.content(t.Context(), s)
	if err != nil || !cmp.Equal(got, large) {
		t.Errorf("content differs: %v", err)
	}
	if len(rows.objects) != 2 {
		t.Errorf("%d objects, want the definition and one group", len(rows.objects))
	}
}
