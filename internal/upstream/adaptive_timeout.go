package upstream

import "time"

const (
	// slowestTTL is how long the slowest answer of an upstream is remembered.
	slowestTTL = 30 * time.Second
	// progressTimeoutFactor is the progress timeout on reused connections to an
	// upstream, as a multiple of the latency of its slowest recent answer.
	progressTimeoutFactor = 8
	// minProgressTimeout is the shortest such timeout.
	minProgressTimeout = 500 * time.Millisecond
)

// slowestAnswer is the latency of the slowest recent answer of an upstream.
type slowestAnswer struct {
	took time.Duration
	at   time.Time
}

// recordLatency records the latency of an answer.
func (p *pool) recordLatency(address string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := p.slowest[address]
	if slowest == nil {
		slowest = &slowestAnswer{}
		p.slowest[address] = slowest
	}
	if took >= slowest.took || time.Since(slowest.at) > slowestTTL {
		slowest.took, slowest.at = took, time.Now()
	}
}

// reuseProgressTimeout returns the progress timeout on reused connections to an
// upstream. Only requests that may be repeated use them, so a timeout that is
// too short costs a retry and not an unknown outcome.
func (p *pool) reuseProgressTimeout(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := p.slowest[address]
	if slowest == nil || time.Since(slowest.at) > slowestTTL {
		return p.timing.ProgressTimeout
	}
	return min(p.timing.ProgressTimeout, max(minProgressTimeout, progressTimeoutFactor*slowest.took))
}
