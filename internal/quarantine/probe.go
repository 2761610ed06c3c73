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
	// probes and probeInterval bound how long an upstream whose connection broke is watched for a crash.
	probes        = 3
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds one look.
	probeTimeout = 200 * time.Millisecond
	// verdictAge is how long a verdict on a process serves other requests that broke with it.
	verdictAge = time.Second
)

// Prober tells a crash of an upstream from a connection that broke for another reason.
type Prober struct {
	dial    upstream.DialFunc
	engines upstream.Engine
	view    membership.View

	mu       sync.Mutex
	verdicts map[string]*verdict
}

// verdict is the shared result of probing one process.
type verdict struct {
	done    chan struct{}
	crashed bool
	at      time.Time
}

// NewProber returns a Prober that dials with dial.
func NewProber(dial upstream.DialFunc, engines upstream.Engine, view membership.View) *Prober {
	return &Prober{dial: dial, engines: engines, view: view, verdicts: make(map[string]*verdict)}
}

// Crashed reports whether the process behind an upstream has ended: nobody
// listens at its address any more, or another incarnation does.
func (p *Prober) Crashed(ctx context.Context, u membership.Upstream) bool {
	process := crashOf(u, false).Process
	p.mu.Lock()
	v, ok := p.verdicts[process]
	if !ok || (!v.at.IsZero() && time.Since(v.at) > verdictAge) {
		v = &verdict{done: make(chan struct{})}
		p.verdicts[process] = v
		go p.judge(context.WithoutCancel(ctx), process, u, v)
	}
	p.mu.Unlock()
	select {
	case <-v.done:
		return v.crashed
	case <-ctx.Done():
		return false
	}
}

func (p *Prober) judge(ctx context.Context, process string, u membership.Upstream, v *verdict) {
	for i := range probes {
		if i > 0 {
			time.Sleep(probeInterval)
		}
		if p.gone(ctx, u) {
			v.crashed = true
			break
		}
	}
	p.mu.Lock()
	v.at = time.Now()
	for other, old := range p.verdicts {
		if other != process && !old.at.IsZero() && time.Since(old.at) > verdictAge {
			delete(p.verdicts, other)
		}
	}
	p.mu.Unlock()
	close(v.done)
}

// gone takes one look.
func (p *Prober) gone(ctx context.Context, u membership.Upstream) bool {
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
