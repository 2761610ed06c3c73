package weights

import "time"

// averageWeight is the weight of the latest interval in the moving average.
const averageWeight = 0.3

// latenessDivisor is the reciprocal of the share of the interval by which a
// version may be late and still be expected.
const latenessDivisor = 8

// PublishRate is the rate at which new versions of a model are published.
type PublishRate struct {
	// Last is when this host learned of the newest version; zero if it knows none.
	Last time.Time
	// Interval is the moving average of the time between two versions; zero if not known yet.
	Interval time.Duration
}

// update returns the rate after this host learned of a number of new versions at
// now. The first version that a host learns of gives no interval.
func (r PublishRate) update(versions uint64, now time.Time) PublishRate {
	if r.Last.IsZero() {
		return PublishRate{Last: now}
	}
	observed := now.Sub(r.Last) / time.Duration(max(1, versions))
	if r.Interval == 0 {
		return PublishRate{Last: now, Interval: observed}
	}
	return PublishRate{Last: now, Interval: r.Interval + time.Duration(averageWeight*float64(observed-r.Interval))}
}

// Expected returns how many versions will be published between now and the time
// now+after, if the rate stays the same. It returns zero if the interval is not known.
func (r PublishRate) Expected(now time.Time, after time.Duration) uint64 {
	if r.Interval <= 0 {
		return 0
	}
	sinceLast := min(now.Sub(r.Last), r.Interval)
	return uint64(max(0, (sinceLast+after)/r.Interval))
}

// UntilNext returns how much longer the next version is worth waiting for: the time
// until it is due, or, if it is late by less than an eighth of the interval, the rest
// of that eighth. It returns zero if the version is later than that, or if the
// interval is not known.
func (r PublishRate) UntilNext(now time.Time) time.Duration {
	if r.Interval <= 0 {
		return 0
	}
	left := r.Interval - now.Sub(r.Last)
	if left > 0 {
		return left
	}
	return max(0, left+r.Interval/latenessDivisor)
}
