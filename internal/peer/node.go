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
	// hostRecordTTL is the time to live of a host record after its last renewal.
	hostRecordTTL = 10 * time.Minute
	// hostRecordRenewal is the interval at which a host renews its record.
	hostRecordRenewal = 4 * time.Minute
	// bulkBytesPerSecond limits the bulk entries that a host sends over all its links. Urgent entries use up
	// the same budget, but are not held back by it.
	bulkBytesPerSecond = 6 << 10
	// bulkBurst is the maximum burst of bulk entries, in bytes.
	bulkBurst = 32 << 10
	// incarnationBytes is the length of the random incarnation before it is encoded.
	incarnationBytes = 8
)

// Options configure a Node.
type Options struct {
	Host      settings.Host
	Timing    settings.Timing
	Transport Transport
	Log       logr.Logger
	// Epoch orders the processes with the same host id: the one with the highest epoch replaces the others.
	// Provide uses the start time, in nanoseconds.
	Epoch uint64
}

// Node is the peer exchange of one host. It implements Exchange and Seeder.
type Node struct {
	opts        Options
	incarnation string
	// budget limits the bytes of bulk entries; see bulkBytesPerSecond.
	budget *rate.Limiter
	calls  *callPool

	mu    sync.Mutex
	store *store
	hosts *hostTable
	// record is the record of this host.
	record hostRecord
	// sequence holds the last sequence numbers of own entries.
	sequence sequences
	// recordPublished is when this host's record was last published.
	recordPublished time.Time
	started         time.Time
	watchers        map[Topic][]chan struct{}
	handlers        map[string]Handler
	links           map[*link]struct{}
	// seeds holds peer addresses by host id. Those from the settings, whose host id is not known, have the
	// address as key.
	seeds       map[string]string
	lastContact time.Time
	// unreachable holds the time since which a host has not answered, by id.
	unreachable map[string]time.Time
	// dialing is the set of addresses being dialed.
	dialing map[string]struct{}
	// randomNeighbours are the ids of the neighbours that are not monitored.
	randomNeighbours []string
	// lastRotation is when a random neighbour was last replaced.
	lastRotation time.Time
	// ctx is the context of the background tasks; nil before Run.
	ctx   context.Context
	tasks sync.WaitGroup
}

// NewNode returns a Node. Register the handlers before Run.
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

// Publish implements Exchange. A value larger than 4 KiB is not published, and this is logged.
func (n *Node) Publish(topic Topic, key string, value []byte, ttl time.Duration) {
	if len(value) > maxValueBytes {
		n.opts.Log.Info("peer entry is too large and was not published", "topic", topic, "key", key, "bytes", len(value), "limit_bytes", maxValueBytes)
		return
	}
	n.mu.Lock()
	n.putOwnEntry(topic, key, value, false, ttl)
	n.mu.Unlock()
	n.ownEntriesChanged(topic)
}

// Withdraw implements Exchange.
func (n *Node) Withdraw(topic Topic, key string) {
	n.mu.Lock()
	now := time.Now()
	old := n.ownEntry(topic, key)
	if old == nil || old.deleted {
		n.mu.Unlock()
		return
	}
	n.putOwnEntry(topic, key, nil, true, old.expires.Sub(now))
	n.mu.Unlock()
	n.ownEntriesChanged(topic)
}

// ownEntry returns this process's entry for a topic and key, or nil. The caller holds mu.
func (n *Node) ownEntry(topic Topic, key string) *storedEntry {
	o := n.store.origins[n.incarnation]
	if o == nil {
		return nil
	}
	return o.entries[entryKey{topic: topic, key: key}]
}

// putOwnEntry stores an entry of this process with the next sequence number. The caller holds mu.
func (n *Node) putOwnEntry(topic Topic, key string, value []byte, deleted bool, ttl time.Duration) {
	l := laneOf(topic)
	n.sequence[l]++
	n.store.put(update{
		hostID: n.record.ID, incarnation: n.incarnation, seq: n.sequence[l],
		topic: topic, key: key, value: value, deleted: deleted, ttl: ttl,
	}, time.Now())
}

// publishRecord publishes this host's record. The caller holds mu, or is the constructor.
func (n *Node) publishRecord(now time.Time) {
	n.recordPublished = now
	n.putOwnEntry(TopicHost, n.record.ID, encode(&n.record), false, hostRecordTTL)
	n.hosts.refresh(n.store, now)
}

// ownEntriesChanged notifies the watchers of a topic and, if it is urgent, the links.
func (n *Node) ownEntriesChanged(topic Topic) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify(topic)
	if laneOf(topic) == urgentLane {
		n.wakeLinks(nil)
	}
}

// notify notifies the watchers of a topic. The caller holds mu.
func (n *Node) notify(topic Topic) {
	for _, w := range n.watchers[topic] {
		signal(w)
	}
}

// signal sends to a channel of capacity one without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wakeLinks makes all links but one send their urgent entries. The caller holds mu.
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
	n.store.forEach(topic, time.Now(), func(e *storedEntry) {
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
	return n.lastContact
}

// SetDraining implements Exchange.
func (n *Node) SetDraining() {
	n.mu.Lock()
	n.record.Draining = true
	n.record.Version++
	n.publishRecord(time.Now())
	n.mu.Unlock()
	n.ownEntriesChanged(TopicHost)
}

// maxSeeds is the maximum number of seed addresses.
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

// recordContact records that a host has sent something. The caller holds mu.
func (n *Node) recordContact(hostID string, now time.Time) {
	n.lastContact = now
	delete(n.unreachable, hostID)
}
