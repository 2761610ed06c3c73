package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// cluster is a set of nodes on one in-memory network.
type cluster struct {
	t     *testing.T
	net   *memNet
	nodes map[string]*Node
	stops map[string]func()
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, net: newMemNet(), nodes: make(map[string]*Node), stops: make(map[string]func())}
}

func hostID(i int) string { return fmt.Sprintf("h%02d", i) }

// start adds a node whose seed is the first host, and runs it.
func (c *cluster) start(id string, epoch uint64) *Node {
	return c.startNode(c.newNode(id, epoch), func(ctx context.Context, n *Node) { _ = n.Run(ctx) })
}

func (c *cluster) newNode(id string, epoch uint64) *Node {
	address := "addr-" + id
	return NewNode(Options{
		Host:      settings.Host{ID: id, PeerAddress: address, SeedPeers: []string{"addr-" + hostID(0)}},
		Timing:    settings.DefaultTiming(),
		Transport: c.net.listen(id, address),
		Log:       logr.Discard(),
		Epoch:     epoch,
	})
}

func (c *cluster) startNode(n *Node, run func(context.Context, *Node)) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx, n)
	}()
	id := n.opts.Host.ID
	c.nodes[id] = n
	c.stops[id] = func() { cancel(); <-done }
	return n
}

// kill cuts a node off from all others and stops it, so that they don't learn that it has left.
func (c *cluster) kill(id string) {
	c.net.fault(func(a, b string) bool { return a == id || b == id })
	c.stops[id]()
	delete(c.stops, id)
	delete(c.nodes, id)
}

func (c *cluster) stop() {
	// The first loop cancels all nodes, so that they stop in parallel; the second waits for them.
	for _, stop := range c.stops {
		go stop()
	}
	for _, stop := range c.stops {
		stop()
	}
}

func newRunningCluster(t *testing.T, n int) *cluster {
	c := newCluster(t)
	for i := range n {
		c.start(hostID(i), 1)
	}
	return c
}

// within fails the test unless ok holds on all nodes within limit, and returns how long it took.
func (c *cluster) within(limit time.Duration, what string, ok func(n *Node) bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for {
		missing := 0
		for _, n := range c.nodes {
			if !ok(n) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			c.t.Fatalf("%s: %d of %d hosts not within %s", what, missing, len(c.nodes), limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func stateOf(n *Node, id string) HostState {
	for _, h := range n.Hosts() {
		if h.ID == id {
			return h.State
		}
	}
	return ""
}

func hasEntry(n *Node, topic Topic, key, value string) bool {
	for _, e := range n.Entries(topic) {
		if e.Key == key && string(e.Value) == value {
			return true
		}
	}
	return false
}

func aliveCount(n *Node) int {
	count := 0
	for _, h := range n.Hosts() {
		if h.State == StateAlive {
			count++
		}
	}
	return count
}

func TestEntriesReachAllHosts(t *testing.T) {
	for _, size := range []int{2, 13, 52} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRunningCluster(t, size)
				defer c.stop()
				c.within(20*time.Second, "join", func(n *Node) bool { return aliveCount(n) == size })
				c.nodes[hostID(1)].Publish(TopicConfig, "version", []byte("7"), time.Minute)
				c.within(200*time.Millisecond, "urgent entry", func(n *Node) bool { return hasEntry(n, TopicConfig, "version", "7") })
				c.nodes[hostID(1)].Publish(TopicDemand, "tenant", []byte("3"), time.Minute)
				c.within(10*time.Second, "bulk entry", func(n *Node) bool { return hasEntry(n, TopicDemand, "tenant", "3") })
				c.nodes[hostID(1)].Withdraw(TopicConfig, "version")
				c.within(time.Second, "withdrawal", func(n *Node) bool { return len(n.Entries(TopicConfig)) == 0 })
			})
		})
	}
}

func TestEntriesExpireEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t, 5)
		defer c.stop()
		c.within(5*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 5 })
		c.nodes[hostID(2)].Publish(TopicLeaving, "engine-1", nil, 3*time.Second)
		c.within(time.Second, "entry", func(n *Node) bool { return len(n.Entries(TopicLeaving)) == 1 })
		watch := c.nodes[hostID(4)].Watch(TopicLeaving)
		c.within(3*time.Second, "expiry", func(n *Node) bool { return len(n.Entries(TopicLeaving)) == 0 })
		time.Sleep(time.Second)
		select {
		case <-watch:
		default:
			t.Error("the watcher was not notified of the expiry")
		}
	})
}

func TestKilledHostIsSuspectThenDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t, 13)
		defer c.stop()
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 13 })
		c.kill(hostID(5))
		timing := settings.DefaultTiming()
		c.within(timing.PeerSuspect+3*time.Second, "suspicion", func(n *Node) bool { return stateOf(n, hostID(5)) == StateSuspect })
		c.within(timing.PeerDead, "death", func(n *Node) bool { return stateOf(n, hostID(5)) == StateDead })
	})
}

func TestStoppedHostHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t, 13)
		defer c.stop()
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 13 })
		c.stops[hostID(5)]()
		delete(c.nodes, hostID(5))
		delete(c.stops, hostID(5))
		c.within(time.Second, "leave", func(n *Node) bool { return stateOf(n, hostID(5)) == StateLeft })
		time.Sleep(20 * time.Second)
		c.within(0, "still left", func(n *Node) bool { return stateOf(n, hostID(5)) == StateLeft })
	})
}

// A host that can't reach the hosts that monitor it refutes their suspicion through the others.
func TestSuspicionIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 13
		c := newRunningCluster(t, size)
		defer c.stop()
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == size })
		target := hostID(5)
		var watchers []string
		ids := make([]string, 0, size)
		for id := range c.nodes {
			ids = append(ids, id)
		}
		for id := range c.nodes {
			for _, next := range successors(id, ids, monitoredHosts) {
				if next == target {
					watchers = append(watchers, id)
				}
			}
		}
		c.net.fault(func(a, b string) bool { return a == target && (b == watchers[0] || b == watchers[1]) })
		version := func(n *Node) uint64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.hosts.hosts[target].record.Version
		}
		c.within(10*time.Second, "refutation", func(n *Node) bool { return version(n) > 1 && stateOf(n, target) == StateAlive })
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			for id, n := range c.nodes {
				if stateOf(n, target) == StateDead {
					t.Fatalf("live host %s is dead on %s", target, id)
				}
			}
		}
	})
}

// runPausable returns a function that runs a node without rounds while paused
// returns true, like a frozen process.
func runPausable(paused func() bool) func(context.Context, *Node) {
	return func(ctx context.Context, n *Node) {
		taskCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n.ctx = taskCtx
		n.tasks.Go(func() { n.accept(taskCtx) })
		r := roundRunner{node: n, lastRound: time.Now(), lastHeal: time.Now()}
		for ctx.Err() == nil {
			if !paused() {
				r.round(time.Now())
			}
			time.Sleep(n.opts.Timing.PeerRound)
		}
		cancel()
		_ = n.opts.Transport.Close()
		n.tasks.Wait()
	}
}

func TestThawedHostReturnsAndSuspectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 7
		var frozen atomic.Bool
		c := newRunningCluster(t, size-1)
		defer c.stop()
		victim := c.startNode(c.newNode(hostID(size-1), 1), runPausable(frozen.Load))
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == size })
		frozen.Store(true)
		c.net.fault(func(a, b string) bool { return a == hostID(size-1) || b == hostID(size-1) })
		time.Sleep(20 * time.Second)
		for id, n := range c.nodes {
			if n != victim && stateOf(n, hostID(size-1)) != StateDead {
				t.Fatalf("a host frozen for 20 s is %s on %s", stateOf(n, hostID(size-1)), id)
			}
		}
		frozen.Store(false)
		c.net.fault(func(string, string) bool { return false })
		c.within(10*time.Second, "return", func(n *Node) bool { return aliveCount(n) == size })
		for _, e := range victim.Entries(topicSuspect) {
			if e.HostID == hostID(size-1) {
				t.Error("the thawed host suspects another")
			}
		}
	})
}

func TestRegionsApartHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 12
		c := newRunningCluster(t, size)
		defer c.stop()
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == size })
		west := func(id string) bool { return id < hostID(size/2) }
		c.net.fault(func(a, b string) bool { return west(a) != west(b) })
		c.within(20*time.Second, "apart", func(n *Node) bool { return aliveCount(n) == size/2 })
		c.nodes[hostID(0)].Publish(TopicConfig, "version", []byte("8"), time.Hour)
		time.Sleep(5 * time.Minute)
		c.net.fault(func(string, string) bool { return false })
		took := c.within(15*time.Second, "healed", func(n *Node) bool {
			return aliveCount(n) == size && hasEntry(n, TopicConfig, "version", "8")
		})
		t.Logf("healed in %s", took)
	})
}

