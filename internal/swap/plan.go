package swap

import (
	"cmp"
	"slices"
	"time"
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
}

// Plan returns the orders to send now, so that at most atOnce engines load.
//
// Engines with a version that no new job allows come first. Beside them, one in
// slack+1 engines takes each version, so that never all fall behind at once and
// each loads only as often as the jobs need.
func Plan(engines []Engine, needs map[string]Need, atOnce int, now time.Time) []Order {
	loading := 0
	for _, e := range engines {
		if e.Loading {
			loading++
		}
	}
	candidates := make([]candidate, 0, len(engines))
	for model, need := range needs {
		candidates = append(candidates, candidatesFor(engines, model, need, now)...)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(a.busy, b.busy), cmp.Compare(a.order.Model, b.order.Model), cmp.Compare(a.order.Engine, b.order.Engine))
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
	busy  int
}

// candidatesFor returns the orders that one model needs.
func candidatesFor(engines []Engine, model string, need Need, now time.Time) []candidate {
	holding, current := 0, 0
	var outdated, usable []candidate
	for _, e := range engines {
		has, holds := e.Versions[model]
		if !holds {
			continue
		}
		holding++
		if has >= need.Named || e.LoadsModel == model {
			current++
			continue
		}
		if e.Loading || now.Before(e.RetryAt) {
			continue
		}
		c := candidate{Order{e.ID, model, need.Named}, need.Named - has, e.InFlight}
		if has+need.Slack < need.Named {
			outdated = append(outdated, c)
		} else {
			usable = append(usable, c)
		}
	}
	share := (holding + int(need.Slack)) / (int(need.Slack) + 1)
	wanted := max(0, share-current-len(outdated))
	slices.SortFunc(usable, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(a.busy, b.busy), cmp.Compare(a.order.Engine, b.order.Engine))
	})
	return append(outdated, usable[:min(wanted, len(usable))]...)
}
