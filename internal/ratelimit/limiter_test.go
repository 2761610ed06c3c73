package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// What an upstream may get: one and a half times its limit and five requests more, in any
// window, from stableWindow on.
const (
	window       = 4 * time.Second
	stableWindow = 3 * time.Second
	// tick is the interval at which a host tries its waiting requests.
	tick = 25 * time.Millisecond
	// shareTicks is the number of ticks after which a host computes its share again.
	shareTicks = 4
	playLength = 30 * time.Second
	// lag is the age of the demand that hosts know of each other.
	lag = time.Second
)

func allowed(limit float64) int { return int(1.5*limit*window.Seconds()) + 5 }

// fleetPlay is a play of hosts that send requests to one upstream.
type fleetPlay struct {
	random *rand.Rand
	limit  float64
	// demand returns the wanted requests a second of a host.
	demand func(host int, now time.Duration) float64
	// restart returns whether a host restarts at a moment.
	restart func(host int, now time.Duration) bool
	hosts   int
	length  time.Duration
}

// play returns when hosts that had been told of the limit sent requests, how many others
// sent before, and how many were wanted.
func (p fleetPlay) play() (sent []time.Duration, untold, wanted int) {
	start := time.Unix(0, 0)
	limiters := make([]*Limiter, p.hosts)
	waiting, shares := make([]int, p.hosts), make([]Share, p.hosts)
	var known []map[string]float64
	for now := time.Duration(0); now < p.length; now += tick {
		demand := map[string]float64{}
		for h := range p.hosts {
			demand[fmt.Sprint(h)] = p.demand(h, now) + float64(waiting[h])
		}
		known = append(known, demand)
		old := known[max(0, len(known)-1-int(lag/tick))]
		for h := range p.hosts {
			if p.restart != nil && p.restart(h, now) {
				limiters[h], waiting[h] = nil, 0
			}
			for d := p.demand(h, now) * tick.Seconds(); p.random.Float64() < d; d-- {
				waiting[h]++
				wanted++
			}
			if waiting[h] == 0 {
				continue
			}
			at := start.Add(now)
			if len(known)%shareTicks == h%shareTicks || limiters[h] == nil {
				shares[h] = ShareOf(fmt.Sprint(h), "upstream", old)
			}
			share := shares[h]
			if limiters[h] == nil {
				// The answer to its first request tells a host.
				waiting[h]--
				untold++
				limiters[h] = New(p.limit, share, p.random.Float64(), at)
				continue
			}
			limiters[h].Update(p.limit, share, at)
			for waiting[h] > 0 && limiters[h].ReadyIn(at) == 0 {
				limiters[h].Take(at)
				waiting[h]--
				sent = append(sent, now)
			}
			// Most that can't be sent now are sent elsewhere or refused.
			waiting[h] = min(waiting[h], 20)
		}
	}
	return sent, untold, wanted
}

// most returns the most requests in a window that begins from on.
func most(sent []time.Duration, from time.Duration) int {
	best := 0
	for i, start := range sent {
		if start < from {
			continue
		}
		n := 0
		for n < len(sent)-i && sent[i+n] < start+window {
			n++
		}
		best = max(best, n)
	}
	return best
}

// The limit holds over all hosts, whoever sends: a few hosts in bursts, all at once after
// a quiet time, and hosts that are restarted. What the demand lets be used is used.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	for _, limit := range []float64{0.5, 3.2, 8, 40} {
		for _, hosts := range []int{1, 12, 195} {
			steady := func(total float64) func(int, time.Duration) float64 {
				return func(int, time.Duration) float64 { return total / float64(hosts) }
			}
			for name, demand := range map[string]func(int, time.Duration) float64{
				"steady, twice the limit": steady(2 * limit),
				"steady, ten times":       steady(10 * limit),
				"steady, half":            steady(limit / 2),
				"one host has most of it": func(h int, _ time.Duration) float64 {
					return []float64{0.1 * limit / float64(hosts), 3 * limit}[oneIf(h == 0)]
				},
				"bursts move": func(h int, now time.Duration) float64 {
					return 4 * limit * float64(oneIf(h == int(now.Seconds()/5)%hosts))
				},
				"all at once, after quiet": func(_ int, now time.Duration) float64 {
					return 20 * limit / float64(hosts) * float64(oneIf(int(now.Seconds())%10 >= 8))
				},
			} {
				t.Run(fmt.Sprintf("%v a second, %d hosts, %s", limit, hosts, name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(2) {
						random := rand.New(rand.NewPCG(seed, 7))
						restarts := func(int, time.Duration) bool { return seed > 0 && random.Float64() < 0.0005 }
						play := fleetPlay{random: random, limit: limit, demand: demand, restart: restarts, hosts: hosts, length: playLength}
						sent, untold, wanted := play.play()
						if n := most(sent, stableWindow); n > allowed(limit) {
							t.Errorf("seed %d: %d requests in %s, allowed %d", seed, n, window, allowed(limit))
						}
						if least := 0.6 * min(float64(wanted), limit*playLength.Seconds()); float64(len(sent)+untold) < least && name[:6] == "steady" {
							t.Errorf("seed %d: %d requests sent, %d wanted, want at least %.0f", seed, len(sent), wanted, least)
						}
					}
				})
			}
		}
	}
}

// oneIf returns 1 if a condition holds, else 0.
func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestShares(t *testing.T) {
	demand := map[string]float64{"a": 30, "b": 1, "c": 0}
	total := 0.0
	ranks := map[int]bool{}
	for host := range demand {
		s := ShareOf(host, "u", demand)
		total += s.Fraction
		ranks[s.Rank] = true
	}
	if total < 0.999 || total > 1.001 || len(ranks) != 3 {
		t.Errorf("shares add up to %v, ranks %v", total, ranks)
	}
	if s := ShareOf("a", "u", demand); s.Fraction < 0.8 {
		t.Errorf("the host with most of the demand has %v", s.Fraction)
	}
	if s := ShareOf("new", "u", demand); s.Fraction <= 0 || s.Fraction > 0.1 {
		t.Errorf("a host that the others don't know has %v", s.Fraction)
	}
	if s := ShareOf("alone", "u", nil); s.Fraction != 1 {
		t.Errorf("the only host has %v", s.Fraction)
	}
}
