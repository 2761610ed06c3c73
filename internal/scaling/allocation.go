package scaling

import (
	"math"

	"github.com/sapphirehatch/sapphirehatch/internal/routes"
)

// allocation is a number of replicas for each pool of a service.
type allocation struct {
	limits *routes.Scaling
	// domains are the failure domains of limits.
	domains []string
	counts  map[Pool]int
	// closed holds the pools that get no more replicas.
	closed map[Pool]bool
	// ordered holds the numbers that orders have set, or may set late.
	ordered map[Pool]int
}

func newAllocation(limits *routes.Scaling) *allocation {
	return &allocation{limits: limits, domains: limits.Domains(), counts: map[Pool]int{}, closed: map[Pool]bool{}, ordered: map[Pool]int{}}
}

// clone returns a copy with the same closed pools.
func (a *allocation) clone() *allocation {
	c := &allocation{limits: a.limits, domains: a.domains, counts: make(map[Pool]int, len(a.counts)), closed: a.closed, ordered: a.ordered}
	for pool, n := range a.counts {
		c.counts[pool] = n
	}
	return c
}

// in returns the number of replicas in a failure domain.
func (a *allocation) in(domain string) int {
	return a.counts[Pool{Domain: domain}] + a.counts[Pool{Domain: domain, Spot: true}]
}

// total returns the number of all replicas.
func (a *allocation) total() int {
	n := 0
	for _, domain := range a.domains {
		n += a.in(domain)
	}
	return n
}

// regular returns the number of all regular replicas.
func (a *allocation) regular() int {
	n := 0
	for _, domain := range a.domains {
		n += a.counts[Pool{Domain: domain}]
	}
	return n
}

// afterLoss returns the number of replicas that are left when the failure domain with the
// most replicas is lost. With a single failure domain nothing can be kept for its loss.
func (a *allocation) afterLoss() int {
	if len(a.domains) == 1 {
		return a.total()
	}
	most := 0
	for _, domain := range a.domains {
		most = max(most, a.in(domain))
	}
	return a.total() - most
}

// price returns the price of a replica of a pool per second.
func (a *allocation) price(p Pool) float64 {
	if p.Spot {
		return a.limits.Prices[p.Domain] * a.limits.SpotPrice
	}
	return a.limits.Prices[p.Domain]
}

// cost returns the price of all replicas per second.
func (a *allocation) cost() float64 {
	sum := 0.0
	for pool, n := range a.counts {
		sum += a.price(pool) * float64(n)
	}
	return sum
}

// serves reports whether the allocation meets a need: that many regular replicas, as many
// after the loss of any one failure domain, and Min in each failure domain.
func (a *allocation) serves(need int) bool {
	for _, domain := range a.domains {
		if a.in(domain) < a.limits.Min {
			return false
		}
	}
	return a.regular() >= need && a.afterLoss() >= need
}

// room returns how many more replicas a pool may get. Max applies to both kinds together,
// also if replicas that are ordered don't run yet, or a late order raises their number.
func (a *allocation) room(p Pool) int {
	other := Pool{Domain: p.Domain, Spot: !p.Spot}
	return a.limits.Max - max(a.counts[p], a.ordered[p]) - max(a.counts[other], a.ordered[other])
}

// isOpen reports whether a pool may get one more replica.
func (a *allocation) isOpen(p Pool) bool {
	return !a.closed[p] && (!p.Spot || a.limits.HasSpot()) && a.room(p) > 0
}

// smallest returns the open failure domain of a kind for which size is least. Of equal ones
// it returns the cheapest, then the first by name.
func (a *allocation) smallest(open func(domain string) bool, size func(domain string) int) (string, bool) {
	best, found, bestSize, bestPrice := "", false, 0, math.Inf(1)
	for _, domain := range a.domains {
		if !open(domain) {
			continue
		}
		n, price := size(domain), a.limits.Prices[domain]
		if !found || n < bestSize || n == bestSize && price < bestPrice {
			best, found, bestSize, bestPrice = domain, true, n, price
		}
	}
	return best, found
}

// grow adds replicas until the allocation meets a need, or as far as its open pools allow.
// It spreads regular replicas evenly over the failure domains, because a reclaim or the loss
// of a failure domain then takes the least. What exceeds the need is of the spot kind.
func (a *allocation) grow(need int) {
	regularOpen := func(domain string) bool { return a.isOpen(Pool{Domain: domain}) }
	spotOpen := func(domain string) bool { return a.isOpen(Pool{Domain: domain, Spot: true}) }
	anyOpen := func(domain string) bool { return regularOpen(domain) || spotOpen(domain) }
	for a.regular() < need {
		domain, ok := a.smallest(regularOpen, func(d string) int { return a.counts[Pool{Domain: d}] })
		if !ok {
			break
		}
		a.counts[Pool{Domain: domain}]++
	}
	// Spot replicas replace regular ones only where these can't be had.
	for a.total() < need {
		domain, ok := a.smallest(anyOpen, a.in)
		if !ok {
			return
		}
		a.add(domain)
	}
	for _, domain := range a.domains {
		for a.in(domain) < a.limits.Min && anyOpen(domain) {
			if regularOpen(domain) {
				a.counts[Pool{Domain: domain}]++
			} else {
				a.add(domain)
			}
		}
	}
	for a.afterLoss() < need {
		domain, ok := a.smallest(anyOpen, a.in)
		if !ok || !a.reducesLoss(domain, anyOpen) {
			return
		}
		a.add(domain)
	}
}

// add adds a replica of the cheapest open kind in a failure domain.
func (a *allocation) add(domain string) {
	if spot := (Pool{Domain: domain, Spot: true}); a.isOpen(spot) && a.limits.SpotPrice < 1 {
		a.counts[spot]++
		return
	}
	if regular := (Pool{Domain: domain}); a.isOpen(regular) {
		a.counts[regular]++
		return
	}
	a.counts[Pool{Domain: domain, Spot: true}]++
}

// reducesLoss reports whether more replicas in a failure domain, and in the other open
// ones, leave more after the loss of the largest.
func (a *allocation) reducesLoss(domain string, open func(string) bool) bool {
	for _, other := range a.domains {
		if other != domain && (a.in(other) > a.in(domain) || a.in(other) == a.in(domain) && open(other)) {
			return true
		}
	}
	return false
}
