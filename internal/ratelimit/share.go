package ratelimit

import "github.com/cespare/xxhash/v2"

// evenPart is the part of the rate that is shared evenly by all hosts, so that a host
// whose demand is not known yet can send some requests.
const evenPart = 0.2

// Share is a host's part of the rate of an upstream.
type Share struct {
	// Fraction is 0 to 1.
	Fraction float64
	// Rank is the host's place, from 0, in an order of the hosts that differs from one
	// upstream to the next.
	Rank int
}

// ShareOf returns the share of a host. demand holds the announced demand of each host,
// in any unit; zero for those that announce none. All hosts must use the same figures, so
// that the fractions add up to 1: what a host knows of itself alone does not count.
func ShareOf(host, upstream string, demand map[string]float64) Share {
	total, others, rank := 0.0, 0, 0
	own := rankHash(host, upstream)
	for other, d := range demand {
		total += d
		if other == host {
			continue
		}
		others++
		if h := rankHash(other, upstream); h < own || h == own && other < host {
			rank++
		}
	}
	hosts := float64(others + 1)
	if total <= 0 {
		return Share{Fraction: 1 / hosts, Rank: rank}
	}
	return Share{Fraction: evenPart/hosts + (1-evenPart)*demand[host]/total, Rank: rank}
}

func rankHash(host, upstream string) uint64 { return xxhash.Sum64String(upstream + "/" + host) }
