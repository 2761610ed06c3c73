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
	// watchInterval is the time between two looks at what peers announce.
	watchInterval = 500 * time.Millisecond
	// followerPollRounds is the number of intervals between two reads of the
	// weight store by a host that does not hold the pool's lease.
	followerPollRounds = 20
	// publishedTTL is how long an announced version outlives its announcer.
	publishedTTL = time.Minute
	// runningTTL is how long an announced running version is kept by peers.
	runningTTL = 10 * time.Minute
	// storeTimeout bounds one read of the weight store.
	storeTimeout = 2 * time.Second
)

// published is the value of a peer.TopicPublished entry.
type published struct {
	Version uint64 `json:"version"`
}

// running is the value of a peer.TopicWeights entry.
type running struct {
	Version uint64 `json:"version"`
	AtNanos int64  `json:"at_ns"`
}

// exchange is the part of peer.Exchange that this package uses.
type exchange interface {
	Publish(topic peer.Topic, key string, value []byte, ttl time.Duration)
	Entries(topic peer.Topic) []peer.Entry
}

// Watcher keeps the newest published version of each pool and the versions
// that replicas run, from the weight store and from peers.
type Watcher struct {
	log    logr.Logger
	docs   deployment.Source
	store  platform.Weights
	peers  exchange
	leases lease.Holder

	// onNewest is called with a pool whose newest version changed.
	onNewest func(pool string)

	mu        sync.Mutex
	newest    map[string]uint64
	paces     map[string]PublishRate
	announced map[string]uint64
	replicas  map[string]running
	rounds    int
}

var _ View = (*Watcher)(nil)

// NewWatcher returns a watcher that knows nothing yet.
func NewWatcher(log logr.Logger, docs deployment.Source, store platform.Weights, peers exchange, leases lease.Holder) *Watcher {
	return &Watcher{
		log:       log.WithName("weights"),
		docs:      docs,
		store:     store,
		peers:     peers,
		leases:    leases,
		newest:    map[string]uint64{},
		paces:     map[string]PublishRate{},
		announced: map[string]uint64{},
		replicas:  map[string]running{},
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

// Refresh reads the newest version of a pool's model from the weight store now.
// Its error is that of platform.Weights.
func (w *Watcher) Refresh(ctx context.Context, pool, model string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	latest, err := w.store.Latest(ctx, model)
	if err != nil {
		return 0, err
	}
	return w.learn(pool, latest.Version), nil
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (w *Watcher) round(ctx context.Context) {
	doc := w.docs.Current()
	if doc == nil {
		return
	}
	w.readPeers()
	poll := w.rounds%followerPollRounds == 0
	w.rounds++
	for pool, engines := range doc.Engines {
		_, held := w.leases.Held(lease.WeightsShard(pool))
		if !held && !poll {
			continue
		}
		version, err := w.Refresh(ctx, pool, engines.Model)
		if err != nil {
			w.log.V(1).Info("weight store not read", "pool", pool, "reason", err.Error())
			continue
		}
		if held {
			w.announcePublished(pool, version)
		}
	}
}

// readPeers takes over what other hosts announced.
func (w *Watcher) readPeers() {
	for _, entry := range w.peers.Entries(peer.TopicPublished) {
		var p published
		if json.Unmarshal(entry.Value, &p) == nil {
			w.learn(entry.Key, p.Version)
		}
	}
	for _, entry := range w.peers.Entries(peer.TopicWeights) {
		var r running
		if json.Unmarshal(entry.Value, &r) == nil {
			w.learnRunning(entry.Key, r)
		}
	}
}

// learn records a published version and returns the newest one known.
func (w *Watcher) learn(pool string, version uint64) uint64 {
	newest, changed := w.raise(pool, version)
	if changed && w.onNewest != nil {
		w.onNewest(pool)
	}
	return newest
}

func (w *Watcher) raise(pool string, version uint64) (newest uint64, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.newest[pool] {
		return w.newest[pool], false
	}
	w.paces[pool] = w.paces[pool].next(version-w.newest[pool], time.Now())
	w.newest[pool] = version
	return version, true
}

// PublishRate returns how often new versions of a pool's model are published.
func (w *Watcher) PublishRate(pool string) PublishRate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paces[pool]
}

// learnRunning records a reading unless a later one is known.
func (w *Watcher) learnRunning(upstreamID string, r running) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.AtNanos >= w.replicas[upstreamID].AtNanos {
		w.replicas[upstreamID] = r
	}
}

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

// announcedAlready reports whether an announcement of version is recent enough to stand.
func (w *Watcher) announcedAlready(pool string, version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.rounds%followerPollRounds == 0
	if w.announced[pool] == version && !due {
		return true
	}
	w.announced[pool] = version
	return false
}

// observe records what a replica reported, and announces it if it changed.
func (w *Watcher) observe(upstreamID string, version uint64, at time.Time) {
	before, known := w.Running(upstreamID)
	r := running{Version: version, AtNanos: at.UnixNano()}
	w.learnRunning(upstreamID, r)
	if known && before == version {
		return
	}
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	w.peers.Publish(peer.TopicWeights, upstreamID, value, runningTTL)
}
