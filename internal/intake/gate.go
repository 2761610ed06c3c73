package intake

import (
	"maps"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// reserveTries is how often a reservation is tried, and reserveWait the longest wait
	// after a try.
	reserveTries = 3
	reserveWait  = 50 * time.Millisecond
	// logInterval is the least time between two log lines of the same kind.
	logInterval = time.Second
	// pooledBodyBytes is the largest buffer of a body that the HTTP library keeps for reuse.
	pooledBodyBytes = 512 << 10
)

// Counter counts events by name.
type Counter interface{ Event(name string) }

// Gate holds the limits that all listeners of a process share. It is safe for concurrent use.
type Gate struct {
	budget *Budget
	limits Limits
	events Counter
	log    logr.Logger

	mu      sync.Mutex
	holders map[*Conn]struct{}
	// listeners holds all listeners of the process.
	listeners []*Listener
	logged    map[string]*rate.Sometimes
}

// New returns a Gate and sets the soft memory limit of the Go runtime, if there is one. background is as for
// NewBudget.
func New(limits Limits, background func() int64, events Counter, log logr.Logger) *Gate {
	fasthttp.SetBodySizePoolLimit(pooledBodyBytes, pooledBodyBytes)
	if limits.SoftLimit > 0 {
		debug.SetMemoryLimit(limits.SoftLimit)
	}
	return &Gate{
		budget: NewBudget(limits.Bytes, background), limits: limits, events: events, log: log,
		holders: map[*Conn]struct{}{}, logged: map[string]*rate.Sometimes{},
	}
}

// Budget returns the budget of bytes.
func (g *Gate) Budget() *Budget { return g.budget }

// NewAccount returns an account of work that belongs to no connection. Close ends it.
func (g *Gate) NewAccount() *Account { return &Account{gate: g} }

// Listen wraps a listening socket. limits returns the limits of requests in force; callers is
// true for the listener of callers.
func (g *Gate) Listen(name string, listener net.Listener, limits func() RequestLimits, callers bool) *Listener {
	l := &Listener{
		Listener: listener, gate: g, name: name, limit: g.limits.OtherConnections, addressLimit: g.limits.OtherConnections,
		limits: func() RequestLimits { return limits().withDefaults() },
		conns:  map[*Conn]struct{}{}, byAddress: map[netip.Addr]int{},
	}
	if callers {
		l.limit, l.addressLimit = g.limits.CallerConnections, g.limits.AddressConnections
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l
}

// Connections calls set with the name of each listener and the number of its connections.
func (g *Gate) Connections(set func(listener string, connections int)) {
	g.mu.Lock()
	listeners := slices.Clone(g.listeners)
	g.mu.Unlock()
	for _, l := range listeners {
		set(l.name, l.count())
	}
}

// reserve reserves n bytes, for which it may end requests that make little progress.
func (g *Gate) reserve(n int64) bool {
	for try := range reserveTries {
		if g.budget.tryReserve(n) {
			return true
		}
		freed := g.budget.change()
		if !g.evict() && try > 0 {
			return false
		}
		timer := time.NewTimer(reserveWait)
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return g.budget.tryReserve(n)
}

// evict ends the request that holds the most for the longest time. It returns false if there
// is none that may be ended.
func (g *Gate) evict() bool {
	now := time.Now()
	var worst *Conn
	var most float64
	g.mu.Lock()
	holders := slices.Collect(maps.Keys(g.holders))
	g.mu.Unlock()
	for _, c := range holders {
		if c.evicted.Load() {
			continue
		}
		if value := c.slowness(now); value > most {
			worst, most = c, value
		}
	}
	if worst == nil {
		return false
	}
	g.closed("memory")
	worst.evict()
	return true
}

func (g *Gate) addHolder(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders[c] = struct{}{}
}

func (g *Gate) removeHolder(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.holders, c)
}

// closed records that a connection was closed for a reason, which is one of a fixed set.
func (g *Gate) closed(reason string) {
	g.events.Event("connection_closed_" + reason)
	g.sometimes("closed "+reason, func() {
		g.log.Info("connection closed", "reason", reason, "reserved_bytes", g.budget.Used(), "budget_bytes", g.budget.Total())
	})
}

// refused records that a request was refused with an error of a kind.
func (g *Gate) refused(kind failure.Kind) {
	g.events.Event("intake_refused_" + string(kind))
	g.sometimes("refused "+string(kind), func() {
		g.log.Info("request not received", "reason", kind, "reserved_bytes", g.budget.Used(), "budget_bytes", g.budget.Total())
	})
}

// sometimes calls log unless it was called for the same key within logInterval.
func (g *Gate) sometimes(key string, log func()) {
	g.mu.Lock()
	some := g.logged[key]
	if some == nil {
		some = &rate.Sometimes{Interval: logInterval}
		g.logged[key] = some
	}
	g.mu.Unlock()
	some.Do(log)
}
