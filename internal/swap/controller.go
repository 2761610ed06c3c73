package swap

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

const (
	// planInterval is the time between two plans of the lease holder.
	planInterval = 50 * time.Millisecond
	// expectedLoadTime is the usual duration of a load. A load counts as ended after twice that time.
	expectedLoadTime = 900 * time.Millisecond
	// orderTimeout bounds one order or report call.
	orderTimeout = 500 * time.Millisecond
	// orderRetryDelay is the wait before the next call to an engine that refused an order, did not
	// answer, or reported that it is busy.
	orderRetryDelay = 400 * time.Millisecond
	// takeoverDelay is how long a new holder waits before its first order, for orders of the previous holder to arrive.
	takeoverDelay = 300 * time.Millisecond
)

// Mode selects what happens to runs in progress when an engine loads weights.
type Mode int

// Modes of a LoadOrder.
const (
	// ModeRetain continues the runs under the new version.
	ModeRetain Mode = iota
	// ModeBlock finishes the runs before the new version is loaded.
	ModeBlock
)

// LoadOrder tells one engine to load a version of a model's weights.
type LoadOrder struct {
	Model   string
	Version uint64
	Mode    Mode
	// Holder is the id of the host that holds the lease, and Fence is its fencing token.
	Holder string
	Fence  uint64
	// Orders is the number of orders that the engine has accepted so far. The
	// engine refuses the order if the number differs, so an order that arrives
	// late has no effect.
	Orders uint64
}

// EngineReport is the state of an engine as the engine reports it.
type EngineReport struct {
	// Orders is the number of orders that the engine has accepted.
	Orders uint64
	// Busy is true while the engine carries out an order.
	Busy bool
	// Versions are the loaded versions by model.
	Versions map[string]uint64
}

// EngineClient sends orders to engines.
type EngineClient interface {
	// Order sends one order. started is true if the engine begins to load, and
	// false if it already serves the version. Errors are *failure.Error: Conflict
	// if another order is in progress or the number of orders differs, StaleFencingToken
	// if the engine has seen a higher fencing token, and others if the engine may
	// still carry out the order.
	Order(ctx context.Context, target fleet.Replica, order LoadOrder) (started bool, err error)
	// Report returns the state of an engine.
	Report(ctx context.Context, target fleet.Replica) (EngineReport, error)
}

// Rules are what the configuration says of load orders.
type Rules interface {
	// SwapMode returns the mode of load orders of a model.
	SwapMode(model string) Mode
	// HasService reports whether the configuration has a service. Anyone may list a replica
	// of another one.
	HasService(service string) bool
}

// engineState is what the lease holder knows about its orders to one engine.
type engineState struct {
	// incarnation identifies the engine's process; a restarted engine gets a new state.
	incarnation int64
	// acceptedOrders is the number of orders that the engine has accepted.
	acceptedOrders uint64
	// loadingModel and loadingVersion are those of the load in progress; loadingVersion
	// is zero if there is none.
	loadingModel   string
	loadingVersion uint64
	// loadDeadline is when that load counts as ended even if the engine did not report the version.
	loadDeadline time.Time
	// retryAt is the earliest time of the next order.
	retryAt time.Time
	// needsReport is true while it is not certain how many orders the engine has
	// accepted: at first, and after an order or load with an unknown outcome. A
	// report is then fetched before the next order.
	needsReport bool
	// callInFlight is true during a call to the engine.
	callInFlight bool
}

// Controller plans and sends load orders while this host holds the lease.
type Controller struct {
	host       string
	elector    *rowlease.Elector
	fleet      *fleet.Fleet
	engines    EngineClient
	rules      Rules
	maxLoading int
	events     *telemetry.Recorder
	log        logr.Logger

	mu sync.Mutex
	// demands holds the demand of each model.
	demands map[string]Demand
	// states holds the state of each engine, by replica id, since heldSince.
	states map[string]*engineState
	// fence is the fencing token under which the states were collected.
	fence     uint64
	heldSince time.Time
}

// NewController returns a controller for a host. At most maxLoading engines load
// at a time; zero means the share of the engines that MaxLoading returns. events
// may be nil.
func NewController(host string, elector *rowlease.Elector, f *fleet.Fleet, engines EngineClient, rules Rules, maxLoading int, events *telemetry.Recorder, log logr.Logger) *Controller {
	return &Controller{host: host, elector: elector, fleet: f, engines: engines, rules: rules, maxLoading: maxLoading, events: events, log: log,
		demands: map[string]Demand{}, states: map[string]*engineState{}}
}

// SetTargetVersion sets the version that the engines of a model should load. A
// version that is not higher than the current target is ignored.
func (c *Controller) SetTargetVersion(model string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.demands[model]
	if version > demand.TargetVersion {
		demand.TargetVersion = version
		c.demands[model] = demand
		c.log.Info("version named", "model", model, "version", version)
	}
}

// SetDemand sets what a model's newest job requires: the oldest version that it
// accepts, and its number of rollouts. The allowed lag is counted from the target
// version at the time of the call; it is zero if oldest is not below that.
func (c *Controller) SetDemand(model string, oldest uint64, rollouts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.demands[model]
	allowedLag := uint64(0)
	if demand.TargetVersion > oldest {
		allowedLag = demand.TargetVersion - oldest
	}
	if allowedLag != demand.AllowedLag {
		c.log.Info("allowed version lag changed", "model", model, "named", demand.TargetVersion, "oldest", oldest, "slack", allowedLag)
	}
	demand.AllowedLag, demand.Rollouts = allowedLag, rollouts
	c.demands[model] = demand
}

