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
	// Loading is true while an order is being carried out.
	Loading bool
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

// Plan returns the orders to send now, so that at most atOnce engines load.
// Models whose engines lag most come first.
func Plan(engines []Engine, named map[string]uint64, atOnce int, now time.Time) []Order {
	loading := 0
	for _, e := range engines {
		if e.Loading {
			loading++
		}
	}
	type candidate struct {
		order Order
		lag   uint64
		busy  int
	}
	var candidates []candidate
	for _, e := range engines {
		if e.Loading || now.Before(e.RetryAt) {
			continue
		}
		for model, version := range named {
			has, holds := e.Versions[model]
			if holds && has < version {
				candidates = append(candidates, candidate{Order{e.ID, model, version}, version - has, e.InFlight})
			}
		}
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
