package lease

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// renewalsPerTerm is the number of renewals during the validity of a grant, which is
// the lease term less its margin.
const renewalsPerTerm = 4

// Quiesce waits until no work is in progress under a shard's grant. The Elector
// calls it before it releases a lease; on an error the lease is not released,
// and expires unless a later attempt succeeds.
type Quiesce func(ctx context.Context, shard string) error

// Elector competes for the leases of all shards of the deployment document. It
// implements Holder.
type Elector struct {
	log      logr.Logger
	table    platform.Table
	source   deployment.Source
	exchange peer.Exchange
	timing   settings.Timing
	counters counters

	mu      sync.Mutex
	grants  map[string]Grant
	changed chan struct{}
	// shards is the number of shards of the document in force.
	shards  int
	quiesce Quiesce
	// lastHandover is when this host last released a lease in favour of a host with a better rank.
	lastHandover time.Time
}

// counters are the metrics of an Elector. expired counts the renewals that came after the
// previous grant had expired, failed the steps in which a read, write or release failed.
type counters struct {
	gained  *metrics.Counter
	lost    *metrics.Counter
	expired *metrics.Counter
	failed  *metrics.Counter
}

func newElector(log logr.Logger, table platform.Table, source deployment.Source, exchange peer.Exchange, timing settings.Timing, set *metrics.Set) *Elector {
	e := &Elector{
		log:      log,
		table:    table,
		source:   source,
		exchange: exchange,
		timing:   timing,
		counters: counters{
			gained:  set.GetOrCreateCounter("sapphirehatch_lease_gained_total"),
			lost:    set.GetOrCreateCounter("sapphirehatch_lease_lost_total"),
			expired: set.GetOrCreateCounter("sapphirehatch_lease_expired_total"),
			failed:  set.GetOrCreateCounter("sapphirehatch_lease_call_failed_total"),
		},
		grants:  map[string]Grant{},
		changed: make(chan struct{}),
	}
	set.GetOrCreateGauge("sapphirehatch_leases_held", func() float64 { return float64(e.heldCount()) })
	return e
}

// Held implements Holder.
func (e *Elector) Held(shard string) (Grant, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	grant, ok := e.grants[shard]
	return grant, ok && grant.ValidAt(time.Now())
}

// Changed returns a channel that is closed when this host gains or loses a shard, or
// renews one after its grant had expired.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// SetQuiesce sets the function that waits for work in progress before a lease
// is released. It must be called before the Elector runs.
func (e *Elector) SetQuiesce(quiesce Quiesce) { e.quiesce = quiesce }

// waitQuiesced waits until no work is in progress under a shard's ended grant,
// for at most LongestOrder. Without a Quiesce it waits until LongestOrder has passed
// or ctx ends, and returns nil in both cases.
func (e *Elector) waitQuiesced(ctx context.Context, shard string) error {
	ctx, cancel := context.WithTimeout(ctx, e.timing.LongestOrder)
	defer cancel()
	if e.quiesce != nil {
		return e.quiesce(ctx, shard)
	}
	<-ctx.Done()
	return nil
}

// heldCount returns the number of shards with a valid grant.
func (e *Elector) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	held := 0
	for _, grant := range e.grants {
		if grant.ValidAt(now) {
			held++
		}
	}
	return held
}

// setGrant records the grant of a shard, or removes it if held is false. It
// notifies Changed if held differs, if a held grant has another fencing token, or if a
// renewal came after the recorded grant had expired.
func (e *Elector) setGrant(grant Grant, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, had := e.grants[grant.Shard]
	if held {
		e.grants[grant.Shard] = grant
	} else {
		delete(e.grants, grant.Shard)
	}
	now := time.Now()
	expired := had && held && !before.ValidAt(now)
	if had == held && (!held || before.Fence == grant.Fence) && !expired {
		return
	}
	close(e.changed)
	e.changed = make(chan struct{})
	if expired {
		e.counters.expired.Inc()
	}
	if held && !expired {
		e.counters.gained.Inc()
		e.log.Info("lease gained", "shard", grant.Shard, "fence", grant.Fence)
	}
	if !held {
		e.counters.lost.Inc()
		e.log.Info("lease lost", "shard", grant.Shard, "fence", before.Fence)
	}
}

// run competes for the shards of the document in force until ctx ends. It releases
// the lease of a shard that leaves the document, and at the end all held leases.
func (e *Elector) run(ctx context.Context) error {
	var electors sync.WaitGroup
	defer electors.Wait()
	cancels := map[string]context.CancelFunc{}
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	for {
		changed := e.source.Changed()
		wanted := e.wantedShards()
		for shard, cancel := range cancels {
			if !wanted[shard] {
				cancel()
				delete(cancels, shard)
			}
		}
		for shard := range wanted {
			if cancels[shard] != nil {
				continue
			}
			shardCtx, cancel := context.WithCancel(ctx)
			cancels[shard] = cancel
			electors.Go(func() { newShardElector(e, shard).run(shardCtx) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wantedShards returns the shards of the document in force.
func (e *Elector) wantedShards() map[string]bool {
	wanted := map[string]bool{}
	if document := e.source.Current(); document != nil {
		for _, shard := range Shards(document) {
			wanted[shard] = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shards = len(wanted)
	return wanted
}

// stepInterval is the time between two steps of a shardElector.
func (e *Elector) stepInterval() time.Duration {
	return (e.timing.LeaseTerm - e.timing.LeaseMargin) / renewalsPerTerm
}
