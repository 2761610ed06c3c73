package ratelimit

import (
	"math"
	"time"
)

const (
	// burstTime and burstRequests bound the requests that all hosts together may send
	// at once: what the upstream takes in burstTime, and burstRequests more.
	burstTime     = 2 * time.Second
	burstRequests = 5
	// keptPart is the part of it that gives hosts whose share is less than one request
	// the right to keep one until they need it. The rest is shared like the rate.
	keptPart = 0.25
	// slotWindow is how long a host that may keep no request can send one after it was
	// due. It is longer than the interval at which waiting requests are tried.
	slotWindow = 50 * time.Millisecond
	// minRate is the lowest rate that is applied, in requests per second, so that a host
	// learns of the end of a limit.
	minRate = 0.05
)

// Limiter is a host's bucket for one upstream. It is not safe for concurrent use.
type Limiter struct {
	// limit is the rate that the upstream names for all hosts, in requests per second.
	limit float64
	// rate and burst are this host's part.
	rate, burst float64
	// tokens is the number of requests that may be sent, as of at.
	tokens float64
	at     time.Time
}

// New returns the bucket of a host that has just learned of a limit, in requests per
// second for all hosts. phase is a random number from 0 to 1: hosts that learn at the same
// moment would otherwise send at the same moments.
func New(limit float64, share Share, phase float64, now time.Time) *Limiter {
	l := &Limiter{tokens: phase, at: now}
	l.Update(limit, share, now)
	return l
}

// Update sets the limit and this host's share of it.
func (l *Limiter) Update(limit float64, share Share, now time.Time) {
	if l.rate > 0 {
		l.advance(now)
	}
	l.limit = limit
	l.rate = max(minRate, limit) * share.Fraction
	burst := limit*burstTime.Seconds() + burstRequests
	l.burst = (1 - keptPart) * burst * share.Fraction
	if float64(share.Rank) < math.Floor(keptPart*burst) {
		l.burst = max(1, l.burst)
	}
}

// Limit returns the rate that the upstream named.
func (l *Limiter) Limit() float64 { return l.limit }

// advance adds the tokens since the last call.
func (l *Limiter) advance(now time.Time) {
	if now.After(l.at) {
		l.tokens += l.rate * now.Sub(l.at).Seconds()
		l.at = now
	}
	if l.burst >= 1 {
		l.tokens = min(l.tokens, l.burst)
		return
	}
	// A request that was not sent in its slot has to wait for the next one.
	if late := (l.tokens-1)/l.rate - slotWindow.Seconds(); late > 0 {
		l.tokens -= math.Ceil(late * l.rate)
	}
}

// ReadyIn returns when a request may be sent; zero for now.
func (l *Limiter) ReadyIn(now time.Time) time.Duration {
	l.advance(now)
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / l.rate * float64(time.Second))
}

// Take counts a request that is sent.
func (l *Limiter) Take(now time.Time) {
	l.advance(now)
	l.tokens--
}
