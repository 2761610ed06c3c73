package roster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

// node is one host with its heartbeat and its roster.
type node struct {
	id        string
	rows      *platformtest.RowsClient
	roster    *Roster
	heartbeat *Heartbeat
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

func start(rows *platformtest.Rows, id, incarnation string) *node {
	n := newNode(rows, id, incarnation)
	n.run()
	return n
}

func newNode(rows *platformtest.Rows, id, incarnation string) *node {
	client := rows.Client()
	r := New(logr.Discard())
	return &node{id: id, rows: client, roster: r, heartbeat: NewHeartbeat(Host{ID: id, Incarnation: incarnation, Address: id}, client, r, logr.Discard())}
}

func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	follower := follow.New(n.roster.FollowConfig(), n.rows, n.roster, logr.Discard())
	n.done.Go(func() { _ = n.heartbeat.Run(ctx) })
	n.done.Go(func() { _ = follower.Run(ctx) })
}

func (n *node) stop() {
	n.cancel()
	n.done.Wait()
}

func startAll(rows *platformtest.Rows, count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = start(rows, fmt.Sprintf("host-%d", i), "one")
	}
	time.Sleep(2 * time.Second)
	return nodes
}

func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.stop()
	}
}

func TestDeadHostIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startAll(platformtest.NewRows(), 3)
		defer stopAll(nodes)
		nodes[0].cancel()
		time.Sleep(DeadAfter + time.Second)
		if nodes[1].roster.Alive("host-0", "one") {
			t.Error("host without a heartbeat counts as alive")
		}
		if !nodes[1].roster.Alive("host-2", "one") || len(nodes[1].roster.Hosts()) != 2 {
			t.Errorf("live hosts are %v", nodes[1].roster.Hosts())
		}
	})
}

func TestRestartedHostIsAnotherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		nodes := startAll(rows, 2)
		nodes[0].stop()
		nodes[0] = start(rows, "host-0", "two")
		defer stopAll(nodes)
		time.Sleep(time.Second)
		if nodes[1].roster.Alive("host-0", "one") || !nodes[1].roster.Alive("host-0", "two") {
			t.Error("the old incarnation counts as alive, or the new one does not")
		}
	})
}

func TestStoreOutageMarksNoHostDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startAll(platformtest.NewRows(), 4)
		defer stopAll(nodes)
		for _, n := range nodes {
			n.rows.SetDown(true)
		}
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			n.rows.SetDown(false)
		}
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if got := len(n.roster.Hosts()); got != len(nodes) {
					t.Fatalf("%s sees %d of %d hosts after an outage", n.id, got, len(nodes))
				}
			}
		}
	})
}

// A store that is sixty times slower takes half a second for a write. When all
// heartbeats were in one part, their writes queued and each host considered all
// others dead.
func TestSlowStoreMarksNoHostDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		nodes := startAll(rows, 12)
		defer stopAll(nodes)
		rows.SetWriteTime(480 * time.Millisecond)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if got := len(n.roster.Hosts()); got != len(nodes) {
					t.Fatalf("%s sees %d of %d hosts while the store is slow", n.id, got, len(nodes))
				}
			}
		}
	})
}

func TestLeavingHostGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startAll(platformtest.NewRows(), 3)
		defer stopAll(nodes)
		key := ""
		for i := range 100 {
			key = fmt.Sprint(i)
			if id, _, _ := nodes[1].roster.PreferredHost(key); id == "host-0" {
				break
			}
		}
		nodes[0].heartbeat.SetDraining()
		time.Sleep(time.Second)
		if id, _, ok := nodes[1].roster.PreferredHost(key); !ok || id == "host-0" {
			t.Errorf("work goes to %q, found %t", id, ok)
		}
		if !nodes[1].roster.Alive("host-0", "one") {
			t.Error("draining host counts as dead while it hands over its work")
		}
	})
}

func TestRankIsAnOrderOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startAll(platformtest.NewRows(), 8)
		defer stopAll(nodes)
		firsts := map[string]int{}
		for i := range 400 {
			key := fmt.Sprintf("model-%d", i)
			seen := map[int]bool{}
			for _, n := range nodes {
				seen[nodes[0].roster.Rank(key, n.id)] = true
			}
			if len(seen) != len(nodes) {
				t.Fatalf("ranks of %s are %v", key, seen)
			}
			id, _, _ := nodes[0].roster.PreferredHost(key)
			if nodes[0].roster.Rank(key, id) != 0 {
				t.Fatalf("the first host of %s has rank %d", key, nodes[0].roster.Rank(key, id))
			}
			firsts[id]++
		}
		for _, n := range nodes {
			if firsts[n.id] < 20 {
				t.Errorf("%s is first for %d of 400 keys, want at least 20", n.id, firsts[n.id])
			}
		}
	})
}

func TestRemovedHostStaysRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		nodes := startAll(rows, 2)
		defer stopAll(nodes)
		// The heartbeat still runs while the last requests in flight end.
		nodes[0].heartbeat.Remove(t.Context())
		time.Sleep(2 * time.Second)
		if rows.Row(rowID("host-0")).Version != 0 {
			t.Error("the next heartbeat wrote the row of a removed host again")
		}
	})
}

// A host deletes its row while another host can't reach the store, and the store
// loses its history of changes. The other host never receives the deletion.
func TestHostThatLeftUnseenIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		nodes := startAll(rows, 3)
		defer stopAll(nodes)
		nodes[1].rows.SetDown(true)
		nodes[0].cancel()
		nodes[0].heartbeat.Remove(context.Background())
		time.Sleep(time.Second)
		rows.DropHistory()
		nodes[1].rows.SetDown(false)
		time.Sleep(keepRowFor + 2*heartbeatsPerSweep*heartbeatInterval)
		if got := len(nodes[1].roster.entries); got != 2 {
			t.Errorf("%d hosts are known, want 2", got)
		}
	})
}

// Every host writes a row and reads those of all. Without longer intervals the
// calls would grow with the number of hosts, and the rows read with its square.
func TestMoreHostsDoNotCallMore(t *testing.T) {
	calls := func(hosts int) (writes, looks float64) {
		synctest.Test(t, func(t *testing.T) {
			rows := platformtest.NewRows()
			nodes := startAll(rows, hosts)
			defer stopAll(nodes)
			time.Sleep(3 * time.Second)
			const during = 6 * time.Second
			before, seen := rows.Commits(), 0
			for _, n := range nodes {
				seen -= n.rows.ChangesCalls()
			}
			time.Sleep(during)
			for _, n := range nodes {
				seen += n.rows.ChangesCalls()
			}
			writes, looks = float64(rows.Commits()-before)/during.Seconds(), float64(seen)/during.Seconds()
			nodes[0].cancel()
			time.Sleep(nodes[1].heartbeat.Self().scaled(DeadAfter + time.Second))
			if nodes[1].roster.Alive("host-0", "one") {
				t.Errorf("host without a heartbeat counts as alive among %d hosts", hosts)
			}
			if got := len(nodes[1].roster.Hosts()); got != hosts-1 {
				t.Errorf("%d of %d hosts count as alive", got, hosts-1)
			}
		})
		return writes, looks
	}
	writes, looks := calls(100)
	manyWrites, manyLooks := calls(250)
	t.Logf("100 hosts write %.0f and look %.0f times a second, 250 hosts %.0f and %.0f", writes, looks, manyWrites, manyLooks)
	if manyWrites > 1.1*writes || manyLooks > 1.1*looks {
		t.Errorf("100 hosts write %.0f and look %.0f times a second, 250 hosts %.0f and %.0f", writes, looks, manyWrites, manyLooks)
	}
}

// Guards against a demand that counts only this host's requests, or those of dead hosts.
func TestRequestsOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		nodes := make([]*node, 3)
		for i := range nodes {
			nodes[i] = newNode(rows, fmt.Sprintf("host-%d", i), "one")
			nodes[i].heartbeat.SetRequests(func() map[string]int { return map[string]int{"s": i + 1, "t": 1} })
			nodes[i].run()
		}
		time.Sleep(2 * time.Second)
		if got := nodes[0].roster.Requests(); got["s"] != 6 || got["t"] != 3 {
			t.Errorf("requests of all hosts are %v", got)
		}
		nodes[2].stop()
		time.Sleep(3 * time.Second)
		if got := nodes[0].roster.Requests(); got["s"] != 3 {
			t.Errorf("requests after the loss of a host are %v", got)
		}
		stopAll(nodes[:2])
	})
}

// A step of one host's time of day moves neither its own true time nor that of others, and
// hosts without the setting announce nothing.
func TestTrueTimeIgnoresAStepOfOneClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := platformtest.NewRows()
		nodes := startAll(rows, 4)
		if _, known := nodes[0].roster.TrueTime(time.Now()); known {
			t.Error("the true time is known although no host announces its clock")
		}
		stopAll(nodes)
		var step time.Duration
		for i := range nodes {
			nodes[i] = newNode(rows, fmt.Sprintf("host-%d", i), "two")
			offset := time.Duration(i) * 10 * time.Millisecond
			nodes[i].heartbeat.AnnounceClock(func() time.Time {
				if offset == 0 {
					return time.Now().Add(step)
				}
				return time.Now().Add(offset)
			})
			nodes[i].run()
		}
		time.Sleep(3 * time.Second)
		for _, step = range []time.Duration{0, 5 * time.Second, -5 * time.Second, 0} {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range nodes {
					got, known := n.roster.TrueTime(time.Now())
					if off := got - time.Duration(time.Now().UnixNano()); !known || off < 0 || off > 30*time.Millisecond {
						t.Fatalf("host %s is off by %s after a step of %s, known: %t", n.id, off, step, known)
					}
				}
			}
		}
		stopAll(nodes)
	})
}
