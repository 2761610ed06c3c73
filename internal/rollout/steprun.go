package rollout

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// groupState is the state of a group in the scheduler.
type groupState int

const (
	// groupIdle: the group is not to be generated, or not yet.
	groupIdle groupState = iota
	// groupGenerating: rollouts of the group are missing.
	groupGenerating
	// groupGenerated: all rollouts are generated; the group is being scored or waits to be
	// committed.
	groupGenerated
	// groupCommitted: the group is committed in the store.
	groupCommitted
)

// slot is the state of one rollout of a step.
type slot struct {
	// finished is the complete output, or nil.
	finished *output
	// prior is the output of interrupted attempts, which the next attempt continues.
	prior    output
	attempts []*attempt
	// failures counts the consecutive failures without progress.
	failures int
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// avoid lists the ids of engines that recently failed this rollout.
	avoid []string
}

// groupRun is the state of one group of a running step. Its prompt is a promptID.
type groupRun struct {
	state  groupState
	prompt uint64
	slots  []slot
	// stopScoring cancels the scoring of the group; nil if it was not started.
	stopScoring context.CancelFunc
}

// stepRun is the scheduler's state of one step. cfg and model are from the document in force when
// the scheduler first received a view of the step.
type stepRun struct {
	row    step
	cfg    deployment.Trainer
	model  string
	req    trainerapi.StepRequest
	groups []*groupRun
}

func newStepRun(view stepView, cfg deployment.Trainer, model string) *stepRun {
	s := &stepRun{row: view.step, cfg: cfg, model: model, req: *view.request}
	for _, g := range s.req.Groups {
		s.groups = append(s.groups, &groupRun{prompt: promptID(g), slots: make([]slot, s.req.GroupSize)})
	}
	return s
}

// seed returns the sampling seed of a rollout; it is the same for each attempt.
func (s *stepRun) seed(id slotID) int64 {
	name := s.row.Trainer + "/" + strconv.FormatUint(s.row.Step, 10) + "/" + strconv.Itoa(id.group) + "/" + strconv.Itoa(id.index)
	return int64(xxhash.Sum64String(name) >> 1)
}

// slot returns the state of one rollout.
func (s *stepRun) slot(id slotID) *slot { return &s.groups[id.group].slots[id.index] }

// update applies the stored state of the step, and returns the running attempts that are no
// longer needed.
func (s *stepRun) update(view stepView, policy Policy) []*attempt {
	s.row = view.step
	var obsolete []*attempt
	started := groupsToStart(s.cfg, policy, s.row.stepRow)
	for i, g := range s.groups {
		_, committed := view.committed[i]
		switch {
		case committed || !needsRollouts(s.row.stepRow):
			obsolete = append(obsolete, g.reset()...)
			g.state = groupIdle
			if committed {
				g.state = groupCommitted
			}
		case g.state == groupCommitted, g.state == groupIdle && i < started:
			obsolete = append(obsolete, g.reset()...)
			g.state = groupGenerating
		}
	}
	for _, i := range view.discarded {
		if g := s.groups[i]; g.state == groupGenerated {
			obsolete = append(obsolete, g.reset()...)
			g.state = groupGenerating
		}
	}
	return obsolete
}

// reset drops a group's rollouts and returns the attempts that are still running.
func (g *groupRun) reset() []*attempt {
	var running []*attempt
	for i := range g.slots {
		running = append(running, g.slots[i].attempts...)
		g.slots[i] = slot{}
	}
	if g.stopScoring != nil {
		g.stopScoring()
		g.stopScoring = nil
	}
	return running
}

// complete reports whether all rollouts of a group are finished.
func (g *groupRun) complete() bool {
	for i := range g.slots {
		if g.slots[i].finished == nil {
			return false
		}
	}
	return true
}
