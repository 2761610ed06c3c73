package weights

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// watchInterval is the time between two rounds, each of which reads the peers' announcements.
	watchInterval = 500 * time.Millisecond
	// nonHolderPollRounds is the number of rounds between two reads of the weight
	// store by a host that does not hold the pool's lease, and between two
	// announcements of an unchanged published version by the holder.
	nonHolderPollRounds = 20
	// publishedTTL is how long peers keep an announced published version unless it is announced again.
	publishedTTL = time.Minute
	// runningTTL is how long peers keep an announced running version.
	runningTTL = 10 * time.Minute
	// storeTimeout bounds one read of the weight store.
	storeTimeout = 2 * time.Second
)

// published is the value of a peer.TopicPublished entry; its key is the pool.
type published struct {
	Version uint64 `json:"version"`
}

// running is the value of a peer.TopicWeights entry; its key is the engine's id.
type running struct {
	Version uint64 `json:"version"`
	// AtNanos is when the engine reported the version, in Unix nanoseconds.
	AtNanos int64 `json:"at_ns"`
}

// exchange is the part of peer.Exchange that this package uses.
type exchange interface {
	Publish(topic peer.Topic, key string, value []byte, ttl time.Duration)
	Entries(topic peer.Topic) []peer.Entry
}

// Watcher tracks the newest published version of each pool and the version that
// each replica runs. It reads the weight store and the announcements of peers.
type Watcher struct {
	log    logr.Logger
	source deployment.Source
	store  platform.Weights
	peers  exchange
	leases lease.Holder

	// onNewest is called with a pool whose newest version changed; nil if not needed.
	onNewest func(pool string)

	mu sync.Mutex
	// newest, rates and announced hold, by pool, the newest known version, the
	// publish rate and the version that this host last announced.
	newest    map[string]uint64
	rates     map[string]PublishRate
	announced map[string]uint64
	// replicas holds the version that each engine last reported, by engine id.
	replicas map[string]running
	// runningAnnounced is when this host last announced an engine's version, by engine id.
	runningAnnounced map[string]time.Time
	rounds           int
}

var _ View = (*Watcher)(nil)

// NewWatcher returns a Watcher without any known versions; Run fills it.
func NewWatcher(log logr.Logger, docs deployment.Source, store platform.Weights, peers exchange, leases lease.Holder) *Watcher {
	return &Watcher{
		log:              log.WithName("weights"),
		source:           docs,
		store:            store,
		peers:            peers,
		leases:           leases,
		newest:           map[string]uint64{},
		rates:            map[string]PublishRate{},
		announced:        map[string]uint64{},
		replicas:         map[string]running{},
		runningAnnounced: map[string]time.Time{},
	}
}

// Newest implements View.
func (w *Watcher) Newest(pool string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest[pool]
}

// Running implements View.
func (w *Watcher) Running(upstreamID string) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.replicas[upstreamID]
	return r.Version, ok
}

// Refresh reads the newest version of a pool's model from the weight store and
// returns the newest version known after that. Errors are those of
// platform.Weights.
func (w *Watcher) Refresh(ctx context.Context, pool, model string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	latest, err := w.store.Latest(ctx, model)
	if err != nil {
		return 0, err
	}
	return w.recordNewest(pool, latest.Version), nil
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.refreshAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refreshAll makes one round: it reads the announcements of peers and, for the
// pools whose lease this host holds, the weight store. Every nonHolderPollRounds
// rounds it reads the weight store for the other pools, too.
func (w *Watcher) refreshAll(ctx context.Context) {
	doc := w.source.Current()
	if doc == nil {
		return
	}
	w.readPeers()
	poll := w.rounds%nonHolderPollRounds == 0
	w.rounds++
	for pool, engines := range doc.EnginePools {
		_, held := w.leases.Held(lease.WeightsShard(pool))
		if !held && !poll {
			continue
		}
		version, err := w.Refresh(ctx, pool, engines.Model)
		if err != nil {
			w.log.V(1).Info("weight store read failed", "pool", pool, "reason", err.Error())
			continue
		}
		if held {
			w.announcePublished(pool, version)
		}
	}
}

// readPeers records the versions that other hosts announced.
func (w *Watcher) readPeers() {
	for _, entry := range w.peers.Entries(peer.TopicPublished) {
		var p published
		if json.Unmarshal(entry.Value, &p) == nil {
			w.recordNewest(entry.Key, p.Version)
		}
	}
	for _, entry := range w.peers.Entries(peer.TopicWeights) {
		var r running
		if json.Unmarshal(entry.Value, &r) == nil {
			w.recordRunning(entry.Key, r)
		}
	}
}

// recordNewest records a published version, calls onNewest if it is new, and
// returns the newest known version.
func (w *Watcher) recordNewest(pool string, version uint64) uint64 {
	newest, changed := w.raiseNewest(pool, version)
	if changed && w.onNewest != nil {
		w.onNewest(pool)
	}
	return newest
}

// raiseNewest records a published version if it is higher than the newest known one.
func (w *Watcher) raiseNewest(pool string, version uint64) (newest uint64, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.newest[pool] {
		return w.newest[pool], false
	}
	w.rates[pool] = w.rates[pool].update(version-w.newest[pool], time.Now())
	w.newest[pool] = version
	return version, true
}

// PublishRate returns the rate at which new versions of a pool's model are published.
func (w *Watcher) PublishRate(pool string) PublishRate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rates[pool]
}

// recordRunning records the version that an engine reported, unless a later report is known.
func (w *Watcher) recordRunning(upstreamID string, r running) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.AtNanos >= w.replicas[upstreamID].AtNanos {
		w.replicas[upstreamID] = r
	}
}

// announcePublished announces a pool's published version to peers if that is due.
func (w *Watcher) announcePublished(pool string, version uint64) {
	if w.announcedAlready(pool, version) {
		return
	}
	value, err := json.Marshal(published{Version: version})
	if err != nil {
		return
	}
	w.peers.Publish(peer.TopicPublished, pool, value, publishedTTL)
}

// announcedAlready reports whether version was announced and the announcement
// does not have to be renewed in this round. If not, it records the version as
// announced.
func (w *Watcher) announcedAlready(pool string, version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.rounds%nonHolderPollRounds == 0
	if w.announced[pool] == version && !due {
		return true
	}
	w.announced[pool] = version
	return false
}

// observe records the version that an engine reported and announces it to peers if it
// changed, or if the last announcement by this host would expire soon.
func (w *Watcher) observe(upstreamID string, version uint64, at time.Time) {
	before, known := w.Running(upstreamID)
	r := running{Version: version, AtNanos: at.UnixNano()}
	w.recordRunning(upstreamID, r)
	if !w.announceRunningDue(upstreamID, !known || before != version) {
		return
	}
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	w.peers.Publish(peer.TopicWeights, upstreamID, value, runningTTL)
}

// announceRunningDue reports whether an engine's version is to be announced: it changed, or half
// of runningTTL has passed. It then records the present time as that of the announcement.
func (w *Watcher) announceRunningDue(upstreamID string, changed bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !changed && time.Since(w.runningAnnounced[upstreamID]) < runningTTL/2 {
		return false
	}
	w.runningAnnounced[upstreamID] = time.Now()
	return true
}