// Run plans and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
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

// step makes one plan and sends its orders, if this host holds the lease. Draining
// engines, those that serve no model and those of unknown services are left out.
func (c *Controller) step(ctx context.Context) {
	fence, _, ok := c.elector.Held()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if fence != c.fence {
		c.fence, c.heldSince = fence, now
		c.states = map[string]*engineState{}
	}
	if now.Sub(c.heldSince) < takeoverDelay || len(c.demands) == 0 {
		return
	}
	targets := map[string]fleet.Replica{}
	var engines []Engine
	for _, r := range c.fleet.List("") {
		if len(r.Models) == 0 || r.Draining || !c.rules.HasService(r.Service) {
			continue
		}
		targets[r.ID] = r
		engines = append(engines, c.planInput(r, now))
	}
	maxLoading := c.maxLoading
	if maxLoading == 0 {
		maxLoading = MaxLoading(len(engines))
	}
	for _, order := range Plan(engines, c.demands, maxLoading, now) {
		c.sendOrder(ctx, targets[order.Engine], order, fence)
	}
}

// planInput returns the state of a replica as input of Plan. The caller holds mu.
func (c *Controller) planInput(r fleet.Replica, now time.Time) Engine {
	s := c.states[r.ID]
	if s == nil || s.incarnation != r.Incarnation {
		// For a newly listed or restarted engine, and after a takeover, the number of
		// orders that the engine has accepted is not known.
		s = &engineState{incarnation: r.Incarnation, needsReport: true}
		c.states[r.ID] = s
	}
	// A load ends when the version is served, or at its deadline. Its outcome is unknown
	// if the version is not served by then.
	if s.loadingVersion > 0 && (r.Models[s.loadingModel] >= s.loadingVersion || now.After(s.loadDeadline)) {
		if r.Models[s.loadingModel] < s.loadingVersion {
			s.needsReport = true
		}
		s.loadingVersion = 0
	}
	e := Engine{ID: r.ID, Slots: r.Slots, Versions: r.Models, Loading: s.loadingVersion > 0 || s.callInFlight, RetryAt: s.retryAt}
	if s.loadingVersion > 0 {
		e.LoadingModel = s.loadingModel
	}
	return e
}

// sendOrder sends an order in a new goroutine. If a report is needed, it fetches
// only the report, and a later plan sends an order. The caller holds mu.
func (c *Controller) sendOrder(ctx context.Context, target fleet.Replica, planned PlannedLoad, fence uint64) {
	s := c.states[target.ID]
	s.callInFlight = true
	needsReport := s.needsReport
	order := LoadOrder{
		Model: planned.Model, Version: planned.Version, Mode: c.rules.SwapMode(planned.Model),
		Holder: c.host, Fence: fence, Orders: s.acceptedOrders,
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if needsReport {
			c.fetchReport(callCtx, target, s)
			return
		}
		// The lease is checked immediately before the order because the process may have been paused.
		if current, _, ok := c.elector.Held(); !ok || current != fence {
			c.mu.Lock()
			s.callInFlight = false
			c.mu.Unlock()
			return
		}
		started, err := c.engines.Order(callCtx, target, order)
		c.recordOrder(target, s, order, started, err)
	}()
}

// fetchReport gets an engine's report and takes the number of accepted orders from it.
func (c *Controller) fetchReport(ctx context.Context, target fleet.Replica, s *engineState) {
	report, err := c.engines.Report(ctx, target)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.callInFlight = false
	if err != nil {
		s.retryAt = time.Now().Add(orderRetryDelay)
		c.log.Info("engine report failed", "engine", target.ID, "error", err.Error())
		return
	}
	s.needsReport, s.acceptedOrders = false, report.Orders
	if report.Busy {
		s.needsReport, s.retryAt = true, time.Now().Add(orderRetryDelay)
	}
	for model, version := range report.Versions {
		c.fleet.ObserveVersion(target.ID, model, version)
	}
}

// recordOrder records the result of an order.
func (c *Controller) recordOrder(target fleet.Replica, s *engineState, order LoadOrder, started bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.callInFlight = false
	now := time.Now()
	switch {
	case err == nil && started:
		s.acceptedOrders++
		s.loadingModel, s.loadingVersion, s.loadDeadline = order.Model, order.Version, now.Add(2*expectedLoadTime)
		c.fleet.PauseModel(target.ID, order.Model, expectedLoadTime)
	case err == nil:
		c.fleet.ObserveVersion(target.ID, order.Model, order.Version)
	default:
		s.retryAt = now.Add(orderRetryDelay)
		s.needsReport = true
		if failure.IsKind(err, failure.StaleFencingToken) {
			// Another host has taken the lease; Held reports that within a term.
			s.retryAt = now.Add(c.elector.Term())
		}
	}
	kv := []any{"engine", target.ID, "model", order.Model, "version", order.Version, "fence", order.Fence, "orders", order.Orders, "started", started}
	c.events.Event("order_given")
	if err != nil {
		c.events.Event("order_failed")
		kv = append(kv, "error", err.Error())
	}
	c.log.Info("order given", kv...)
}
