// Package duty runs the long-lived goroutines of a process: one goroutine a
// duty, started together and stopped in stages.
package duty

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
)

// Stage orders the stop of duties. A lower stage is stopped, and waited for, first.
type Stage int

// Stages of a stop.
const (
	// StageIntake duties accept work from callers and trainers.
	StageIntake Stage = iota
	// StageControl duties reconcile state and hold leases.
	StageControl
	// StageExchange duties connect the process with peers and the platform.
	StageExchange
	stages
)

// Func is a duty. It returns when ctx ends; an earlier error stops the process.
type Func func(ctx context.Context) error

type member struct {
	name  string
	stage Stage
	run   Func
}

// Group is a set of duties.
type Group struct {
	log     logr.Logger
	members []member
}

// NewGroup returns an empty group.
func NewGroup(log logr.Logger) *Group { return &Group{log: log} }

// Add registers a duty; call it before Run.
func (g *Group) Add(name string, stage Stage, run Func) {
	g.members = append(g.members, member{name: name, stage: stage, run: run})
}

// Run starts all duties and waits until ctx ends or a duty fails. Then it stops
// the stages in order and returns the first failure.
func (g *Group) Run(ctx context.Context) error {
	failed := make(chan error, len(g.members))
	var cancels [stages]context.CancelFunc
	var waits [stages]sync.WaitGroup
	for stage := range cancels {
		stageCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		cancels[stage] = cancel
		for _, m := range g.members {
			if int(m.stage) == stage {
				waits[stage].Go(func() { g.runMember(stageCtx, m, failed) })
			}
		}
	}
	var first error
	select {
	case <-ctx.Done():
	case first = <-failed:
	}
	for stage := range cancels {
		cancels[stage]()
		waits[stage].Wait()
	}
	return first
}

func (g *Group) runMember(ctx context.Context, m member, failed chan<- error) {
	err := m.run(ctx)
	if ctx.Err() != nil {
		return
	}
	g.log.Error(err, "duty ended early", "duty", m.name)
	failed <- merry.Wrap(err, merry.PrependMessage(m.name))
}
