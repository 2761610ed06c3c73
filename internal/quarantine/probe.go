package quarantine

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

const (
	// maxProbes is how often an upstream whose connection broke is probed at most,
	// with probeInterval between the probes. The first that detects a crash is the last.
	maxProbes     = 3
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 200 * time.Millisecond
	// resultTTL is how long a result is reused for other requests that failed on the same process.
	resultTTL = time.Second
)

// Prober distinguishes the crash of an upstream from a connection that broke
// for another reason.
type Prober struct {
	dial    upstream.DialFunc
	engines upstream.Engine
	view    membership.View

	mu      sync.Mutex
	results map[string]*probeResult // keyed by Crash.Process
}

// probeResult is the shared result of probing one process.
type probeResult struct {
	// done is closed when crashed is set.
	done       chan struct{}
	crashed    bool
	finishedAt time.Time // zero while the probes run
}

// NewProber returns a Prober that dials upstreams with dial, asks engines for
// their status and compares incarnations with the membership list in view.
func NewProber(dial upstream.DialFunc, engines upstream.Engine, view membership.View) *Prober {
	return &Prober{dial: dial, engines: engines, view: view, results: make(map[string]*probeResult)}
}

// Crashed reports whether the process behind an upstream has ended: its address
// refuses connections, or another incarnation has replaced it. It returns false if
// ctx ends before this is known.
func (p *Prober) Crashed(ctx context.Context, u membership.Upstream) bool {
	process := crashOf(u, false).Process
	p.mu.Lock()
	v, ok := p.results[process]
	if !ok || (!v.finishedAt.IsZero() && time.Since(v.finishedAt) > resultTTL) {
		v = &probeResult{done: make(chan struct{})}
		p.results[process] = v
		go p.probe(context.WithoutCancel(ctx), process, u, v)
	}
	p.mu.Unlock()
	select {
	case <-v.done:
		return v.crashed
	case <-ctx.Done():
		return false
	}
}

func (p *Prober) probe(ctx context.Context, process string, u membership.Upstream, v *probeResult) {
	for i := range maxProbes {
		if i > 0 {
			time.Sleep(probeInterval)
		}
		if p.processGone(ctx, u) {
			v.crashed = true
			break
		}
	}
	p.mu.Lock()
	v.finishedAt = time.Now()
	for other, old := range p.results {
		if other != process && !old.finishedAt.IsZero() && time.Since(old.finishedAt) > resultTTL {
			delete(p.results, other)
		}
	}
	p.mu.Unlock()
	close(v.done)
}

// processGone probes an upstream once.
func (p *Prober) processGone(ctx context.Context, u membership.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, u.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	if u.Incarnation == "" {
		return false
	}
	if listed, ok := lo.Find(p.view.Upstreams(u.Pool), func(x membership.Upstream) bool { return x.ID == u.ID }); ok && listed.Incarnation != "" && listed.Incarnation != u.Incarnation {
		return true
	}
	if u.Kind != platform.EngineMember {
		return false
	}
	status, err := p.engines.Status(ctx, u)
	return err == nil && status.Incarnation != "" && status.Incarnation != u.Incarnation
}
