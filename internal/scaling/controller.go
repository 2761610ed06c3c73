package scaling

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/routes"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
	"github.com/sapphirehatch/sapphirehatch/internal/telemetry"
)

// Table is the table of the row that holds the state of the planner. Only the holder of the
// lease rowlease.Scaling reads and writes it.
const Table = "scaling"

// stateKey is the part and the key of the row.
const stateKey = "state"

const (
	// planInterval is the time between two plans of the lease holder.
	planInterval = 250 * time.Millisecond
	// storeInterval is the longest time for which the observed demand and the ends of orders
	// are not stored. A new holder that misses them sends an order again, or waits longer
	// with a decrease.
	storeInterval = 2 * time.Second
	// storeTimeout bounds a read or write of the row.
	storeTimeout = time.Second
	// maxInputAge is the age of the job feed or of the list of replicas from which on nothing
	// is planned. Replicas that were lost since would count as running.
	maxInputAge = 4 * time.Second
	// maxOrdersPerPlan bounds the orders of one plan. The control API takes 50 calls per
	// second from all duties together.
	maxOrdersPerPlan = 10
	// maxSilence is how long the control API may give this host no answer to any order before
	// the host yields the lease for yieldTime: its link to the control API may be cut. The
	// time covers several attempts and the takeover of another host.
	maxSilence = 5 * time.Second
	yieldTime  = 15 * time.Second
	// maxStateBytes is the largest value of a row.
	maxStateBytes = 64 << 10
)

// Lease is the lease under which orders are sent.
type Lease interface {
	// Grant returns the permission of this host, if it may act now.
	Grant() (rowlease.Grant, bool)
	// Yield ends the permission under a fencing token, so that another host takes over.
	Yield(fence uint64, d time.Duration)
}

// Config holds the dependencies of a Controller.
type Config struct {
	Lease   Lease
	Rows    platform.RowStore
	Orderer Orderer
	// Routes returns the configuration in force; nil before the first.
	Routes func() *routes.Table
	// Replicas returns the replicas of a service, and ReplicasAt the time of the request
	// that last brought them up to date.
	Replicas   func(service string) []fleet.Replica
	ReplicasAt func() time.Time
	// Jobs returns the open jobs, and the time of the request that last brought them up to
	// date.
	Jobs func() ([]job.OpenJob, time.Time)
	// Requests returns the requests in flight at all hosts by service, without rollouts.
	Requests func() map[string]int
	// Domains returns failure domains that exist.
	Domains func() []string
	// StoreClock returns the last known time of the store clock and the time at which it
	// was requested; both are zero if not known.
	StoreClock func() (time.Duration, time.Time)
	// StartDelay is the time after the start of the host in which nothing is ordered for a
	// service without a stored state. When hosts and replicas start together, replicas
	// register one after the other, and an order by the first few would give the others back.
	StartDelay time.Duration
	// Events records metrics; it may be nil.
	Events *telemetry.Recorder
	Log    logr.Logger
}

// storedState is the value of the row.
type storedState struct {
	Services map[string]*State `json:"services"`
}

// Controller plans and orders the replicas of all services while this host holds the lease.
type Controller struct {
	Config

	// startedAt is when the host started.
	startedAt time.Time

	mu sync.Mutex
	// fence is the fencing token under which states was read; zero if it must be read.
	fence uint64
	// states holds the state of each service, and version is that of the row.
	states  map[string]*State
	version uint64
	// changed is true if states has changes that are not stored, and storedAt is when it
	// was stored last.
	changed  bool
	storedAt time.Time
	// known holds the failure domains that were seen, and unknown those that were logged as
	// not seen, by service.
	known   map[string]bool
	unknown map[string]bool
	// silentSince is the time of the first order without an answer since the last answer;
	// zero if there is none.
	silentSince time.Time
	// inputsOld is true while the inputs are too old to plan.
	inputsOld bool
	wg        sync.WaitGroup
}

// NewController returns a controller. Call Run to start it.
func NewController(c Config) *Controller {
	controller := &Controller{Config: c, startedAt: time.Now(), known: map[string]bool{}, unknown: map[string]bool{}}
	if c.Events == nil {
		return controller
	}
	c.Events.Gauges(func(set func(name string, value float64)) {
		regular, spot := controller.wanted()
		set(`sapphirehatch_replicas_wanted{kind="regular"}`, float64(regular))
		set(`sapphirehatch_replicas_wanted{kind="spot"}`, float64(spot))
	})
	return controller
}

