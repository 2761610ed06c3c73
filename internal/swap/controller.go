package swap

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

const (
	// tick is how often the holder looks for orders to give.
	tick = 50 * time.Millisecond
	// usualLoad is the usual time of a load; after twice that it counts as ended.
	usualLoad = 900 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 500 * time.Millisecond
	// orderPause is the wait before an engine that refused or did not answer gets another order.
	orderPause = 400 * time.Millisecond
	// waitAfterTake is the wait of a new holder, within which orders of the one before it arrive.
	waitAfterTake = 300 * time.Millisecond
)

// Mode says what happens to runs in progress while an engine loads weights.
type Mode int

// Modes of an order.
const (
	// ModeRetain lets runs go on under the new version.
	ModeRetain Mode = iota
	// ModeBlock lets runs finish first.
	ModeBlock
)

// LoadOrder is one order to one engine.
type LoadOrder struct {
	Model   string
	Version uint64
	Mode    Mode
	// Holder and Fence name the lease under which the order is given.
	Holder string
	Fence  uint64
	// Orders is the number of orders that the engine must have accepted before.
	Orders uint64
}

// EngineReport is an engine's own account.
type EngineReport struct {
	Orders   uint64
	Busy     bool
	Versions map[string]uint64
}

// EngineClient gives orders.
type EngineClient interface {
	// Order sends one order. started is true if the engine carries it out now,
	// and false if it holds already. Errors are *failure.Error: Conflict if
	// another order is in progress or the number of orders differs, StaleFence
	// if a newer holder was seen, and others if the order may be carried out later.
	Order(ctx context.Context, target fleet.Replica, c LoadOrder) (started bool, err error)
	Report(ctx context.Context, target fleet.Replica) (EngineReport, error)
}

// ModeSource tells how a model's engines are to be swapped.
type ModeSource interface {
	SwapMode(model string) Mode
}

// engineState is what the holder did with one engine.
type engineState struct {
	born    int64
	orders  uint64
	model   string
	version uint64
	// until is when a load that shows no end counts as ended.
	until   time.Time
	retryAt time.Time
	// doubt demands a report before the next order.
	doubt bool
	// sending is true while an order or report is on its way.
	sending bool
}

// Controller gives orders while this host holds the lease.
type Controller struct {
	host    string
	lease   *Lease
	fleet   *fleet.Fleet
	engines EngineClient
	modes   ModeSource
	atOnce  int
	events  *telemetry.Recorder
	log     logr.Logger

	mu     sync.Mutex
	needs  map[string]Need
	states map[string]*engineState
	fence  uint64
	began  time.Time
}

// NewController returns a controller that lets at most atOnce engines load at a
// time; zero makes it a share of them. events may be nil.
func NewController(host string, lease *Lease, f *fleet.Fleet, engines EngineClient, modes ModeSource, atOnce int, events *telemetry.Recorder, log logr.Logger) *Controller {
	return &Controller{host: host, lease: lease, fleet: f, engines: engines, modes: modes, atOnce: atOnce, events: events, log: log,
		needs: map[string]Need{}, states: map[string]*engineState{}}
}

// SetTargetVersion takes in the version that a trainer named for a model. Versions only grow.
func (c *Controller) SetTargetVersion(model string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := c.needs[model]
	if version > need.Named {
		need.Named = version
		c.needs[model] = need
		c.log.Info("version named", "model", model, "version", version)
	}
}

// SetDemand takes in the oldest version that a model's newest job allows, and its size.
func (c *Controller) SetDemand(model string, oldest uint64, rollouts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := c.needs[model]
	slack := uint64(0)
	if need.Named > oldest {
		slack = need.Named - oldest
	}
	if slack != need.Slack {
		c.log.Info("jobs allow older versions", "model", model, "named", need.Named, "oldest", oldest, "slack", slack)
	}
	need.Slack, need.Rollouts = slack, rollouts
	c.needs[model] = need
}

