package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

// modelChecks is the number of random runs of each model-based test; the flag -rapid.checks overrides it.
const modelChecks = "2000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", modelChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// modelOperator commits changes through one host at a time. Other operators may
// act between its read and its write.
type modelOperator struct {
	attempt *commitAttempt
	// seen is the snapshot that was read for the next write; nil if none was read.
	seen *snapshot
}

// model consists of a table, a few hosts and operators, and the changes that are
// known to be accepted.
type model struct {
	table     *platformtest.Table
	network   *peertest.Network
	hosts     []*testHost
	operators []*modelOperator
	changes   int
	// accepted holds the first seen content of each version.
	accepted map[uint64]VersionInfo
	// bases holds the base version of each change.
	bases map[string]uint64
	// succeeded holds the version that operators were told for each accepted
	// change, and refused the changes that they were told were refused.
	succeeded map[string]uint64
	refused   map[string]bool
	// inForce is the highest version seen on each host since its start.
	inForce []uint64
	// backup is the content that loseVersions restores.
	backup map[string]platform.Row
}

func newModel() *model {
	m := &model{
		table:     platformtest.NewTable(),
		network:   peertest.NewNetwork(),
		operators: []*modelOperator{{}, {}, {}},
		accepted:  map[uint64]VersionInfo{},
		bases:     map[string]uint64{},
		succeeded: map[string]uint64{},
		refused:   map[string]bool{},
		inForce:   make([]uint64, 3),
	}
	for i := range m.inForce {
		m.hosts = append(m.hosts, newTestHost(fmt.Sprint("h", i), m.table, m.network))
	}
	m.backup = m.table.Snapshot()
	return m
}

func pick[T any](t *rapid.T, items []T) T {
	return items[rapid.IntRange(0, len(items)-1).Draw(t, "pick")]
}

// stepOperator lets an operator make its next step: begin a change, read, or write.
func (m *model) stepOperator(t *rapid.T) {
	o := pick(t, m.operators)
	switch {
	case o.attempt == nil:
		m.begin(t, o)
	case o.seen == nil:
		m.read(t, o)
	default:
		m.write(t, o)
	}
}

func (m *model) begin(t *rapid.T, o *modelOperator) {
	host := pick(t, m.hosts)
	m.changes++
	c := change(fmt.Sprint("c", m.changes), host.source.Record().Version, m.changes)
	m.bases[c.ID] = c.Base
	o.attempt = &commitAttempt{committer: host.committer, change: c, hash: HashText(c.Text)}
}

func (m *model) read(t *rapid.T, o *modelOperator) {
	seen, err := o.attempt.committer.store.snapshot(t.Context(), o.attempt.change.ID)
	if err != nil {
		t.Fatal(err)
	}
	if seen.change.Version != 0 {
		head, err := o.attempt.resolveRepeat(seen.change)
		m.recordReply(t, o, head, err)
		return
	}
	o.seen = &seen
}

func (m *model) write(t *rapid.T, o *modelOperator) {
	seen := *o.seen
	o.seen = nil
	record, err := o.attempt.nextRecord(seen)
	if err == nil {
		m.table.FailNext(pick(t, []platformtest.Fault{
			platformtest.None, platformtest.None, platformtest.Down,
			platformtest.RequestLost, platformtest.ReplyLost, platformtest.Late,
		}))
		err = o.attempt.committer.store.write(t.Context(), record, seen.headRowVersion)
	}
	m.recordReply(t, o, record.VersionInfo, err)
}

// recordReply records the reply to an operator. An operator retries if the outcome is unknown.
func (m *model) recordReply(t *rapid.T, o *modelOperator, head VersionInfo, err error) {
	id := o.attempt.change.ID
	switch {
	case err == nil:
		m.succeeded[id] = head.Version
		m.accepted[head.Version] = head
		record := Record{VersionInfo: head, Text: string(o.attempt.change.Text)}
		if err := o.attempt.committer.source.apply(record, originCommit); err != nil {
			t.Fatal(err)
		}
		o.attempt = nil
	case isFinalConflict(err):
		m.refused[id] = true
		o.attempt = nil
	case failure.IsKind(err, failure.KeyReused):
		t.Fatal(err)
	}
}

// switchHost lets an operator repeat its change through another host, as after a missing reply.
func (m *model) switchHost(t *rapid.T) {
	if o := pick(t, m.operators); o.attempt != nil {
		o.seen = nil
		o.attempt.committer = pick(t, m.hosts).committer
	}
}

