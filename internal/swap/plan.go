package swap

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

// The plan assumes this load: each trainer publishes a version every few seconds.
// An engine takes about a second to load one, longer while several engines load,
// and accepts no new requests for the model meanwhile. Jobs arrive right after a
// version was published and may use the previous version, so most engines must
// remain usable.

// Engine is the state of one engine as input of Plan.
type Engine struct {
	// ID is the replica's id.
	ID string
	// Versions are the loaded versions by model.
	Versions map[string]uint64
	// Loading is true while the engine carries out an order, or a call to it is in progress.
	Loading bool
	// LoadingModel is the model of that order; empty if there is none or it is not known.
	LoadingModel string
	// RetryAt is the earliest time of the next order.
	RetryAt time.Time
	// InFlight is the number of requests of this host in progress on the engine. The Controller
	// does not set it.
	InFlight int
	// Slots is the number of requests that the engine runs concurrently; zero if not known.
	Slots int
}

// PlannedLoad is an order of a plan.
type PlannedLoad struct {
	// Engine is the replica's id.
	Engine  string
	Model   string
	Version uint64
}

// Demand is what the engines of one model should provide.
type Demand struct {
	// TargetVersion is the newest version that the trainer published; zero if none.
	TargetVersion uint64
	// AllowedLag is how many versions behind the target its jobs accept.
	AllowedLag uint64
	// Rollouts is the number of rollouts of its newest job.
	Rollouts int
}

const (
	// capacityFactor is the number of slots that a model's usable engines should
	// have per rollout of a job.
	capacityFactor = 1.1
	// maxLoadingShare is the share of the engines that may load at a time. With
	// more the loads slow each other down, and with fewer the engines cannot keep
	// up with several trainers that publish in turn.
	maxLoadingShare = 0.3
)

// MaxLoading returns how many of a number of engines may load at a time: 30 %,
// rounded up, and at least one.
func MaxLoading(engines int) int { return max(1, int(math.Ceil(maxLoadingShare*float64(engines)))) }

// Plan returns the orders to send at now, such that at most maxLoading engines
// load at a time. engines must be sorted by id, which is their order on the
// placement ring.
//
// An engine is usable for a model if its version is at most AllowedLag behind
// the target. Plan keeps as many engines usable for each model as its newest job
// fills, and at least the model's equal share of the loads: if M models share E
// engines and jobs accept a lag of s versions, that is (s+1)E/M engines, of which
// one in s+1 loads each version. Thus the engines of a model never become
// outdated all at once, and no engine loads a version that no job needs.
func Plan(engines []Engine, demands map[string]Demand, maxLoading int, now time.Time) []PlannedLoad {
	loading := 0
	for _, e := range engines {
		if e.Loading {
			loading++
		}
	}
	candidates := make([]candidate, 0, len(engines))
	for model, demand := range demands {
		if demand.TargetVersion > 0 {
			candidates = append(candidates, candidatesFor(engines, model, demands, now)...)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.coverage, b.coverage), cmp.Compare(a.busy, b.busy),
			cmp.Compare(a.order.Model, b.order.Model), cmp.Compare(a.order.Engine, b.order.Engine))
	})
	var orders []PlannedLoad
	taken := map[string]bool{}
	for _, c := range candidates {
		if loading+len(orders) >= maxLoading {
			break
		}
		if !taken[c.order.Engine] {
			taken[c.order.Engine] = true
			orders = append(orders, c.order)
		}
	}
	return orders
}

// candidate is an order that may be sent, with the values that it is sorted by.
type candidate struct {
	order PlannedLoad
	// lag is how many versions the engine is behind the target.
	lag uint64
	// distance is the engine's distance from the model on the placement ring.
	distance float64
	// busy is the number of requests in progress on the engine.
	busy int
	// coverage is the share of the model's required engines that are usable without this order.
	coverage float64
}

// candidatesFor returns the orders that one model needs, the preferred engines first.
func candidatesFor(engines []Engine, model string, demands map[string]Demand, now time.Time) []candidate {
	demand := demands[model]
	holding, usable, current, slots := 0, 0, 0, 0
	var found []candidate
	models := slices.Sorted(maps.Keys(demands))
	part := slices.Index(models, model)
	for i := range engines {
		e := &engines[i]
		has, holds := e.Versions[model]
		if !holds {
			continue
		}
		holding++
		slots = max(slots, e.Slots)
		switch {
		case has >= demand.TargetVersion || e.LoadingModel == model:
			current++
			usable++
			continue
		case has+demand.AllowedLag >= demand.TargetVersion:
			usable++
		}
		if !e.Loading && !now.Before(e.RetryAt) {
			found = append(found, candidate{
				order: PlannedLoad{e.ID, model, demand.TargetVersion}, lag: demand.TargetVersion - has, busy: e.InFlight,
				distance: placement.ArcDistance(i, len(engines), part, len(models)),
			})
		}
	}
	required, perVersion := requiredEngines(demand, holding, slots, trainedModels(demands))
	// Outdated engines, which new jobs cannot use, come first. Usable ones follow
	// and are loaded only until the model has its share of engines with the target version.
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(compareBool(b.lag > demand.AllowedLag, a.lag > demand.AllowedLag), cmp.Compare(a.distance, b.distance), cmp.Compare(a.busy, b.busy), cmp.Compare(a.order.Engine, b.order.Engine))
	})
	var chosen []candidate
	for _, c := range found {
		outdated := c.lag > demand.AllowedLag
		if (!outdated || usable >= required) && current >= perVersion {
			continue
		}
		c.coverage = float64(usable) / float64(required)
		if outdated {
			usable++
		}
		current++
		chosen = append(chosen, c)
	}
	return chosen
}

// requiredEngines returns how many engines should be usable for a model, and how
// many of them should load each version. holding is the number of engines that
// have the model, slots the number of slots per engine, and models the number of
// models that share the engines.
func requiredEngines(demand Demand, holding, slots, models int) (required, perVersion int) {
	period := int(demand.AllowedLag) + 1
	required = (period*holding + models - 1) / models
	if slots > 0 {
		required = max(required, int(math.Ceil(capacityFactor*float64(demand.Rollouts)/float64(slots))))
	}
	required = max(1, min(required, holding))
	return required, (required + period - 1) / period
}

// trainedModels returns the number of models that share the engines, and at least one:
// those with a target version, and those with jobs, whose first version is still to come.
func trainedModels(demands map[string]Demand) int {
	n := 0
	for _, demand := range demands {
		if demand.TargetVersion > 0 || demand.Rollouts > 0 {
			n++
		}
	}
	return max(1, n)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
