package demo

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
)

// stopPhase is the phase of the shutdown in which a process is stopped.
type stopPhase int

const (
	stopWithHosts stopPhase = iota
	stopAfterHosts
	stopPhases
)

// processSet runs hosts and stand-ins as goroutines and stops them phase by phase:
// hosts first, then the stand-ins that they depend on.
type processSet struct {
	log      logr.Logger
	contexts [stopPhases]context.Context
	cancels  [stopPhases]context.CancelFunc
	waits    [stopPhases]sync.WaitGroup
}

func newProcessSet(ctx context.Context, log logr.Logger) *processSet {
	p := &processSet{log: log}
	for phase := range p.contexts {
		p.contexts[phase], p.cancels[phase] = context.WithCancel(context.WithoutCancel(ctx))
	}
	return p
}

// start runs a process in a goroutine. An error is only logged; the checks of the
// run detect its effects.
func (p *processSet) start(name string, phase stopPhase, run duty.Func) {
	p.waits[phase].Go(func() {
		if err := run(p.contexts[phase]); err != nil {
			p.log.Error(err, "process failed", "process", name)
		}
	})
}

func (p *processSet) stop() {
	for phase := range p.cancels {
		p.cancels[phase]()
		p.waits[phase].Wait()
	}
}
