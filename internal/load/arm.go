package load

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/trainer"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	runIDLength    = 8
	progressInterval = 5 * time.Second
)

// armRun is one run of an experiment.
type armRun struct {
	name       string
	runID      string
	experiment *Experiment
	log        logr.Logger
	slots      chan struct{}
	generators    []*requestGenerator
	trainers   []*trainer.Standin
	barriers   []*barrier
	// trainerErrors holds what ended a trainer early, by its name.
	trainerErrors map[string]error

	faultsMu    sync.Mutex
	faultErrors []string

	start    time.Time
	measured time.Duration
}

func newArmRun(a Arm, log logr.Logger) *armRun {
	return &armRun{
		name:          a.Name,
		runID:         uuid.NewString()[:runIDLength],
		experiment:    a.Experiment,
		log:           log.WithValues("arm", a.Name),
		slots:         make(chan struct{}, a.Experiment.Settings.MaxInFlight),
		trainerErrors: map[string]error{},
	}
}

// run puts the load on, waits for its end and returns the report.
func (a *armRun) run(ctx context.Context) (ArmReport, error) {
	settings := a.experiment.Settings
	clearFaults(a.log, a.experiment)
	before := usages(a.experiment.Processes)
	countersBefore := a.counters()
	a.start = time.Now()
	defer a.closeBarriers()
	if err := a.prepareTrainers(ctx); err != nil {
		return ArmReport{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var sources, trainers, background sync.WaitGroup
	background.Go(func() { a.runFaults(faultCtx, a.start) })
	background.Go(func() { a.reportProgress(faultCtx) })
	for _, caller := range a.experiment.Callers {
		s := a.newGenerator(caller, a.start)
		a.generators = append(a.generators, s)
		sources.Go(func() { s.run(loadCtx, a.start, settings.Duration) })
	}
	trainerCtx, stopTrainers := context.WithCancel(ctx)
	defer stopTrainers()
	a.runTrainers(trainerCtx, &trainers)
	pause.For(ctx, time.Until(a.start.Add(settings.Duration)))
	a.measured = time.Since(a.start)
	report := a.newReport(processReports(a.experiment.Processes, before), a.counters(), countersBefore)
	stopFaults()
	background.Wait()
	waitAtMost(ctx, &sources, settings.Settle, stopLoad)
	waitAtMost(ctx, &trainers, settings.Settle, stopTrainers)
	a.finishReport(&report)
	return report, nil
}

// waitAtMost waits for a group, and after the limit stops it and waits again.
func waitAtMost(ctx context.Context, group *sync.WaitGroup, limit time.Duration, stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Wait()
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	stop()
	<-done
}

// reportProgress logs how far the arm is until ctx ends.
func (a *armRun) reportProgress(ctx context.Context) {
	for pause.For(ctx, progressInterval) {
		for _, s := range a.generators {
			s.stats.mu.Lock()
			a.log.Info("progress", "caller", s.caller.Name, "ended", s.stats.sent, "answered", s.stats.outcomes[outcomeAnswered], "elapsed", time.Since(a.start).Round(time.Second).String())
			s.stats.mu.Unlock()
		}
	}
}

// counters reads what the upstreams counted, by upstream name.
func (a *armRun) counters() map[string]standinapi.CountersResponse {
	all := map[string]standinapi.CountersResponse{}
	for _, u := range a.experiment.Upstreams {
		c, err := control.NewClient(u.Control).Counters()
		if err != nil {
			a.log.Error(err, "counters could not be read", "upstream", u.Name)
			continue
		}
		all[u.Name] = c
	}
	return all
}