// wanted returns the number of replicas that this host wants by kind; zero unless it holds
// the lease.
func (c *Controller) wanted() (regular, spot int) {
	if _, held := c.Lease.Grant(); !held {
		return 0, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		r, s := s.Wanted()
		regular, spot = regular+r, spot+s
	}
	return regular, spot
}

// Run plans until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	defer c.wg.Wait()
	for {
		select {
		case <-ticker.C:
			c.step(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// inputs are what one plan of all services is made from.
type inputs struct {
	table    *routes.Table
	now      time.Duration
	rollouts map[string]int
	requests map[string]int
	// jobsAge and replicasAge are the ages of what this host knows.
	jobsAge, replicasAge time.Duration
}

// read collects the inputs. ok is false if they are not known, or too old to plan.
func (c *Controller) read() (in inputs, ok bool) {
	clock, asked := c.StoreClock()
	jobs, jobsAt := c.Jobs()
	replicasAt := c.ReplicasAt()
	in.table = c.Routes()
	if in.table == nil || asked.IsZero() || jobsAt.IsZero() || replicasAt.IsZero() {
		return in, false
	}
	now := time.Now()
	in.now = clock + now.Sub(asked)
	in.jobsAge, in.replicasAge = now.Sub(jobsAt), now.Sub(replicasAt)
	old := max(in.jobsAge, in.replicasAge) > maxInputAge
	if old != c.inputsOld {
		c.inputsOld = old
		c.Log.Info("inputs of replica orders", "too_old", old, "jobs_age", in.jobsAge.Round(time.Millisecond), "replicas_age", in.replicasAge.Round(time.Millisecond))
	}
	if old {
		return in, false
	}
	in.requests = c.Requests()
	in.rollouts = map[string]int{}
	for _, j := range jobs {
		in.rollouts[in.table.JobService(j.ID, j.Model)] += j.Unlisted
	}
	return in, true
}

// step makes one plan of all services, if this host holds the lease, stores it and sends
// its orders.
func (c *Controller) step(ctx context.Context) {
	grant, held := c.Lease.Grant()
	if !held {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	in, ok := c.read()
	if !ok || c.fence != grant.Fence && !c.load(ctx, grant.Fence) {
		return
	}
	if c.yieldIfSilent(grant.Fence) {
		return
	}
	var calls []*call
	for _, name := range slices.Sorted(maps.Keys(in.table.Services)) {
		service := in.table.Services[name]
		if service.Scaling == nil {
			continue
		}
		calls = append(calls, c.plan(service, in)...)
	}
	for name := range c.states {
		if in.table.Services[name].Scaling == nil {
			delete(c.states, name)
			c.changed = true
		}
	}
	if len(calls) == 0 && (!c.changed || time.Since(c.storedAt) < storeInterval) {
		return
	}
	stored := c.store(ctx)
	for i, call := range calls {
		if !stored || i >= maxOrdersPerPlan {
			call.state.Record(call.order, NotExecuted, in.now)
			continue
		}
		c.wg.Go(func() { c.send(ctx, call, grant.Fence) })
	}
}

// plan makes the plan of one service. The caller holds mu.
func (c *Controller) plan(service routes.Service, in inputs) []*call {
	limits, seen := c.observe(service, in)
	if len(limits.Prices) == 0 {
		return nil
	}
	state := c.states[service.Name]
	if state == nil {
		state = &State{}
		if left := c.StartDelay - time.Since(c.startedAt); left > 0 {
			state.AdoptUntil = in.now + left
		}
		c.states[service.Name] = state
	}
	c.changed = true
	decision := state.Plan(in.now, limits, seen)
	if decision.Reclaimed > 0 {
		c.Events.EventN("replicas_reclaimed", int64(decision.Reclaimed))
		c.Log.Info("spot replicas are reclaimed", "service", service.Name, "replicas", decision.Reclaimed, "replicas_age", in.replicasAge.Round(time.Millisecond))
	}
	c.Events.EventN("replicas_returned_early", int64(decision.ReturnedEarly))
	calls := make([]*call, 0, len(decision.Orders))
	for _, order := range decision.Orders {
		calls = append(calls, &call{service: service.Name, state: state, order: order, clock: in.now, began: time.Now(), fields: []any{
			"service", service.Name, "failure_domain", order.Domain, "spot", order.Spot, "replicas", order.Replicas, "before", order.Before,
			"ready", seen.Pools[order.Pool].Ready, "reason", order.Reason, "need", decision.Need, "peak", decision.Peak, "demand", seen.Demand,
			"rollouts", in.rollouts[service.Name], "requests", in.requests[service.Name], "slots", seen.Slots, "ready_in_all", seen.ready(),
			"jobs_age", in.jobsAge.Round(time.Millisecond), "replicas_age", in.replicasAge.Round(time.Millisecond), "configuration", in.table.Version,
		}})
	}
	return calls
}

// rolloutsPerSlot is the number of rollouts of open jobs that one slot serves in turn. A step
// is due several times the duration of a usual rollout after its submission. With a slot for
// each rollout, 38 engines became 77, whose loads of each new weight version took so much
// longer that steps ended later.
const rolloutsPerSlot = 3

// slotsFor returns the number of slots for a number of rollouts.
func slotsFor(rollouts int) int { return (rollouts + rolloutsPerSlot - 1) / rolloutsPerSlot }

// observe returns what is known of a service, and its limits without the failure domains
// in which nothing was ever seen: their names are probably mistyped. The caller holds mu.
func (c *Controller) observe(service routes.Service, in inputs) (*routes.Scaling, Observation) {
	seen := Observation{Demand: slotsFor(in.rollouts[service.Name]) + in.requests[service.Name], Slots: service.Slots, Pools: map[Pool]Count{}}
	slots, ready := 0, 0
	for _, r := range c.Replicas(service.Name) {
		c.known[r.Domain] = true
		pool := Pool{Domain: r.Domain, Spot: r.Spot}
		count := seen.Pools[pool]
		left := time.Until(r.LeavesAt)
		switch {
		case !r.Draining:
			count.Ready++
			slots, ready = slots+r.Slots, ready+1
		case !r.LeavesAt.IsZero() && left > 0:
			count.Leaving++
			count.LeavesIn = max(count.LeavesIn, left)
		}
		seen.Pools[pool] = count
	}
	if slots > 0 {
		seen.Slots = max(1, slots/ready)
	}
	for _, domain := range c.Domains() {
		c.known[domain] = true
	}
	limits := *service.Scaling
	limits.Prices = map[string]float64{}
	for domain, price := range service.Scaling.Prices {
		if c.known[domain] {
			limits.Prices[domain] = price
			delete(c.unknown, service.Name+"/"+domain)
			continue
		}
		if !c.unknown[service.Name+"/"+domain] {
			c.unknown[service.Name+"/"+domain] = true
			c.Log.Info("failure domain of a scaling entry has neither hosts nor replicas, so nothing is ordered there", "service", service.Name, "failure_domain", domain, "configuration", in.table.Version)
		}
	}
	return &limits, seen
}

// load reads the state that the previous holder has stored. The caller holds mu.
func (c *Controller) load(ctx context.Context, fence uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := c.Rows.Read(ctx, platform.RowRange{Table: Table, Part: stateKey, Limit: 1})
	if err != nil {
		c.Log.Info("state of replica orders can't be read", "error", err.Error())
		return false
	}
	var stored storedState
	c.version = 0
	for _, row := range page.Rows {
		c.version = row.Version
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			// What runs is then the starting point.
			c.Log.Error(err, "state of replica orders can't be decoded", "row_version", row.Version)
			stored = storedState{}
		}
	}
	c.fence, c.states, c.changed, c.silentSince = fence, map[string]*State{}, false, time.Time{}
	for name, state := range stored.Services {
		if state != nil && !slices.Contains(slices.Collect(maps.Values(state.Pools)), nil) {
			state.Resume()
			c.states[name] = state
			// A failure domain that another holder has seen exists, also while it is lost.
			for pool := range state.Pools {
				c.known[strings.TrimSuffix(strings.TrimSuffix(pool, suffixSpot), suffixRegular)] = true
			}
		}
	}
	c.Log.Info("replica orders taken over", "fence", fence, "services", len(c.states), "row_version", c.version)
	return true
}

// store writes the state if no other holder has written it since. The caller holds mu.
func (c *Controller) store(ctx context.Context) bool {
	value, err := json.Marshal(storedState{Services: c.states})
	if err == nil && len(value) > maxStateBytes {
		err = failure.New(failure.Internal, "", "state of %d services has %d bytes, more than a row holds", len(c.states), len(value))
	}
	if err != nil {
		c.Log.Error(err, "state of replica orders can't be encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	id := platform.RowID{Table: Table, Part: stateKey, Key: stateKey}
	result, err := c.Rows.Commit(ctx, platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: id, Version: c.version}},
		Writes: []platform.RowWrite{{RowID: id, Value: value}},
	})
	if err != nil {
		c.Log.Info("state of replica orders not stored", "version", c.version, "error", err.Error())
		if !failure.IsKind(err, failure.StoreUnavailable) {
			// The row has another version now, or may have.
			c.fence = 0
		}
		return false
	}
	c.version, c.changed, c.storedAt = result.Version, false, time.Now()
	return true
}

// call is an order on its way to the control API.
type call struct {
	service string
	state   *State
	order   PlannedOrder
	// clock is the store clock at began.
	clock time.Duration
	began time.Time
	// fields are the inputs of the order for its log line.
	fields []any
}

// send sends one order and records its end.
func (c *Controller) send(ctx context.Context, call *call, fence uint64) {
	// The lease is checked again because the process may have been paused.
	grant, held := c.Lease.Grant()
	err := error(failure.New(failure.LeaseLost, failure.NotRun, "the lease under token %d has ended", fence))
	if held && grant.Fence == fence {
		err = c.Orderer.Scale(ctx, grant, Order{Service: call.service, Domain: call.order.Domain, Replicas: call.order.Replicas, Spot: call.order.Spot})
	}
	outcome, result := outcomeOf(err)
	took := time.Since(call.began)
	fields := slices.Concat(call.fields, []any{"fence", fence, "took", took, "outcome", result})
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	c.Log.Info("replicas ordered", fields...)
	more := max(0, call.order.Replicas-call.order.Before)
	switch outcome {
	case Accepted:
		c.Events.EventN("replicas_ordered", int64(more))
	case NoneAvailable:
		c.Events.EventN("replicas_refused", int64(more))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeAnswer(err, call.began)
	if c.states[call.service] == call.state {
		call.state.Record(call.order, outcome, call.clock+took)
		c.changed = true
	}
}

// observeAnswer records whether the control API has answered an order that was sent at a
// time. The caller holds mu.
func (c *Controller) observeAnswer(err error, sent time.Time) {
	switch {
	case failure.IsKind(err, failure.LeaseLost) || failure.IsKind(err, failure.StaleFencingToken):
		// Nothing was sent.
	case err == nil || !failure.IsKind(err, failure.UpstreamUnreachable) && failure.As(err).Outcome == failure.NotRun:
		c.silentSince = time.Time{}
	case c.silentSince.IsZero():
		c.silentSince = sent
	}
}

// yieldIfSilent yields the lease if an order waits for an answer and the control API gave
// none for maxSilence. The caller holds mu.
func (c *Controller) yieldIfSilent(fence uint64) bool {
	pending := false
	for _, s := range c.states {
		for _, p := range s.Pools {
			pending = pending || p.Pending
		}
	}
	if !pending {
		c.silentSince = time.Time{}
	}
	if c.silentSince.IsZero() || time.Since(c.silentSince) <= maxSilence {
		return false
	}
	c.silentSince = time.Time{}
	c.Lease.Yield(fence, yieldTime)
	return true
}

// outcomeOf returns the outcome of an order and its name in logs.
func outcomeOf(err error) (Outcome, string) {
	switch {
	case err == nil:
		return Accepted, "accepted"
	case failure.IsKind(err, failure.CapacityUnavailable):
		return NoneAvailable, "none_available"
	case failure.As(err).Outcome == failure.NotRun:
		return NotExecuted, "not_executed"
	}
	return Unanswered, "unanswered"
}
