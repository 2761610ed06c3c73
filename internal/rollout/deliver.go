package rollout

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// samples responds with the content of a sealed step, waiting for the seal if requested. If the
// step is not sealed by then, it responds with the progress.
func (a *API) samples(c call) error {
	wait, err := parseWait(c.http)
	if err != nil {
		return err
	}
	started := time.Now()
	defer func() { waitSeconds(a.meters, c.trainer.Name).Add(time.Since(started).Seconds()) }()
	for {
		s, err := a.store.read(c.ctx, c.trainer.Name, c.step)
		if err != nil {
			return err
		}
		delivered, err := a.tryDeliver(c, s)
		if err != nil || delivered {
			return err
		}
		done := time.Since(started)+waitPollInterval > wait || a.stopping()
		if done || !pause.For(c.ctx, waitPollInterval) {
			return a.progress(c, fasthttp.StatusAccepted)
		}
	}
}

func parseWait(http *fasthttp.RequestCtx) (time.Duration, error) {
	value := string(http.QueryArgs().Peek("wait"))
	if value == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(value)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, failure.New(failure.InvalidRequest, failure.NotRun, "wait %q is not a duration in range", value).
			WithField("wait").WithLimit("0s to " + maxWait.String())
	}
	return wait, nil
}

// tryDeliver responds with the samples if the step is sealed and not stale. It returns false if
// the step is running, is running again because it became stale before its first delivery, or
// was changed concurrently. It returns Conflict if the step is in a final state.
func (a *API) tryDeliver(c call, s step) (bool, error) {
	switch s.State {
	case trainerapi.StepRunning:
		return false, nil
	case trainerapi.StepSealed:
	default:
		return false, failure.New(failure.Conflict, failure.NotRun, "step %d is %s", s.Step, s.State).WithField("step")
	}
	samples, err := a.store.content(c.ctx, s)
	if failure.IsKind(err, failure.Conflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	newest, err := a.versions.Refresh(c.ctx, c.trainer.EnginePool, c.doc.EnginePools[c.trainer.EnginePool].Model)
	if err != nil {
		return false, err
	}
	if stale := countStaleGroups(s, newest, c.trainer.StalenessBound); stale > 0 {
		return false, a.handleStale(c, s, newest)
	}
	if !s.Delivered {
		s, err = a.store.markDelivered(c.ctx, s)
		if failure.IsKind(err, failure.Conflict) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
	for _, sample := range samples {
		if oldest, ok := oldestOf(sample.Segments); ok {
			deliveredAge(a.meters, c.trainer.Name).Update(float64(age(newest, oldest)))
		}
	}
	return true, writeJSON(c, fasthttp.StatusOK, trainerapi.StepSamples{Trainer: s.Trainer, Step: s.Step, Samples: samples})
}

func countStaleGroups(s step, newest, bound uint64) int {
	stale := 0
	for _, g := range s.Sealed {
		if g.OldestVersion != math.MaxUint64 && age(newest, g.OldestVersion) > bound {
			stale++
		}
	}
	return stale
}

// handleStale handles a sealed step with a sample past the staleness bound. Before the first
// delivery, the stale groups are discarded and generated again. After it, the content must not
// change, and the request is refused with SamplesStale.
func (a *API) handleStale(c call, s step, newest uint64) error {
	if s.Delivered {
		return failure.New(failure.SamplesStale, failure.NotRun, "step %d was delivered before, and its samples have passed the staleness bound since", s.Step).
			WithField("step").
			WithLimit("at most " + strconv.FormatUint(c.trainer.StalenessBound, 10) + " versions behind " + strconv.FormatUint(newest, 10))
	}
	groups, err := a.store.groups(c.ctx, s.Trainer, s.Step)
	if err != nil {
		return err
	}
	var stale []groupRow
	for _, g := range groups {
		if age(newest, g.OldestVersion) > c.trainer.StalenessBound {
			stale = append(stale, g)
		}
	}
	_, err = a.store.discard(c.ctx, s, stale)
	if failure.IsKind(err, failure.Conflict) {
		return nil
	}
	return err
}
