// Package peertest provides peer exchanges that are joined in memory, for tests.
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

// Network joins exchanges. Entries spread at once, calls are function calls.
type Network struct {
	mu      sync.Mutex
	members map[string]*Exchange
	entries []entry
	delay   time.Duration
}

type entry struct {
	peer.Entry
	from, until time.Time
}

// SetDelay sets how long a published value takes to reach the other hosts. The
// earlier value of its key stays until then.
func (n *Network) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network { return &Network{members: make(map[string]*Exchange)} }

// Join adds a host and returns its exchange. A host of the same id is replaced.
func (n *Network) Join(host peer.Host) *Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host.State == "" {
		host.State = peer.StateAlive
	}
	e := &Exchange{network: n, self: host, handlers: make(map[string]peer.Handler), watches: make(map[peer.Topic][]chan struct{})}
	n.members[host.ID] = e
	return e
}

// Exchange is one host's end of a Network.
type Exchange struct {
	network  *Network
	self     peer.Host
	cut      bool
	frozen   chan struct{}
	cutAt    time.Time
	handlers map[string]peer.Handler
	watches  map[peer.Topic][]chan struct{}
}

var _ peer.Exchange = (*Exchange)(nil)

// SetPartitioned takes the host off the network, or puts it back.
func (e *Exchange) SetPartitioned(cut bool) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.cut = cut
	e.cutAt = time.Now()
}

// Freeze holds back the calls that reach the host until the returned function thaws it.
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

// SetState sets what all hosts believe of this one.
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

// Hosts implements peer.Exchange. Hosts on the two sides of a cut hold each other dead.
func (e *Exchange) Hosts() []peer.Host {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	hosts := make([]peer.Host, 0, len(e.network.members))
	for _, m := range e.network.members {
		host := m.self
		if m != e && (m.cut || e.cut) {
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
	e.network.entries = append(e.network.entries, entry{Entry: published, from: now.Add(e.network.delay), until: now.Add(e.network.delay + ttl)})
	for _, m := range e.network.members {
		for _, w := range m.watches[topic] {
			select {
			case w <- struct{}{}:
			default:
			}
		}
	}
}

// Withdraw implements peer.Exchange.
func (e *Exchange) Withdraw(topic peer.Topic, key string) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	end := time.Now().Add(e.network.delay)
	for i, x := range e.network.entries {
		if x.HostID == e.self.ID && x.Topic == topic && x.Key == key && end.Before(x.until) {
			e.network.entries[i].until = end
		}
	}
	e.network.entries = slices.DeleteFunc(e.network.entries, func(x entry) bool { return !time.Now().Before(x.until) })
}

// Entries implements peer.Exchange.
func (e *Exchange) Entries(topic peer.Topic) []peer.Entry {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	var found []peer.Entry
	for _, x := range e.network.entries {
		owner := e.network.members[x.HostID]
		reachable := x.HostID == e.self.ID || (!e.cut && owner != nil && !owner.cut)
		now := time.Now()
		if x.Topic == topic && reachable && !now.Before(x.from) && now.Before(x.until) {
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
	e.watches[topic] = append(e.watches[topic], w)
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
	target := e.network.members[hostID]
	var handler peer.Handler
	var frozen chan struct{}
	if target != nil && !target.cut && !e.cut && target.self.State != peer.StateDead && target.self.State != peer.StateLeft {
		handler = target.handlers[method]
		frozen = target.frozen
	}
	e.network.mu.Unlock()
	if handler == nil {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "host %q cannot be reached", hostID)
	}
	return run(ctx, hostID, frozen, func(ctx context.Context) ([]byte, error) { return handler(ctx, e.self.ID, payload) })
}

// run calls a handler. On a frozen host it runs once the host is thawed, also
// if the call has been given up.
func run(ctx context.Context, hostID string, frozen <-chan struct{}, handler func(context.Context) ([]byte, error)) ([]byte, error) {
	type result struct {
		answer []byte
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if frozen != nil {
			<-frozen
		}
		answer, err := handler(context.WithoutCancel(ctx))
		done <- result{answer, err}
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnreachable, failure.Unknown, "host %q did not answer", hostID)
	}
}

// LastContact implements peer.Exchange.
func (e *Exchange) LastContact() time.Time {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.cut {
		return e.cutAt
	}
	return time.Now()
}

// SetDraining implements peer.Exchange.
func (e *Exchange) SetDraining() {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.self.Draining = true
}
