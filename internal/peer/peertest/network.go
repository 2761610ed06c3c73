// Package peertest provides peer exchanges connected in memory, for tests.
package peertest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// Network connects exchanges. Entries reach all hosts at once unless SetDelay is
// used, and calls are function calls.
type Network struct {
	mu        sync.Mutex
	exchanges map[string]*Exchange
	entries   []entry
	delay     time.Duration
}

type entry struct {
	peer.Entry
	visibleFrom, visibleUntil time.Time
}

// SetDelay sets the time after which published and withdrawn entries are visible.
// The previous value of a key is visible until then. The default is zero. Watchers are
// notified at once.
func (n *Network) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network { return &Network{exchanges: make(map[string]*Exchange)} }

// Join adds a host and returns its exchange. It replaces a host with the same id.
// The default state is alive.
func (n *Network) Join(host peer.Host) *Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host.State == "" {
		host.State = peer.StateAlive
	}
	e := &Exchange{network: n, self: host, handlers: make(map[string]peer.Handler), watchers: make(map[peer.Topic][]chan struct{})}
	n.exchanges[host.ID] = e
	return e
}

// Exchange is the exchange of one host of a Network.
type Exchange struct {
	network       *Network
	self          peer.Host
	partitioned   bool
	frozen        chan struct{}
	partitionedAt time.Time
	handlers      map[string]peer.Handler
	watchers      map[peer.Topic][]chan struct{}
}

var _ peer.Exchange = (*Exchange)(nil)

// SetPartitioned disconnects the host from all others, or reconnects it.
func (e *Exchange) SetPartitioned(partitioned bool) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.partitioned = partitioned
	e.partitionedAt = time.Now()
}

// Freeze delays the calls to the host until thaw is called.
func (e *Exchange) Freeze() (thaw func()) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	frozen := make(chan struct{})
	e.frozen = frozen
	return func() {
		e.network.mu.Lock()
		defer e.network.mu.Unlock()
		e.frozen = nil
		close(frozen)
	}
}

// SetState sets the state in which all hosts see this one.
func (e *Exchange) SetState(state peer.HostState) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.self.State = state
}

// Self implements peer.Exchange.
func (e *Exchange) Self() peer.Host {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return e.self
}

// Hosts implements peer.Exchange. Hosts that a partition separates see each other as dead.
func (e *Exchange) Hosts() []peer.Host {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	hosts := make([]peer.Host, 0, len(e.network.exchanges))
	for _, m := range e.network.exchanges {
		host := m.self
		if m != e && (m.partitioned || e.partitioned) {
			host.State = peer.StateDead
		}
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b peer.Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}

// Publish implements peer.Exchange.
func (e *Exchange) Publish(topic peer.Topic, key string, value []byte, ttl time.Duration) {
	e.Withdraw(topic, key)
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	now := time.Now()
	published := peer.Entry{HostID: e.self.ID, Incarnation: e.self.Incarnation, Topic: topic, Key: key, Value: value}
	e.network.entries = append(e.network.entries, entry{Entry: published, visibleFrom: now.Add(e.network.delay), visibleUntil: now.Add(e.network.delay + ttl)})
	for _, m := range e.network.exchanges {
		for _, w := range m.watchers[topic] {
			select {
			case w <- struct{}{}:
			default:
			}
		}
	}
}

// Withdraw implements peer.Exchange, except that it does not notify watchers.
func (e *Exchange) Withdraw(topic peer.Topic, key string) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	end := time.Now().Add(e.network.delay)
	for i, x := range e.network.entries {
		if x.HostID == e.self.ID && x.Topic == topic && x.Key == key && end.Before(x.visibleUntil) {
			e.network.entries[i].visibleUntil = end
		}
	}
	e.network.entries = slices.DeleteFunc(e.network.entries, func(x entry) bool { return !time.Now().Before(x.visibleUntil) })
}

// Entries implements peer.Exchange.
func (e *Exchange) Entries(topic peer.Topic) []peer.Entry {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	var found []peer.Entry
	for _, x := range e.network.entries {
		owner := e.network.exchanges[x.HostID]
		reachable := x.HostID == e.self.ID || (!e.partitioned && owner != nil && !owner.partitioned)
		now := time.Now()
		if x.Topic == topic && reachable && !now.Before(x.visibleFrom) && now.Before(x.visibleUntil) {
			found = append(found, x.Entry)
		}
	}
	return found
}

// Watch implements peer.Exchange.
func (e *Exchange) Watch(topic peer.Topic) <-chan struct{} {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	w := make(chan struct{}, 1)
	e.watchers[topic] = append(e.watchers[topic], w)
	return w
}

// Handle implements peer.Exchange.
func (e *Exchange) Handle(method string, h peer.Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.handlers[method] = h
}

// Call implements peer.Exchange.
func (e *Exchange) Call(ctx context.Context, hostID, method string, payload []byte) ([]byte, error) {
	e.network.mu.Lock()
	target := e.network.exchanges[hostID]
	var handler peer.Handler
	var frozen chan struct{}
	if target != nil && !target.partitioned && !e.partitioned && target.self.State != peer.StateDead && target.self.State != peer.StateLeft {
		handler = target.handlers[method]
		frozen = target.frozen
	}
	e.network.mu.Unlock()
	if handler == nil {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "host %q cannot be reached or does not handle %s", hostID, method)
	}
	return run(ctx, hostID, frozen, func(ctx context.Context) ([]byte, error) { return handler(ctx, e.self.ID, payload) })
}

// run calls a handler. On a frozen host the handler runs when the host is thawed,
// even if the call has timed out.
func run(ctx context.Context, hostID string, frozen <-chan struct{}, handler func(context.Context) ([]byte, error)) ([]byte, error) {
	type result struct {
		reply []byte
		err   error
	}
	done := make(chan result, 1)
	go func() {
		if frozen != nil {
			<-frozen
		}
		reply, err := handler(context.WithoutCancel(ctx))
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnreachable, failure.Unknown, "host %q did not answer", hostID)
	}
}

// LastContact implements peer.Exchange.
func (e *Exchange) LastContact() time.Time {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.partitioned {
		return e.partitionedAt
	}
	return time.Now()
}

// SetDraining implements peer.Exchange.
func (e *Exchange) SetDraining() {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.self.Draining = true
}