// A restarted process replaces its predecessor, even if its clock is behind.
func TestRestartedHostReplacesItsPredecessor(t *testing.T) {
	for name, epoch := range map[string]uint64{"later clock": 9, "earlier clock": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				for i := range 5 {
					c.start(hostID(i), 5)
				}
				defer c.stop()
				c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 5 })
				c.kill(hostID(3))
				c.net.fault(func(string, string) bool { return false })
				fresh := c.start(hostID(3), epoch)
				c.within(10*time.Second, "replacement", func(n *Node) bool {
					for _, h := range n.Hosts() {
						if h.ID == hostID(3) {
							return h.Incarnation == fresh.incarnation && h.State == StateAlive
						}
					}
					return false
				})
			})
		})
	}
}

// Entries are sent once on each link, not in every round.
func TestKnownEntriesAreNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, entries = 13, 1000
		c := newRunningCluster(t, size)
		defer c.stop()
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == size })
		for i := range entries {
			c.nodes[hostID(0)].Publish(TopicCrash, fmt.Sprint(i), make([]byte, 50), time.Hour)
		}
		c.within(10*time.Second, "entries", func(n *Node) bool { return len(n.Entries(TopicCrash)) == entries })
		time.Sleep(time.Minute)
		before := c.net.bytes.Load()
		time.Sleep(2 * time.Minute) // long enough for neighbours to change
		perSecond := float64(c.net.bytes.Load()-before) / 120 / size
		if perSecond > 500 {
			t.Errorf("an idle host sends %.0f bytes/s", perSecond)
		}
	})
}

// Repeated network faults lose no entries and don't reorder the values of a key.
func TestConvergesThroughFaults(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 9
				random := rand.New(rand.NewPCG(seed, 1))
				c := newRunningCluster(t, size)
				defer c.stop()
				c.within(20*time.Second, "join", func(n *Node) bool { return aliveCount(n) == size })
				want := make(map[string]string)
				for step := range 60 {
					a, b := hostID(random.IntN(size)), hostID(random.IntN(size))
					c.net.fault(func(x, y string) bool { return x == a && y != a || x == b && y != b })
					publisher := hostID(random.IntN(size))
					key := fmt.Sprint(random.IntN(10))
					want[publisher+key] = fmt.Sprint(step)
					c.nodes[publisher].Publish(TopicCrash, publisher+key, []byte(fmt.Sprint(step)), time.Hour)
					time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				c.net.fault(func(string, string) bool { return false })
				c.within(30*time.Second, "alive", func(n *Node) bool { return aliveCount(n) == size })
				c.within(30*time.Second, "entries", func(n *Node) bool {
					got := make(map[string]string)
					for _, e := range n.Entries(TopicCrash) {
						got[e.Key] = string(e.Value)
					}
					return cmp.Equal(want, got)
				})
			})
		})
	}
}

func TestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t, 3)
		defer c.stop()
		c.nodes[hostID(1)].Handle("echo", func(_ context.Context, from string, payload []byte) ([]byte, error) {
			return append([]byte(from+":"), payload...), nil
		})
		c.nodes[hostID(1)].Handle("refuse", func(context.Context, string, []byte) ([]byte, error) {
			return nil, failure.New(failure.QueueFull, failure.NotRun, "full")
		})
		c.nodes[hostID(1)].Handle("hang", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the handler timed out")
		})
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 3 })
		n := c.nodes[hostID(0)]
		reply, err := n.Call(t.Context(), hostID(1), "echo", []byte("hello"))
		if err != nil || string(reply) != "h00:hello" {
			t.Fatalf("got %q, %v", reply, err)
		}
		expect := func(what, host, method string, kind failure.Kind, outcome failure.Outcome) {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := n.Call(ctx, host, method, nil)
			if e := failure.As(err); err == nil || e.Kind != kind || e.Outcome != outcome {
				t.Fatalf("%s: got %v, want %s/%s", what, err, kind, outcome)
			}
		}
		expect("refusal", hostID(1), "refuse", failure.QueueFull, failure.NotRun)
		expect("unknown method", hostID(1), "nothing", failure.NotFound, failure.NotRun)
		expect("unknown host", "h77", "echo", failure.PeerUnreachable, failure.NotRun)
		expect("no answer", hostID(1), "hang", failure.PeerUnreachable, failure.Unknown)
		if _, err = n.Call(t.Context(), hostID(1), "echo", nil); err != nil {
			t.Fatal(err)
		}
		c.net.fault(func(a, _ string) bool { return a == hostID(1) })
		time.Sleep(2 * time.Second)
		expect("silent connection", hostID(1), "echo", failure.PeerUnreachable, failure.NotRun)
		c.net.fault(func(string, string) bool { return false })
		if _, err = n.Call(t.Context(), hostID(1), "echo", nil); err != nil {
			t.Fatal(err)
		}
		c.stops[hostID(1)]()
		delete(c.stops, hostID(1))
		expect("closed connection", hostID(1), "echo", failure.PeerUnreachable, failure.NotRun)
	})
}

