package swap

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/placement"
)

// Load pattern: each trainer names a version every few seconds; an engine takes
// about a second to load one, longer while several load, and takes no new work
// of the model meanwhile. Jobs arrive right after a version was named and may
// use the version before it, so most engines have to stay usable.

// Engine is what the holder knows of one engine.
type Engine struct {
	ID string
	// Versions are the versions in use by model.
	Versions map[string]uint64
	// Loading is true while an order is being carried out, for LoadsModel.
	Loading    bool
	LoadsModel string
	// RetryAt is when the next order may be sent.
	RetryAt time.Time
	// InFlight is the number of this host's requests there.
	InFlight int
	// Slots is the number of requests that the engine runs at once; zero if not known.
	Slots int
}

// Order is an order to send.
type Order struct {
	Engine  string
	Model   string
	Version uint64
}

// Need is what is wanted of the engines of one model.
type Need struct {
	// Named is the newest version that the trainer named.
	Named uint64
	// Slack is how many versions behind the newest one its jobs allow.
	Slack uint64
	// Rollouts is the size of its newest job.
	Rollouts int
}

const (
	// spareShare is how many more places than rollouts of a job a model's engines are to have.
	spareShare = 1.1
	// loadShare is the share of the engines that load at a time: more slow each
	// other down, and fewer can't follow trainers that name versions in turn.
	loadShare = 0.3
)

// AtOnce is how many of so many engines may load at a time.
func AtOnce(engines int) int { return max(1, int(math.Ceil(loadShare*float64(engines)))) }

// Plan returns the orders to send now, so that at most atOnce engines load.
// engines are in the order of their ids, which is that of the ring on which they
// are placed.
//
// Each model keeps as many engines usable as its jobs fill, and at least its even
// share of the loads: where M models share E engines and jobs allow a version s
// behind, that is (s+1)E/M engines, of which one in s+1 takes each version. So
// never all fall behind at once, and no engine loads what no job needs.
func Plan(engines []Engine, needs map[string]Need, atOnce int, now time.Time) []Order {
	loading := 0
	for _, e := range engines {
		if e.Loading {
			loading++
		}
	}
	candidates := make([]candidate, 0, len(engines))
	for model, need := range needs {
		if need.Named > 0 {
			candidates = append(candidates, candidatesFor(engines, model, needs, now)...)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.covered, b.covered), cmp.Compare(a.busy, b.busy),
			cmp.Compare(a.order.Model, b.order.Model), cmp.Compare(a.order.Engine, b.order.Engine))
	})
	var orders []Order
	taken := map[string]bool{}
	for _, c := range candidates {
		if loading+len(orders) >= atOnce {
			break
		}
		if !taken[c.order.Engine] {
			taken[c.order.Engine] = true
			orders = append(orders, c.order)
		}
	}
	return orders
}

// candidate is an order that may be sent, with what decides its place.
type candidate struct {
	order Order
	lag   uint64
	// distance is that of the engine on the ring for the model.
	distance float64
	busy     int
	// covered is the part of the engines that the model needs which it has without this order.
	covered float64
}

// candidatesFor returns the orders that one model needs, the best engines first.
func candidatesFor(engines []Engine, model string, needs map[string]Need, now time.Time) []candidate {
	need := needs[model]
	holding, usable, current, slots := 0, 0, 0, 0
	var found []candidate
	models := slices.Sorted(maps.Keys(needs))
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
		case has >= need.Named || e.LoadsModel == model:
			current++
			usable++
			continue
		case has+need.Slack >= need.Named:
			usable++
		}
		if !e.Loading && !now.Before(e.RetryAt) {
			found = append(found, candidate{
				order: Order{e.ID, model, need.Named}, lag: need.Named - has, busy: e.InFlight,
				distance: placement.ArcDistance(i, len(engines), part, len(models)),
			})
		}
	}
	wanted, each := wantedEngines(need, holding, slots, trained(needs))
	// Engines that no new job may use come first; those that it may use only for the model's share of each version.
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(compareBool(b.lag > need.Slack, a.lag > need.Slack), cmp.Compare(a.distance, b.distance), cmp.Compare(a.busy, b.busy), cmp.Compare(a.order.Engine, b.order.Engine))
	})
	var chosen []candidate
	for _, c := range found {
		outdated := c.lag > need.Slack
		if (!outdated || usable >= wanted) && current >= each {
			continue
		}
		c.covered = float64(usable) / float64(wanted)
		if outdated {
			usable++
		}
		current++
		chosen = append(chosen, c)
	}
	return chosen
}

// wantedEngines returns how many engines a model is to have usable, and how many
// of them are to take each version.
func wantedEngines(need Need, holding, slots, models int) (wanted, each int) {
	turns := int(need.Slack) + 1
	wanted = (turns*holding + models - 1) / models
	if slots > 0 {
		wanted = max(wanted, int(math.Ceil(spareShare*float64(need.Rollouts)/float64(slots))))
	}
	wanted = max(1, min(wanted, holding))
	return wanted, (wanted + turns - 1) / turns
}

// trained is the number of models for which versions are named.
func trained(needs map[string]Need) int {
	n := 0
	for _, need := range needs {
		if need.Named > 0 {
			n++
		}
	}
	return max(1, n)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
