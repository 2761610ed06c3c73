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
	engines       = 4
	services      = 2
	memberLag     = 200 * time.Millisecond
	readyTimeout  = 10 * time.Second
	engineVersion = 1
)

var failureDomains = []string{"aarhus", "odense", "copenhagen"}

// standin is what all stand-ins have in common.
type standin interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Address() string
	Log() *control.ExecutionLog
}

// emulator is the set of stand-ins of a run.
type emulator struct {
	platform standin
	engines  []standin
	services []standin
	start    func(name string, run duty.Func)
}

func serverConfig() control.Config { return control.Config{Listen: control.ListenTCP(loopback)} }

// launch starts a stand-in and waits until it listens.
func (e *emulator) launch(ctx context.Context, name string, s standin) error {
	e.start(name, s.Run)
	select {
	case <-s.Ready():
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NotReady, "", "%s did not start", name)
	case <-time.After(readyTimeout):
		return failure.New(failure.NotReady, "", "%s did not start", name).WithLimit(readyTimeout.String())
	}
}

// startAll starts the platform first, then the upstreams, which register with it.
func (e *emulator) startAll(ctx context.Context) error {
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

func (e *emulator) registration(kind platform.MemberKind, pool string, index int) member.Registration {
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

func (e *emulator) startEngines(ctx context.Context) error {
	for i := range engines {
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

func (e *emulator) startServices(ctx context.Context) error {
	for i := range services {
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

// runs counts the executions of each idempotency key over all services.
func (e *emulator) runs() map[string]int {
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