// A call that times out must not make other calls to the same host fail.
func TestGivenUpCallLeavesOthersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t, 2)
		defer c.stop()
		c.nodes[hostID(1)].Handle("slow", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
			select {
			case <-time.After(10 * time.Second):
			case <-ctx.Done():
			}
			return []byte("booked"), nil
		})
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 2 })
		n := c.nodes[hostID(0)]
		for _, start := range []time.Duration{0, 3 * time.Second} {
			whole := make(chan error, 1)
			go func() {
				_, err := n.Call(t.Context(), hostID(1), "slow", nil)
				whole <- err
			}()
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			if _, err := n.Call(ctx, hostID(1), "slow", nil); err == nil {
				t.Error("a call past its deadline was answered")
			}
			cancel()
			if err := <-whole; err != nil {
				t.Errorf("the other call, started %s earlier: %v", start, err)
			}
		}
	})
}

// A connection with a call in progress must not become idle, because the transport
// closes idle connections even while a call waits for its reply.
func TestLongCallKeepsItsConnectionBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t, 2)
		defer c.stop()
		c.nodes[hostID(1)].Handle("slow", func(context.Context, string, []byte) ([]byte, error) {
			time.Sleep(time.Minute)
			return nil, nil
		})
		c.within(10*time.Second, "join", func(n *Node) bool { return aliveCount(n) == 2 })
		n := c.nodes[hostID(0)]
		done := make(chan error, 1)
		go func() {
			_, err := n.Call(t.Context(), hostID(1), "slow", nil)
			done <- err
		}()
		for range 5 {
			time.Sleep(11 * time.Second)
			conn := n.calls.acquire(hostID(1))
			if quiet := time.Since(conn.lastReplyAt()); quiet > connIdleTimeout/2 {
				t.Errorf("the connection was without a reply for %s", quiet)
			}
			conn.release()
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// A process that was paused must not suspect others for acknowledgements that it
// could not receive meanwhile.
func TestPauseIsNotCountedAsSilenceOfOthers(t *testing.T) {
	for name, pause := range map[string]time.Duration{"paused": 10 * time.Second, "running": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				n := c.newNode(hostID(0), 1)
				other := hostRecord{ID: hostID(1), Version: 1}
				n.store.put(update{hostID: other.ID, incarnation: "i", seq: 1, topic: TopicHost, key: other.ID, value: encode(&other), ttl: hostRecordTTL}, time.Now())
				conn := &memConn{net: c.net, self: hostID(0), peer: other.ID}
				stream := &memStream{conn: conn, in: newPipe(conn), out: newPipe(conn)}
				l := newLink(n, conn, stream, true)
				l.unackedSince = time.Now()
				n.addLink(l)
				r := roundRunner{node: n, lastRound: time.Now(), lastHeal: time.Now()}
				time.Sleep(pause)
				for range 3 {
					r.round(time.Now())
					time.Sleep(n.opts.Timing.PeerRound)
				}
				if stateOf(n, other.ID) != StateAlive {
					t.Fatalf("the other host is %s after 1.5 s without an acknowledgement, want %s", stateOf(n, other.ID), StateAlive)
				}
				for range 3 {
					r.round(time.Now())
					time.Sleep(n.opts.Timing.PeerRound)
				}
				if stateOf(n, other.ID) != StateSuspect {
					t.Fatalf("the other host is %s after 2.5 s without an acknowledgement, want %s", stateOf(n, other.ID), StateSuspect)
				}
			})
		})
	}
}
