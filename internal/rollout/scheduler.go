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

// scheduleInterval is the time between two looks at the running attempts.
const scheduleInterval = 50 * time.Millisecond

// generator runs jobs, here or on other hosts.
type generator interface {
	run(ctx context.Context, j job, p *progress) outcome
}

// scheduler generates the rollouts of one trainer's steps. All its state
// belongs to the goroutine of run.
type scheduler struct {
	log      logr.Logger
	trainer  string
	docs     deployment.Source
	runner   generator
	scorer   *scorer
	keeper   *keeper
	share    *share
	policy   Policy
	versions versionView
	meters   *metrics.Set

	steps    map[uint64]*stepRun
	lengths  *lengths
	speeds   *speeds
	inFlight int
	hedges   int
	results  chan attemptResult
	scored   chan scoredGroup
	work     sync.WaitGroup
}

// run schedules until ctx ends, then waits for the attempts it started.
func (sc *scheduler) run(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	defer sc.work.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-sc.keeper.views.Items():
			sc.takeView(view)
		case result := <-sc.results:
			sc.takeResult(ctx, result)
		case group := <-sc.scored:
			sc.takeScored(group)
		case <-ticker.C:
			sc.dropStaleAttempts()
		}
		sc.fill(ctx)
	}
}

// takeView takes over what the store holds of a step.
func (sc *scheduler) takeView(view stepView) {
	n := view.step.Step
	s, known := sc.steps[n]
	if !known {
		doc := sc.docs.Current()
		if view.ended || doc == nil {
			return
		}
		cfg := doc.Trainers[sc.trainer]
		s = newStepRun(view, cfg, doc.Engines[cfg.Engines].Model)
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

// takeResult records how an attempt ended.
func (sc *scheduler) takeResult(ctx context.Context, result attemptResult) {
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
	if result.err != nil && result.part.Tokens >= a.step.st.MaxTokens {
		// Only the engine's word that it had finished is missing.
		result.part.Finish = engineapi.FinishLength
		result.err = nil
	}
	if result.err != nil {
		sc.takeFailure(a, sl, result)
		return
	}
	speed, _ := a.speed(time.Now())
	sc.speeds.observe(result.part.Engine, speed)
	if sc.stale(a.step.cfg, result.part) {
		trainerCounter(sc.meters, "discarded_rollouts_total", sc.trainer).Inc()
		sl.prior = part{}
		return
	}
	group := a.step.groups[a.id.group]
	sc.lengths.observe(group.prompt, result.part.Tokens)
	whole := result.part
	sl.whole = &whole
	for _, other := range sl.attempts {
		other.cancel()
	}
	sl.attempts = nil
	if group.complete() {
		sc.startScoring(ctx, a.step, a.id.group)
	}
}

// takeFailure keeps what the attempt produced, if it may be continued, and puts the slot back.
func (sc *scheduler) takeFailure(a *attempt, sl *slot, result attemptResult) {
	sl.failures++
	sl.notBefore = time.Now().Add(backoff(sl.failures))
	if engineID := a.progress.snapshot().EngineID; engineID != "" {
		sl.avoid = append(sl.avoid, engineID)
		sl.avoid = sl.avoid[max(0, len(sl.avoid)-maxAvoided):]
	}
	keep := sc.policy.Resume && !sc.stale(a.step.cfg, result.part)
	switch {
	case !keep:
		sl.prior = part{}
	case result.part.Tokens > sl.prior.Tokens:
		sl.prior = result.part
		sl.failures = 0
	}
	sc.log.V(1).Info("rollout attempt failed", "step", a.step.st.Step, "group", a.id.group, "index", a.id.index,
		"tokens", result.part.Tokens, "reason", result.err.Error())
}

func backoff(failures int) time.Duration {
	return pause.Doubled(firstBackoff, longestBackoff, failures)
}

// stale reports whether a rollout is older than the trainer's bound by what this host knows.
func (sc *scheduler) stale(cfg deployment.Trainer, p part) bool {
	oldest, ok := p.oldest()
	return ok && age(sc.versions.Newest(cfg.Engines), oldest) > cfg.StalenessBound
}

// dropStaleAttempts gives up the attempts whose oldest segment is past the staleness bound.
func (sc *scheduler) dropStaleAttempts() {
	for _, s := range sc.steps {
		newest := sc.versions.Newest(s.cfg.Engines)
		for _, group := range s.groups {
			for i := range group.slots {
				sc.dropStaleSlot(s.cfg, &group.slots[i], newest)
				sc.learnLength(group.prompt, &group.slots[i])
			}
		}
	}
}

func (sc *scheduler) dropStaleSlot(cfg deployment.Trainer, sl *slot, newest uint64) {
	if oldest, ok := sl.prior.oldest(); ok && age(newest, oldest) > cfg.StalenessBound {
		sl.prior = part{}
	}
	for _, a := range sl.attempts {
		if oldest, ok := a.oldest(); ok && age(newest, oldest) > cfg.StalenessBound {
			a.cancel()
		}
	}
}

// learnLength notes that the running attempts already reached a length.
func (sc *scheduler) learnLength(prompt uint64, sl *slot) {
	for _, a := range sl.attempts {
		sc.lengths.atLeast(prompt, a.prior.Tokens+a.progress.snapshot().Tokens)
	}
}

// fill starts attempts while the trainer's share allows it.
func (sc *scheduler) fill(ctx context.Context) {
	if sc.keeper.buffered.Load() > maxBuffered {
		return
	}
	steps := sc.runningSteps()
	waiting := candidates(steps, sc.lengths, sc.policy, time.Now())
	allowed := sc.share.allowed(sc.trainer, sc.inFlight, len(waiting))
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

// startCandidate starts a rollout, unless it would be too old at its expected end
// and waiting helps. A prior part that would be too old then is dropped.
func (sc *scheduler) startCandidate(ctx context.Context, c candidate) {
	cfg := c.step.cfg
	sl := c.step.slot(c.id)
	f := forecast{now: time.Now(), newest: sc.versions.Newest(cfg.Engines), pace: sc.versions.PublishRate(cfg.Engines)}
	if oldest, ok := sl.prior.oldest(); ok && !f.freshAfter(oldest, sc.speeds.takes(c.remaining), cfg.StalenessBound) {
		sl.prior = part{}
	}
	if sl.prior.Tokens == 0 && waits(cfg, f, sc.speeds.takes(c.expected)) {
		return
	}
	sc.start(ctx, c.step.newAttempt(c.id, sl.prior, c.expected, slices.Clone(sl.avoid)))
}

func (sc *scheduler) runningSteps() []*stepRun {
	steps := make([]*stepRun, 0, len(sc.steps))
	for _, s := range sc.steps {
		if wanted(s.st.stepRow) {
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *stepRun) int { return cmp.Compare(a.st.Step, b.st.Step) })
	return steps
}

// start begins an attempt in a goroutine of its own.
func (sc *scheduler) start(ctx context.Context, a *attempt) {
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	a.job.Takes = sc.speeds.takes(a.job.Expected)
	sl := a.step.slot(a.id)
	sl.attempts = append(sl.attempts, a)
	sc.inFlight++
	if a.hedge {
		sc.hedges++
	}
	sc.work.Go(func() {
		defer cancel()
		end := sc.runner.run(attemptCtx, a.job, a.progress)
		result := attemptResult{attempt: a, part: a.prior.plus(end.Generation, end.EngineID)}
		if end.Err != nil {
			result.err = end.Err
		}
		select {
		case sc.results <- result:
		case <-ctx.Done():
		}
	})
}
