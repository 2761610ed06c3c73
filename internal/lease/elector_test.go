package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

type fixedSource struct{ document *deployment.Document }

func (s fixedSource) Current() *deployment.Document { return s.document }

func (s fixedSource) Changed() <-chan struct{} { return nil }

// testHost is one host's Elector.
type testHost struct {
	*Elector
	exchange *peertest.Exchange
	client   *platformtest.Client
	stop     context.CancelFunc
	stopped  chan struct{}
}

// cluster is a set of hosts that share a table, with one lease per pool.
type cluster struct {
	t       *testing.T
	table   *platformtest.Table
	network *peertest.Network
	source  fixedSource
	hosts   []*testHost
}

func newCluster(t *testing.T, shards, hosts int) *cluster {
	document := &deployment.Document{EnginePools: map[string]deployment.EnginePool{}}
	for i := range shards {
		document.EnginePools[fmt.Sprint("p", i)] = deployment.EnginePool{}
	}
	c := &cluster{t: t, table: platformtest.NewTable(), network: peertest.NewNetwork(), source: fixedSource{document}}
	for range hosts {
		c.join()
	}
	return c
}

func (c *cluster) join() {
	id := fmt.Sprint("h", len(c.hosts))
	ctx, cancel := context.WithCancel(c.t.Context())
	h := &testHost{
		exchange: c.network.Join(peer.Host{ID: id, Incarnation: id + "-1"}),
		client:   c.table.Client(),
		stop:     cancel,
		stopped:  make(chan struct{}),
	}
	h.Elector = newElector(logr.Discard(), h.client, c.source, h.exchange, settings.DefaultTiming(), metrics.NewSet())
	c.hosts = append(c.hosts, h)
	c.t.Cleanup(func() {
		cancel()
		<-h.stopped
	})
	go func() {
		defer close(h.stopped)
		h.run(ctx)
	}()
}

// holders returns the host that may act on each shard, and fails the test if two hosts may.
func (c *cluster) holders() map[string]*testHost {
	c.t.Helper()
	found := map[string]*testHost{}
	for _, shard := range Shards(c.source.document) {
		for _, h := range c.hosts {
			if _, held := h.Held(shard); !held {
				continue
			}
			if found[shard] != nil {
				c.t.Fatalf("%s and %s both hold %s", found[shard].ID(), h.ID(), shard)
			}
			found[shard] = h
		}
	}
	return found
}

// ID returns the host's id.
func (h *testHost) ID() string { return h.exchange.Self().ID }

// watch runs for d and fails the test if a shard ever has two holders.
func (c *cluster) watch(d time.Duration) map[string]*testHost {
	c.t.Helper()
	const step = 50 * time.Millisecond
	for range int(d / step) {
		time.Sleep(step)
		c.holders()
	}
	return c.holders()
}

func TestLostLeaseIsCountedOnce(t *testing.T) {
	c := newCluster(t, 0, 1)
	e := c.hosts[0].Elector
	e.setGrant(Grant{Shard: "s", Fence: 7, Until: time.Now().Add(time.Minute)}, true)
	changed := e.Changed()
	for range 3 {
		e.setGrant(Grant{Shard: "s", Fence: 7}, false)
	}
	if n := e.counters.lost.Get(); n != 1 {
		t.Errorf("a lease that was lost once counts %d times", n)
	}
	select {
	case <-changed:
	default:
		t.Error("the loss is not announced")
	}
}

func TestShardsSpreadOverHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 4)
		counts := map[string]int{}
		for _, h := range c.watch(30 * time.Second) {
			counts[h.ID()]++
		}
		held := 0
		for host, n := range counts {
			held += n
			if n > 2 {
				t.Errorf("host %s holds %d of 6 shards", host, n)
			}
		}
		if held != 6 {
			t.Errorf("%d of 6 shards are held", held)
		}
	})
}

func TestFirstHostHandsShardsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		if got := len(c.watch(10 * time.Second)); got != 4 {
			t.Fatalf("the only host holds %d of 4 shards", got)
		}
		for range 3 {
			c.join()
		}
		c.watch(3 * time.Minute)
		if got := c.hosts[0].heldCount(); got > 1 {
			t.Errorf("the first host still holds %d shards", got)
		}
		if got := len(c.holders()); got != 4 {
			t.Errorf("%d of 4 shards are held", got)
		}
	})
}

func TestHolderKeepsLeaseDespiteLostReplies(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.ReplyLost, platformtest.RequestLost} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, 3)
			shard := Shards(c.source.document)[0]
			holder := c.watch(5 * time.Second)[shard]
			fence, _ := holder.Held(shard)
			for range 20 {
				holder.client.FailAll(fault)
				c.watch(1100 * time.Millisecond)
				holder.client.FailAll(platformtest.None)
				c.watch(1100 * time.Millisecond)
			}
			if now, held := holder.Held(shard); !held || now.Fence != fence.Fence {
				t.Errorf("fault %d: held is %v with fence %d, want fence %d", fault, held, now.Fence, fence.Fence)
			}
		})
	}
}

func TestTakeoverWaitsForTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming()
		c := newCluster(t, 1, 3)
		shard := Shards(c.source.document)[0]
		first := c.watch(5 * time.Second)[shard]
		before, _ := first.Held(shard)
		first.client.FailAll(platformtest.Down)
		c.watch(timing.LeaseTerm - timing.LeaseMargin)
		if len(c.holders()) != 0 {
			t.Error("the grant is still valid although it was not renewed")
		}
		c.watch(timing.LeaseMargin - time.Second)
		if len(c.holders()) != 0 {
			t.Error("the lease was taken before its term was over")
		}
		c.watch(10 * time.Second)
		second := c.holders()[shard]
		if second == nil || second == first {
			t.Fatal("nobody took the lease over")
		}
		if after, _ := second.Held(shard); after.Fence <= before.Fence {
			t.Errorf("fence %d after %d", after.Fence, before.Fence)
		}
		first.client.FailAll(platformtest.None)
		if c.watch(20 * time.Second)[shard] != second {
			t.Error("the lease did not stay with its new holder")
		}
	})
}

func TestFenceIncreasesAfterTableLosesRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		shard := Shards(c.source.document)[0]
		before, _ := c.watch(5 * time.Second)[shard].Held(shard)
		c.table.Restore(nil)
		c.watch(20 * time.Second)
		holder := c.holders()[shard]
		if holder == nil {
			t.Fatal("nobody holds the lease")
		}
		if after, _ := holder.Held(shard); after.Fence <= before.Fence {
			t.Errorf("fence %d after %d", after.Fence, before.Fence)
		}
	})
}

func TestTwoLongOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 4)
		c.watch(10 * time.Second)
		for range 2 {
			c.table.FailAll(platformtest.Down)
			c.watch(10 * time.Minute)
			if got := len(c.holders()); got != 0 {
				t.Errorf("%d leases are held without the store", got)
			}
			c.table.FailAll(platformtest.None)
			if got := len(c.watch(10 * time.Second)); got != 3 {
				t.Errorf("%d of 3 leases are held after the outage", got)
			}
		}
	})
}

func TestStopReleasesAfterQuiescence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		shard := Shards(c.source.document)[0]
		first := c.watch(5 * time.Second)[shard]
		quiesced := false
		first.SetQuiesce(func(_ context.Context, shard string) error {
			if _, held := first.Held(shard); held {
				t.Error("the grant is still valid while the release waits")
			}
			time.Sleep(time.Second)
			quiesced = true
			return nil
		})
		first.stop()
		<-first.stopped
		if !quiesced {
			t.Error("the lease was released before the work under it had ended")
		}
		if second := c.watch(3 * time.Second)[shard]; second == nil || second == first {
			t.Error("nobody took the released lease")
		}
	})
}

func TestDrainingHostReleasesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3)
		shard := Shards(c.source.document)[0]
		first := c.watch(5 * time.Second)[shard]
		first.exchange.SetDraining()
		// The host notices within one interval (1 s) and then waits for the longest order (2 s).
		c.watch(1500 * time.Millisecond)
		if len(c.holders()) != 0 {
			t.Error("the lease is held by the draining host, or was released before an order under it may have ended")
		}
		if second := c.watch(5 * time.Second)[shard]; second == nil || second == first {
			t.Error("the draining host kept its lease")
		}
	})
}

func TestPlacementKeepsShardsOfRemainingHosts(t *testing.T) {
	hosts := make([]peer.Host, 13)
	for i := range hosts {
		hosts[i] = peer.Host{ID: fmt.Sprint("h", i), State: peer.StateAlive}
	}
	moved := 0
	const shards = 200
	for i := range shards {
		shard := fmt.Sprint("s", i)
		first := func(hosts []peer.Host) string {
			for _, h := range hosts {
				if placementFor(shard, h.ID, hosts).rank == 0 {
					return h.ID
				}
			}
			return ""
		}
		before, after := first(hosts), first(hosts[:12])
		if before != after && before != "h12" {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("%d shards moved although their host stayed", moved)
	}
}

func TestTakeoverDelayIncreasesWithRankAndHeldShards(t *testing.T) {
	tests := []struct {
		rank, hosts, held, shards int
		want                      time.Duration
	}{
		{0, 13, 0, 5, 0},
		{2, 13, 0, 5, 2 * takeoverDelayPerRank},
		{9, 13, 0, 5, candidateCount * takeoverDelayPerRank},
		{0, 13, 1, 5, takeoverDelayOverShare},
		{0, 2, 2, 5, 0},
		{1, 2, 3, 5, takeoverDelayPerRank + takeoverDelayOverShare},
	}
	for _, test := range tests {
		if got := (placement{rank: test.rank, hosts: test.hosts}).takeoverDelay(test.held, test.shards); got != test.want {
			t.Errorf("%+v: takeover delay %s", test, got)
		}
	}
}
