package rollout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// scheduleInterval is the time between two checks of the running attempts.
const scheduleInterval = 50 * time.Millisecond

// jobRunner runs jobs, on this host or on others.
type jobRunner interface {
	run(ctx context.Context, j job, p *progress) outcome
}

// scheduler generates the rollouts of one trainer's steps. Its state is accessed only by the
// goroutine of run. inFlight is the number of running attempts, and hedges the number of those
// that are hedges.
type scheduler struct {
	log        logr.Logger
	trainer    string
	docs       deployment.Source
	runner     jobRunner
	scorer     *scorer
	reconciler *reconciler
	fairShare  *fairShare
	policy     Policy
	versions   versionView
	meters     *metrics.Set

	steps      map[uint64]*stepRun
	lengths    *lengthEstimator
	speeds     *speedEstimator
	inFlight   int
	hedges     int
	results    chan attemptResult
	scored     chan scoredGroup
	goroutines sync.WaitGroup
}

// run schedules rollouts until ctx ends, then waits for the goroutines it started.
func (sc *scheduler) run(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	defer sc.goroutines.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-sc.reconciler.views.Items():
			sc.applyView(view)
		case result := <-sc.results:
			sc.handleResult(ctx, result)
		case group := <-sc.scored:
			sc.handleScored(group)
		case <-ticker.C:
			sc.cancelStaleAttempts()
		}
		sc.startAttempts(ctx)
	}
}

// applyView updates a step to its stored state and cancels the attempts that this makes
// obsolete.
func (sc *scheduler) applyView(view stepView) {
	n := view.step.Step
	s, known := sc.steps[n]
	if !known {
		doc := sc.docs.Current()
		if view.ended || doc == nil {
			return
		}
		cfg := doc.Trainers[sc.trainer]
		s = newStepRun(view, cfg, doc.EnginePools[cfg.EnginePool].Model)
		sc.steps[n] = s
	}
	if view.ended {
		view.committed = nil
		delete(sc.steps, n)
	}
	for _, a := range s.update(view, sc.policy) {
		a.cancel()
	}
}

// handleResult records the result of an attempt. It discards a complete output that is stale.
// Otherwise it cancels the other attempts of a finished rollout, and starts scoring once its
// group is complete.
func (sc *scheduler) handleResult(ctx context.Context, result attemptResult) {
	a := result.attempt
	sc.inFlight--
	if a.hedge {
		sc.hedges--
	}
	sl := a.step.slot(a.id)
	position := slices.Index(sl.attempts, a)
	if position < 0 {
		return
	}
	sl.attempts = slices.Delete(sl.attempts, position, position+1)
	if result.err != nil && result.output.Tokens >= a.step.row.MaxTokens {
		// All tokens were received; only the engine's final chunk is missing.
		result.output.Finish = engineapi.FinishLength
		result.err = nil
	}
	if result.err != nil {
		sc.handleFailure(a, sl, result)
		return
	}
	speed, _ := a.speed(time.Now())
	sc.speeds.observe(result.output.Engine, speed)
	if sc.stale(a.step.cfg, result.output) {
		trainerCounter(sc.meters, "discarded_rollouts_total", sc.trainer).Inc()
		sl.prior = output{}
		return
	}
	group := a.step.groups[a.id.group]
	sc.lengths.observe(group.prompt, result.output.Tokens)
	complete := result.output
	sl.finished = &complete
	for _, other := range sl.attempts {
		other.cancel()
	}
	sl.attempts = nil
	if group.complete() {
		sc.startScoring(ctx, a.step, a.id.group)
	}
}

// handleFailure schedules a retry. The retry continues the attempt's output if policy.Resume is
// set, the output is not stale, and it is longer than the slot's prior output. Without
// policy.Resume, or if the output is stale, the prior output is dropped, too.
func (sc *scheduler) handleFailure(a *attempt, sl *slot, result attemptResult) {
	sl.failures++
	sl.notBefore = time.Now().Add(backoff(sl.failures))
	if engineID := a.progress.snapshot().EngineID; engineID != "" {
		sl.avoid = append(sl.avoid, engineID)
		sl.avoid = sl.avoid[max(0, len(sl.avoid)-maxAvoidedEngines):]
	}
	keep := sc.policy.Resume && !sc.stale(a.step.cfg, result.output)
	switch {
	case !keep:
		sl.prior = output{}
	case result.output.Tokens > sl.prior.Tokens:
		sl.prior = result.output
		sl.failures = 0
	}
	sc.log.V(1).Info("rollout attempt failed", "step", a.step.row.Step, "group", a.id.group, "index", a.id.index,
		"tokens", result.output.Tokens, "reason", result.err.Error())
}

