package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

const (
	modelTerm   = 6 * time.Second
	modelMargin = 2 * time.Second
	modelShard  = "s"
)

// modelProcess is one process that competes for the lease. It alternates between
// reading and writing the row; other processes may act between the two.
type modelProcess struct {
	name     string
	restarts int
	machine  *stateMachine
	// behind is how far the process's clock lags because it was paused.
	behind time.Duration
	// read is true if the process has read the row and writes in its next step.
	read bool
}

func (p *modelProcess) restart() {
	p.restarts++
	p.read = false
	p.machine = newStateMachine(p.name, fmt.Sprint(p.name, "-", p.restarts), modelTerm, modelMargin)
}

// model consists of a table, a few processes and a clock.
type model struct {
	table     *platformtest.Table
	now       time.Time
	processes []*modelProcess
	// owners holds the incarnation that acted under each fencing token.
	owners map[uint64]string
	// accepted is the highest token that an engine with fencing has seen.
	accepted uint64
	// clocksPaused is true once a process's clock was paused.
	clocksPaused bool
}

func newModel() *model {
	m := &model{table: platformtest.NewTable(), now: time.Unix(1000, 0), owners: map[uint64]string{}}
	for i := range 3 {
		p := &modelProcess{name: fmt.Sprint("p", i)}
		p.restart()
		m.processes = append(m.processes, p)
	}
	return m
}

func (m *model) clock(p *modelProcess) time.Time { return m.now.Add(-p.behind) }

func (m *model) pick(t *rapid.T) *modelProcess {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
}

// step lets a process read the row, or make the write that follows from its last read.
func (m *model) step(t *rapid.T) {
	p := m.pick(t)
	if !p.read {
		rows, err := m.table.Read(t.Context(), rowKey(modelShard))
		if err != nil {
			t.Fatal(err)
		}
		o, err := decodeRow(rows[0])
		if err != nil {
			t.Fatal(err)
		}
		p.machine.observe(o, m.clock(p))
		p.read = true
		return
	}
	p.read = false
	now := m.clock(p)
	switch {
	case p.machine.releasing:
		m.write(t, p, p.machine.release())
	case p.machine.held && rapid.IntRange(0, 9).Draw(t, "release") == 0:
		m.write(t, p, p.machine.release())
	case p.machine.held:
		m.write(t, p, p.machine.renewal(now))
	case p.machine.canTakeOver(now, 0):
		m.write(t, p, p.machine.takeover(now))
	}
}

func (m *model) write(t *rapid.T, p *modelProcess, next row) {
	// None is listed twice to make it the most frequent.
	faults := []platformtest.Fault{
		platformtest.None, platformtest.None, platformtest.Down,
		platformtest.RequestLost, platformtest.ReplyLost, platformtest.Late,
	}
	m.table.FailNext(rapid.SampledFrom(faults).Draw(t, "fault"))
	tx, err := transaction(modelShard, p.machine.seen.version, next)
	if err != nil {
		t.Fatal(err)
	}
	switch err := m.table.Transact(t.Context(), tx); {
	case err == nil:
		p.machine.writeApplied(next)
	case !failure.IsKind(err, failure.StoreInDoubt):
		p.machine.writeRejected(next)
	}
}

// order lets a process send an order under its grant to an engine that checks fencing tokens.
func (m *model) order(t *rapid.T) {
	p := m.pick(t)
	until, held := p.machine.validUntil()
	if !held || !m.clock(p).Before(until) || p.machine.fence < m.accepted {
		return
	}
	m.accepted = p.machine.fence
	owner, known := m.owners[p.machine.fence]
	if known && owner != p.machine.incarnation {
		t.Fatalf("fencing token %d was granted to %s and %s", p.machine.fence, owner, p.machine.incarnation)
	}
	m.owners[p.machine.fence] = p.machine.incarnation
}

func (m *model) pauseClock(t *rapid.T) {
	m.clocksPaused = true
	p := m.pick(t)
	p.behind += time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond
}

// check requires that no two processes may act at the same time, unless a clock was paused.
func (m *model) check(t *rapid.T) {
	var acting []string
	for _, p := range m.processes {
		until, held := p.machine.validUntil()
		if held && m.clock(p).Before(until) {
			acting = append(acting, fmt.Sprintf("%s with fence %d until %s", p.machine.incarnation, p.machine.fence, until.Format(time.TimeOnly)))
		}
	}
	if len(acting) > 1 && !m.clocksPaused {
		t.Fatalf("at %s more than one process may act: %v", m.now.Format(time.TimeOnly), acting)
	}
	m.checkFence(t)
}

// checkFence requires that the fencing token in the table is not below one that was used.
func (m *model) checkFence(t *rapid.T) {
	stored := m.table.Snapshot()[rowKey(modelShard)]
	if stored.Version == 0 {
		return
	}
	var r row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		t.Fatal(err)
	}
	if r.Fence < m.accepted {
		t.Fatalf("the table has fence %d after an engine saw %d", r.Fence, m.accepted)
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	// rapid draws the actions uniformly: step is listed three times to occur more
	// often. It runs the action "" after each of the others.
	return map[string]func(*rapid.T){
		"advance": m.advance,
		"step":    m.step,
		"step2":   m.step,
		"step3":   m.step,
		"order":   m.order,
		"deliver": func(*rapid.T) { m.table.ApplyLateWrites() },
		"restart": func(t *rapid.T) { m.pick(t).restart() },
		"":        m.check,
	}
}

func TestModelOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newModel().actions())
	})
}

// A paused clock lets a former holder keep acting; the fencing token must make its orders recognisable.
func TestModelFencingHoldsWhileClocksPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		actions := m.actions()
		actions["pause clock"] = m.pauseClock
		t.Repeat(actions)
	})
}

// A table restored from a backup may contain an old row of this process, which must not count as a grant.
func TestRestoredRowIsNoGrant(t *testing.T) {
	m := newStateMachine("a", "a-1", modelTerm, modelMargin)
	now := time.Unix(1000, 0)
	m.observe(observation{}, now)
	first := m.takeover(now)
	m.writeApplied(first)
	m.observe(observation{row: first, version: 1}, now)
	second := m.renewal(now)
	m.writeApplied(second)
	m.observe(observation{row: second, version: 2}, now)
	m.observe(observation{row: first, version: 1}, now)
	if _, held := m.validUntil(); held {
		t.Error("a restored row counts as a grant")
	}
}

func platformRow(r row) platform.Row {
	value, _ := json.Marshal(r)
	return platform.Row{Key: rowKey(modelShard), Value: value, Version: 1}
}

func TestTakeoverWaitsForLongerTermOfHolder(t *testing.T) {
	o, err := decodeRow(platformRow(row{Holder: "b", TermMillis: (3 * modelTerm).Milliseconds()}))
	if err != nil {
		t.Fatal(err)
	}
	m := newStateMachine("a", "a-1", modelTerm, modelMargin)
	now := time.Unix(1000, 0)
	m.observe(o, now)
	if m.canTakeOver(now.Add(3*modelTerm-1), 0) || !m.canTakeOver(now.Add(3*modelTerm), 0) {
		t.Error("the takeover does not wait exactly for the holder's own term")
	}
}