// Run gives orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.step(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) step(ctx context.Context) {
	fence, _, ok := c.lease.Held()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if fence != c.fence {
		c.fence, c.began = fence, now
		c.states = map[string]*engineState{}
	}
	if now.Sub(c.began) < waitAfterTake || len(c.needs) == 0 {
		return
	}
	targets := map[string]fleet.Replica{}
	var engines []Engine
	for _, r := range c.fleet.List("") {
		if len(r.Models) == 0 || r.Draining {
			continue
		}
		targets[r.ID] = r
		engines = append(engines, c.view(r, now))
	}
	atOnce := c.atOnce
	if atOnce == 0 {
		atOnce = AtOnce(len(engines))
	}
	for _, order := range Plan(engines, c.needs, atOnce, now) {
		c.send(ctx, targets[order.Engine], order, fence)
	}
}

// view returns an engine as the plan sees it. The caller holds mu.
func (c *Controller) view(r fleet.Replica, now time.Time) Engine {
	s := c.states[r.ID]
	if s == nil || s.born != r.Incarnation {
		// A new holder does not know which orders the engine has accepted.
		s = &engineState{born: r.Incarnation, doubt: true}
		c.states[r.ID] = s
	}
	if s.version > 0 && (r.Models[s.model] >= s.version || now.After(s.until)) {
		if r.Models[s.model] < s.version {
			s.doubt = true
		}
		s.version = 0
	}
	e := Engine{ID: r.ID, Slots: r.Slots, Versions: r.Models, Loading: s.version > 0 || s.sending, RetryAt: s.retryAt}
	if s.version > 0 {
		e.LoadsModel = s.model
	}
	return e
}

// send gives an order in a goroutine of its own. The caller holds mu.
func (c *Controller) send(ctx context.Context, target fleet.Replica, order Order, fence uint64) {
	s := c.states[target.ID]
	s.sending = true
	doubt := s.doubt
	command := LoadOrder{
		Model: order.Model, Version: order.Version, Mode: c.modes.SwapMode(order.Model),
		Holder: c.host, Fence: fence, Orders: s.orders,
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if doubt {
			c.check(callCtx, target, s)
			return
		}
		// The lease is looked at right before the order, in case the process stood still.
		if now, _, ok := c.lease.Held(); !ok || now != fence {
			c.mu.Lock()
			s.sending = false
			c.mu.Unlock()
			return
		}
		started, err := c.engines.Order(callCtx, target, command)
		c.ordered(target, s, command, started, err)
	}()
}

// check asks an engine what it did with orders whose fate is not known.
func (c *Controller) check(ctx context.Context, target fleet.Replica, s *engineState) {
	report, err := c.engines.Report(ctx, target)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.sending = false
	if err != nil {
		s.retryAt = time.Now().Add(orderPause)
		c.log.Info("engine gave no report", "engine", target.ID, "error", err.Error())
		return
	}
	s.doubt, s.orders = false, report.Orders
	if report.Busy {
		s.doubt, s.retryAt = true, time.Now().Add(orderPause)
	}
	for model, version := range report.Versions {
		c.fleet.ObserveVersion(target.ID, model, version)
	}
}

// ordered takes in the fate of an order.
func (c *Controller) ordered(target fleet.Replica, s *engineState, command LoadOrder, started bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.sending = false
	now := time.Now()
	switch {
	case err == nil && started:
		s.orders++
		s.model, s.version, s.until = command.Model, command.Version, now.Add(2*usualLoad)
		c.fleet.PauseModel(target.ID, command.Model, usualLoad)
	case err == nil:
		c.fleet.ObserveVersion(target.ID, command.Model, command.Version)
	default:
		s.retryAt = now.Add(orderPause)
		s.doubt = true
		if failure.IsKind(err, failure.StaleFence) {
			// Another host was the holder since; the lease will show it.
			s.retryAt = now.Add(c.lease.term)
		}
	}
	kv := []any{"engine", target.ID, "model", command.Model, "version", command.Version, "fence", command.Fence, "orders", command.Orders, "started", started}
	c.events.Event("order_given")
	if err != nil {
		c.events.Event("order_failed")
		kv = append(kv, "error", err.Error())
	}
	c.log.Info("order given", kv...)
}
