package weights

import "time"

// paceWeight is the weight of the last interval in the average.
const paceWeight = 0.3

// lateShare is the part of the interval, one in so many, by which a version may be late.
const lateShare = 8

// PublishRate says how often new versions are published.
type PublishRate struct {
	// Last is when this host learned of the newest version; zero if of none.
	Last time.Time
	// Interval is the average time between two versions; zero if not known yet.
	Interval time.Duration
}

// next returns the pace after a number of new versions was learned of at now.
// The first version a host learns of says nothing about an interval.
func (p PublishRate) next(versions uint64, now time.Time) PublishRate {
	if p.Last.IsZero() {
		return PublishRate{Last: now}
	}
	observed := now.Sub(p.Last) / time.Duration(max(1, versions))
	if p.Interval == 0 {
		return PublishRate{Last: now, Interval: observed}
	}
	return PublishRate{Last: now, Interval: p.Interval + time.Duration(paceWeight*float64(observed-p.Interval))}
}

// Expected returns the number of versions that will be published between now
// and a time after now, if the pace stays.
func (p PublishRate) Expected(now time.Time, after time.Duration) uint64 {
	if p.Interval <= 0 {
		return 0
	}
	sinceLast := min(now.Sub(p.Last), p.Interval)
	return uint64(max(0, (sinceLast+after)/p.Interval))
}

// UntilNext returns the time until the next version is expected. A version that
// is late by up to a share of the interval is still expected; zero means that
// it is later than that, or that nothing is known.
func (p PublishRate) UntilNext(now time.Time) time.Duration {
	if p.Interval <= 0 {
		return 0
	}
	left := p.Interval - now.Sub(p.Last)
	if left > 0 {
		return left
	}
	return max(0, left+p.Interval/lateShare)
}