func backoff(failures int) time.Duration {
	return pause.Backoff(minBackoff, maxBackoff, failures)
}

// stale reports whether an output exceeds the trainer's staleness bound, by the newest version
// that this host knows.
func (sc *scheduler) stale(cfg deployment.Trainer, p output) bool {
	oldest, ok := p.oldest()
	return ok && age(sc.versions.Newest(cfg.EnginePool), oldest) > cfg.StalenessBound
}

// cancelStaleAttempts cancels the attempts whose output exceeds the staleness bound, and drops
// such prior output. It also records the lengths that running attempts have reached.
func (sc *scheduler) cancelStaleAttempts() {
	for _, s := range sc.steps {
		newest := sc.versions.Newest(s.cfg.EnginePool)
		for _, group := range s.groups {
			for i := range group.slots {
				sc.dropStaleOutput(s.cfg, &group.slots[i], newest)
				sc.observeLength(group.prompt, &group.slots[i])
			}
		}
	}
}

// dropStaleOutput drops a slot's prior output and cancels its attempts if they are stale.
func (sc *scheduler) dropStaleOutput(cfg deployment.Trainer, sl *slot, newest uint64) {
	if oldest, ok := sl.prior.oldest(); ok && age(newest, oldest) > cfg.StalenessBound {
		sl.prior = output{}
	}
	for _, a := range sl.attempts {
		if oldest, ok := a.oldest(); ok && age(newest, oldest) > cfg.StalenessBound {
			a.cancel()
		}
	}
}

// observeLength records the lengths that running attempts have already reached.
func (sc *scheduler) observeLength(prompt uint64, sl *slot) {
	for _, a := range sl.attempts {
		sc.lengths.observeMinimum(prompt, a.prior.Tokens+a.progress.snapshot().Tokens)
	}
}

// startAttempts starts attempts while the trainer's share allows it, and hedges once no rollout
// is waiting. It starts none while finished groups exceed maxBufferedBytes.
func (sc *scheduler) startAttempts(ctx context.Context) {
	if sc.reconciler.bufferedBytes.Load() > maxBufferedBytes {
		return
	}
	steps := sc.runningSteps()
	waiting := candidates(steps, sc.lengths, sc.policy, time.Now())
	allowed := sc.fairShare.allowed(sc.trainer, sc.inFlight, len(waiting))
	for _, c := range waiting {
		if sc.inFlight >= allowed {
			return
		}
		sc.startCandidate(ctx, c)
	}
	if sc.policy.Hedge && len(waiting) == 0 {
		sc.startHedges(ctx, steps, allowed)
	}
}

// startCandidate starts a rollout, unless shouldWait reports that it is better to wait for the
// next version. A prior output that would exceed the staleness bound at the rollout's expected
// end is dropped; one that is kept is continued without a wait.
func (sc *scheduler) startCandidate(ctx context.Context, c candidate) {
	cfg := c.step.cfg
	sl := c.step.slot(c.id)
	f := forecast{now: time.Now(), newest: sc.versions.Newest(cfg.EnginePool), rate: sc.versions.PublishRate(cfg.EnginePool)}
	if oldest, ok := sl.prior.oldest(); ok && !f.freshAfter(oldest, sc.speeds.expectedDuration(c.remaining), cfg.StalenessBound) {
		sl.prior = output{}
	}
	if sl.prior.Tokens == 0 && shouldWait(cfg, f, sc.speeds.expectedDuration(c.expected)) {
		return
	}
	sc.startAttempt(ctx, c.step.newAttempt(c.id, sl.prior, c.expected, slices.Clone(sl.avoid)))
}

func (sc *scheduler) runningSteps() []*stepRun {
	steps := make([]*stepRun, 0, len(sc.steps))
	for _, s := range sc.steps {
		if needsRollouts(s.row.stepRow) {
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *stepRun) int { return cmp.Compare(a.row.Step, b.row.Step) })
	return steps
}

// startAttempt runs an attempt in a new goroutine.
func (sc *scheduler) startAttempt(ctx context.Context, a *attempt) {
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	a.job.Takes = sc.speeds.expectedDuration(a.job.Expected)
	sl := a.step.slot(a.id)
	sl.attempts = append(sl.attempts, a)
	sc.inFlight++
	if a.hedge {
		sc.hedges++
	}
	sc.goroutines.Go(func() {
		defer cancel()
		end := sc.runner.run(attemptCtx, a.job, a.progress)
		result := attemptResult{attempt: a, output: a.prior.extend(end.Generation, end.EngineID)}
		if end.Err != nil {
			result.err = end.Err
		}
		select {
		case sc.results <- result:
		case <-ctx.Done():
		}
	})
}
