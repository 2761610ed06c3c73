package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/member"
	standinplatform "github.com/sapphirehatch/sapphirehatch/internal/standin/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/scorer"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/service"
)

const (
	loopback      = "127.0.0.1:0"
	model         = "draught-advice"
	enginePool    = "advice"
	servicePool   = "survey"
	scorerPool    = "score"
	engineCount   = 4
	serviceCount  = 2
	memberLag     = 200 * time.Millisecond
	readyTimeout  = 10 * time.Second
	engineVersion = 1
)

var failureDomains = []string{"aarhus", "odense", "copenhagen"}

// standin is the common interface of the stand-ins.
type standin interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Address() string
	Log() *control.ExecutionLog
}

// standinSet holds the stand-ins of a run.
type standinSet struct {
	platform standin
	engines  []standin
	services []standin
	start    func(name string, run duty.Func)
}

func serverConfig() control.Config { return control.Config{Listen: control.ListenTCP(loopback)} }

// launch starts a stand-in and waits until it is ready, at most readyTimeout.
func (e *standinSet) launch(ctx context.Context, name string, s standin) error {
	e.start(name, s.Run)
	select {
	case <-s.Ready():
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NotReady, "", "%s did not become ready", name)
	case <-time.After(readyTimeout):
		return failure.New(failure.NotReady, "", "%s did not become ready within %v", name, readyTimeout).WithLimit(readyTimeout.String())
	}
}

// startAll starts the platform, then the upstreams, which register with it.
func (e *standinSet) startAll(ctx context.Context) error {
	cfg := standinplatform.Default()
	cfg.Server = serverConfig()
	cfg.MemberLag = memberLag
	p, err := standinplatform.New(cfg)
	if err != nil {
		return err
	}
	e.platform = p
	if err := e.launch(ctx, "platform", p); err != nil {
		return err
	}
	if err := e.startEngines(ctx); err != nil {
		return err
	}
	return e.startServices(ctx)
}

func (e *standinSet) registration(kind platform.MemberKind, pool string, index int) member.Registration {
	return member.Registration{
		Platform: e.platform.Address(),
		Member: platform.Member{
			ID:            fmt.Sprintf("%s-%d", pool, index+1),
			Kind:          kind,
			Pool:          pool,
			FailureDomain: failureDomains[index%len(failureDomains)],
		},
	}
}

func (e *standinSet) startEngines(ctx context.Context) error {
	for i := range engineCount {
		cfg := engine.Default()
		cfg.Server = serverConfig()
		cfg.Registration = e.registration(platform.EngineMember, enginePool, i)
		cfg.Model = model
		cfg.Version = engineVersion
		s, err := engine.New(cfg)
		if err != nil {
			return err
		}
		e.engines = append(e.engines, s)
		if err := e.launch(ctx, cfg.Registration.Member.ID, s); err != nil {
			return err
		}
	}
	return nil
}

func (e *standinSet) startServices(ctx context.Context) error {
	for i := range serviceCount {
		cfg := service.Default()
		cfg.Server = serverConfig()
		cfg.Registration = e.registration(platform.ServiceMember, servicePool, i)
		s, err := service.New(cfg)
		if err != nil {
			return err
		}
		e.services = append(e.services, s)
		if err := e.launch(ctx, cfg.Registration.Member.ID, s); err != nil {
			return err
		}
	}
	s, err := scorer.New(scorer.Config{
		Server:       serverConfig(),
		Registration: e.registration(platform.ServiceMember, scorerPool, 0),
	})
	if err != nil {
		return err
	}
	return e.launch(ctx, scorerPool, s)
}

// runs returns the number of executions on all services, by idempotency key.
func (e *standinSet) runs() map[string]int {
	counts := map[string]int{}
	for _, s := range e.services {
		for _, entry := range s.Log().Entries(0) {
			if entry.Event == service.EventRun && entry.Key != "" {
				counts[entry.Key]++
			}
		}
	}
	return counts
}