func (m *model) abandon(t *rapid.T) { *pick(t, m.operators) = modelOperator{} }

func (m *model) poll(t *rapid.T) {
	host := pick(t, m.hosts)
	_ = host.poller.pollOnce(t.Context())
	if err := host.announcer.publish(); err != nil {
		t.Fatal(err)
	}
}

func (m *model) follow(t *rapid.T) {
	host := pick(t, m.hosts)
	host.follower.followOnce(t.Context())
	if err := host.announcer.publish(); err != nil {
		t.Fatal(err)
	}
}

func (m *model) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	old := m.hosts[i]
	m.hosts[i] = newTestHost(fmt.Sprint("h", i), m.table, m.network)
	m.inForce[i] = 0
	for _, o := range m.operators {
		if o.attempt != nil && o.attempt.committer == old.committer {
			o.seen = nil
			o.attempt.committer = m.hosts[i].committer
		}
	}
}

// check compares the state of the table and the hosts with earlier states and replies.
func (m *model) check(t *rapid.T) {
	m.checkTable(t)
	for i, host := range m.hosts {
		record := host.source.Record()
		if record.Version < m.inForce[i] {
			t.Fatalf("host %d went back from version %d to %d", i, m.inForce[i], record.Version)
		}
		m.inForce[i] = record.Version
		if record.Version != 0 && m.accepted[record.Version] != record.VersionInfo {
			t.Fatalf("host %d has %+v in force, accepted was %+v", i, record.VersionInfo, m.accepted[record.Version])
		}
	}
	byID := map[string]uint64{}
	for _, version := range slices.Sorted(maps.Keys(m.accepted)) {
		id := m.accepted[version].ChangeID
		if byID[id] != 0 {
			t.Fatalf("change %s was accepted as versions %d and %d", id, byID[id], version)
		}
		byID[id] = version
		if m.bases[id] != version-1 {
			t.Fatalf("change %s of version %d became version %d", id, m.bases[id], version)
		}
		if m.refused[id] {
			t.Fatalf("change %s was refused and accepted as version %d", id, version)
		}
	}
	for id, version := range m.succeeded {
		if byID[id] != version {
			t.Fatalf("change %s was answered with version %d, accepted is %d", id, version, byID[id])
		}
	}
}

// checkTable records the accepted versions and requires that none of them changes.
func (m *model) checkTable(t *rapid.T) {
	for key, row := range m.table.Snapshot() {
		if !strings.HasPrefix(key, documentPrefix) {
			continue
		}
		var record Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			t.Fatal(err)
		}
		if before, known := m.accepted[record.Version]; known && before != record.VersionInfo {
			t.Fatalf("version %d was %+v and is %+v", record.Version, before, record.VersionInfo)
		}
		m.accepted[record.Version] = record.VersionInfo
	}
}

// loseVersions restores the store from the backup. A version that no host has in
// force is lost. Pending calls end with the store's restart.
func (m *model) loseVersions(t *rapid.T) {
	highest := uint64(0)
	for _, host := range m.hosts {
		highest = max(highest, host.source.Record().Version)
		if err := host.announcer.publish(); err != nil {
			t.Fatal(err)
		}
	}
	m.table.ApplyLateWrites()
	m.table.Restore(m.backup)
	maps.DeleteFunc(m.accepted, func(version uint64, _ VersionInfo) bool { return version > highest })
	for _, o := range m.operators {
		o.seen = nil
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"operate":  m.stepOperator,
		"operate2": m.stepOperator,
		"operate3": m.stepOperator,
		"move":     m.switchHost,
		"abandon":  m.abandon,
		"poll":     m.poll,
		"follow":   m.follow,
		"restart":  m.restart,
		"deliver":  func(*rapid.T) { m.table.ApplyLateWrites() },
		"":         m.check,
	}
}

func TestModelCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel().actions()) })
}

// After a store was restored from an older backup, no host may return to a lower
// version, and no change may replace a version that a host still has in force.
func TestModelStoreLosesVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		actions := m.actions()
		delete(actions, "restart")
		actions["back up"] = func(*rapid.T) { m.backup = m.table.Snapshot() }
		actions["lose versions"] = m.loseVersions
		t.Repeat(actions)
	})
}
