// Package duty runs the long-lived goroutines of a process, called duties. They
// start together and stop in stages.
package duty

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
)

// Stage determines when a duty is stopped: the duties of a lower stage have ended
// before those of the next one are stopped.
type Stage int

// Stages, in the order in which they are stopped.
const (
	// StageIntake is for duties that accept work from callers and trainers.
	StageIntake Stage = iota
	// StageControl is for duties that reconcile state and hold leases.
	StageControl
	// StageExchange is for duties that communicate with peers and the platform.
	StageExchange
	stages
)

// Func runs a duty until ctx ends. If it returns earlier, even without an error,
// Group.Run stops all duties.
type Func func(ctx context.Context) error

type member struct {
	name  string
	stage Stage
	run   Func
}

// Group is a set of duties that start and stop together.
type Group struct {
	log     logr.Logger
	members []member
}

// NewGroup returns an empty group.
func NewGroup(log logr.Logger) *Group { return &Group{log: log} }

// Add registers a duty under a name used in logs and errors. Call it before Run.
func (g *Group) Add(name string, stage Stage, run Func) {
	g.members = append(g.members, member{name: name, stage: stage, run: run})
}

// Run starts all duties and waits until ctx ends or a duty returns early. Then it
// stops the stages in order, waits for all duties to end and returns the error of
// the first duty that returned early.
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
