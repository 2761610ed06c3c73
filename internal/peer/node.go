package peer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

const (
	// hostTTL is how long a host's record outlives its last renewal.
	hostTTL = 10 * time.Minute
	// hostRenewal is the interval at which a host renews its record.
	hostRenewal = 4 * time.Minute
	// bulkBytesPerSecond bounds what a host sends of bulk entries over all its links.
	bulkBytesPerSecond = 6 << 10
	// bulkBurst is the number of bytes of bulk entries that may be sent at once.
	bulkBurst = 32 << 10
	// incarnationBytes is the random part of an incarnation.
	incarnationBytes = 8
)

// Options are what a Node is made of.
type Options struct {
	Host      settings.Host
	Timing    settings.Timing
	Transport Transport
	Log       logr.Logger
	// Epoch orders the processes that used the same host id. A process with a higher one replaces the others.
	Epoch uint64
}

// Node is a host's end of the peer exchange. It implements Exchange and Seeder.
type Node struct {
	opts        Options
	incarnation string
	budget      *rate.Limiter
	calls       *callPool

	mu       sync.Mutex
	store    *store
	hosts    *hostTable
	record   hostRecord
	sequence sequences
	// renewed is when the own record was last published.
	renewed  time.Time
	started  time.Time
	watchers map[Topic][]chan struct{}
	handlers map[string]Handler
	links    map[*link]struct{}
	seeds    map[string]string
	contact  time.Time
	// unreachable is since when a host gave no sign of life, by id.
	unreachable map[string]time.Time
	// dialing holds the addresses that are being dialed.
	dialing map[string]struct{}
	// random are the neighbours beside the watched ones.
	random []string
	// rotated is when a random neighbour was last replaced.
	rotated time.Time
	ctx     context.Context
	tasks   sync.WaitGroup
}

// NewNode returns a Node that has not started. Register handlers before Run.
func NewNode(opts Options) *Node {
	n := &Node{
		opts:        opts,
		incarnation: newIncarnation(),
		budget:      rate.NewLimiter(bulkBytesPerSecond, bulkBurst),
		store:       newStore(),
		hosts:       newHostTable(opts.Timing.PeerDead - opts.Timing.PeerSuspect),
		watchers:    make(map[Topic][]chan struct{}),
		handlers:    make(map[string]Handler),
		links:       make(map[*link]struct{}),
		seeds:       make(map[string]string),
		unreachable: make(map[string]time.Time),
		dialing:     make(map[string]struct{}),
		started:     time.Now(),
	}
	n.record = hostRecord{
		ID:            opts.Host.ID,
		Epoch:         opts.Epoch,
		Version:       1,
		CallerAddress: opts.Host.CallerAddress,
		PeerAddress:   opts.Host.PeerAddress,
		FailureDomain: opts.Host.FailureDomain,
		Region:        opts.Host.Region,
	}
	n.calls = newCallPool(n)
	for _, address := range opts.Host.SeedPeers {
		n.seeds[address] = address
	}
	n.publishRecord(time.Now())
	return n
}

func newIncarnation() string {
	var raw [incarnationBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// Self implements Exchange.
func (n *Node) Self() Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := knownHost{record: n.record, incarnation: n.incarnation, state: StateAlive}
	if n.record.Left {
		self.state = StateLeft
	}
	return self.host()
}

// Hosts implements Exchange.
func (n *Node) Hosts() []Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.hosts.sorted)
}

// Publish implements Exchange. A value above 4 KiB is logged and not published.
func (n *Node) Publish(topic Topic, key string, value []byte, ttl time.Duration) {
	if len(value) > maxValueBytes {
		n.opts.Log.Info("peer entry is too large", "topic", topic, "key", key, "bytes", len(value), "limit_bytes", maxValueBytes)
		return
	}
	n.mu.Lock()
	n.putOwn(topic, key, value, false, ttl)
	n.mu.Unlock()
	n.announce(topic)
}

// Withdraw implements Exchange.
func (n *Node) Withdraw(topic Topic, key string) {
	n.mu.Lock()
	now := time.Now()
	old := n.own(topic, key)
	if old == nil || old.deleted {
		n.mu.Unlock()
		return
	}
	n.putOwn(topic, key, nil, true, old.expires.Sub(now))
	n.mu.Unlock()
	n.announce(topic)
}

// own returns this process' entry, or nil. The caller holds mu.
func (n *Node) own(topic Topic, key string) *stored {
	o := n.store.origins[n.incarnation]
	if o == nil {
		return nil
	}
	return o.entries[entryKey{topic: topic, key: key}]
}

// putOwn stores an entry of this process under its next sequence number. The caller holds mu.
func (n *Node) putOwn(topic Topic, key string, value []byte, deleted bool, ttl time.Duration) {
	l := laneOf(topic)
	n.sequence[l]++
	n.store.put(update{
		hostID: n.record.ID, incarnation: n.incarnation, seq: n.sequence[l],
		topic: topic, key: key, value: value, deleted: deleted, ttl: ttl,
	}, time.Now())
}

// publishRecord publishes this host's record. The caller holds mu, or is the constructor.
func (n *Node) publishRecord(now time.Time) {
	n.renewed = now
	n.putOwn(TopicHost, n.record.ID, encode(&n.record), false, hostTTL)
	n.hosts.refresh(n.store, now)
}

// announce tells watchers and links about a change of own entries.
func (n *Node) announce(topic Topic) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify(topic)
	if laneOf(topic) == urgentLane {
		n.wakeLinks(nil)
	}
}

// notify wakes the watchers of a topic. The caller holds mu.
func (n *Node) notify(topic Topic) {
	for _, w := range n.watchers[topic] {
		signal(w)
	}
}

// signal fills a channel of one place without waiting.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wakeLinks makes the links, except one, send what is urgent. The caller holds mu.
func (n *Node) wakeLinks(except *link) {
	for l := range n.links {
		if l != except {
			signal(l.wake)
		}
	}
}

// Entries implements Exchange.
func (n *Node) Entries(topic Topic) []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Entry
	n.store.each(topic, time.Now(), func(e *stored) {
		out = append(out, Entry{
			HostID: e.origin.hostID, Incarnation: e.origin.incarnation,
			Topic: e.topic, Key: e.key, Value: e.value,
		})
	})
	return out
}

// Watch implements Exchange.
func (n *Node) Watch(topic Topic) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := make(chan struct{}, 1)
	n.watchers[topic] = append(n.watchers[topic], w)
	return w
}

// Handle implements Exchange.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// LastContact implements Exchange.
func (n *Node) LastContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contact
}

// SetDraining implements Exchange.
func (n *Node) SetDraining() {
	n.mu.Lock()
	n.record.Draining = true
	n.record.Version++
	n.publishRecord(time.Now())
	n.mu.Unlock()
	n.announce(TopicHost)
}

// maxSeeds bounds the addresses that are kept to be tried.
const maxSeeds = 4096

// Seed implements Seeder.
func (n *Node) Seed(hostID, peerAddress string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.seeds[hostID]; !ok && len(n.seeds) >= maxSeeds {
		return
	}
	n.seeds[hostID] = peerAddress
}

// heard records a sign of life of a host. The caller holds mu.
func (n *Node) heard(hostID string, now time.Time) {
	n.contact = now
	delete(n.unreachable, hostID)
}
