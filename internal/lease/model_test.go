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

// modelProcess is one process that competes for the lease. It reads and writes
// in turns; the steps of the model may pause it between any two of them.
type modelProcess struct {
	name     string
	restarts int
	machine  *machine
	// behind is how much the process's clock lags, because it stood still.
	behind time.Duration
	read   bool
}

func (p *modelProcess) restart() {
	p.restarts++
	p.read = false
	p.machine = newMachine(p.name, fmt.Sprint(p.name, "-", p.restarts), modelTerm, modelMargin)
}

// model is a table, a few processes and a clock.
type model struct {
	table     *platformtest.Table
	now       time.Time
	processes []*modelProcess
	// owners names the incarnation that was granted each fencing number.
	owners map[uint64]string
	// accepted is the highest fencing number that a checking engine has seen.
	accepted     uint64
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

// step reads, or writes what the last read calls for.
func (m *model) step(t *rapid.T) {
	p := m.pick(t)
	if !p.read {
		rows, err := m.table.Read(t.Context(), rowKey(modelShard))
		if err != nil {
			t.Fatal(err)
		}
		o, err := decode(rows[0])
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
	case p.machine.free(now, 0):
		m.write(t, p, p.machine.takeover(now))
	}
}

func (m *model) write(t *rapid.T, p *modelProcess, next row) {
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
		p.machine.written(next)
	case !failure.IsKind(err, failure.StoreInDoubt):
		p.machine.refused(next)
	}
}

// order lets a process act under its grant, as an engine that checks fencing sees it.
func (m *model) order(t *rapid.T) {
	p := m.pick(t)
	until, held := p.machine.until()
	if !held || !m.clock(p).Before(until) || p.machine.fence < m.accepted {
		return
	}
	m.accepted = p.machine.fence
	owner, known := m.owners[p.machine.fence]
	if known && owner != p.machine.incarnation {
		t.Fatalf("fence %d was granted to %s and %s", p.machine.fence, owner, p.machine.incarnation)
	}
	m.owners[p.machine.fence] = p.machine.incarnation
}

func (m *model) pauseClock(t *rapid.T) {
	m.clocksPaused = true
	p := m.pick(t)
	p.behind += time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond
}

// check requires that no two processes may act at once, unless a clock stood still.
func (m *model) check(t *rapid.T) {
	var acting []string
	for _, p := range m.processes {
		until, held := p.machine.until()
		if held && m.clock(p).Before(until) {
			acting = append(acting, fmt.Sprintf("%s with fence %d until %s", p.machine.incarnation, p.machine.fence, until.Format(time.TimeOnly)))
		}
	}
	if len(acting) > 1 && !m.clocksPaused {
		t.Fatalf("at %s both act: %v", m.now.Format(time.TimeOnly), acting)
	}
	m.checkFence(t)
}

// checkFence requires that the fencing number in the table never falls.
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

// A clock that stands still lets an old holder act on; fencing must order it.
func TestModelFencesHoldWhileClocksPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		actions := m.actions()
		actions["pause clock"] = m.pauseClock
		t.Repeat(actions)
	})
}

// An old row of this process, as a restored table shows it, is no grant.
func TestRestoredRowIsNoGrant(t *testing.T) {
	m := newMachine("a", "a-1", modelTerm, modelMargin)
	now := time.Unix(1000, 0)
	m.observe(observation{}, now)
	first := m.takeover(now)
	m.written(first)
	m.observe(observation{row: first, version: 1}, now)
	second := m.renewal(now)
	m.written(second)
	m.observe(observation{row: second, version: 2}, now)
	m.observe(observation{row: first, version: 1}, now)
	if _, held := m.until(); held {
		t.Error("a restored row counts as a grant")
	}
}

func platformRow(r row) platform.Row {
	value, _ := json.Marshal(r)
	return platform.Row{Key: rowKey(modelShard), Value: value, Version: 1}
}

func TestWaiterMindsTheLongerTerm(t *testing.T) {
	o, err := decode(platformRow(row{Holder: "b", TermMillis: (3 * modelTerm).Milliseconds()}))
	if err != nil {
		t.Fatal(err)
	}
	m := newMachine("a", "a-1", modelTerm, modelMargin)
	now := time.Unix(1000, 0)
	m.observe(o, now)
	if m.free(now.Add(3*modelTerm-1), 0) || !m.free(now.Add(3*modelTerm), 0) {
		t.Error("the waiter does not wait for the holder's own term")
	}
}
