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
	runIDLength      = 8
	progressInterval = 5 * time.Second
)

// armRun executes one arm of an experiment.
type armRun struct {
	name       string
	runID      string
	experiment *Experiment
	log        logr.Logger
	// slots limits the requests in flight of all callers.
	slots      chan struct{}
	generators []*requestGenerator
	trainers   []*trainer.Standin
	barriers   []*barrier
	// trainerErrors holds the error that ended a trainer early, by trainer name.
	trainerErrors map[string]error

	faultsMu    sync.Mutex
	faultErrors []string

	start time.Time
	// measured is the time over which processes and upstreams were measured.
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

// run generates the load, waits for outstanding requests and trainers, and
// returns the report.
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
	var generators, trainers, background sync.WaitGroup
	background.Go(func() { a.runFaults(faultCtx, a.start) })
	background.Go(func() { a.reportProgress(faultCtx) })
	for _, caller := range a.experiment.Callers {
		s := a.newGenerator(caller, a.start)
		a.generators = append(a.generators, s)
		generators.Go(func() { s.run(loadCtx, a.start, settings.Duration) })
	}
	trainerCtx, stopTrainers := context.WithCancel(ctx)
	defer stopTrainers()
	a.runTrainers(trainerCtx, &trainers)
	pause.For(ctx, time.Until(a.start.Add(settings.Duration)))
	a.measured = time.Since(a.start)
	report := a.newReport(processReports(a.experiment.Processes, before), a.counters(), countersBefore)
	stopFaults()
	background.Wait()
	waitAtMost(ctx, &generators, settings.Settle, stopLoad)
	waitAtMost(ctx, &trainers, settings.Settle, stopTrainers)
	a.finishReport(&report)
	return report, nil
}

// waitAtMost waits for group. When limit has passed or ctx ends, it calls stop
// and waits for the rest.
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

// reportProgress logs request counts at intervals until ctx ends.
func (a *armRun) reportProgress(ctx context.Context) {
	for pause.For(ctx, progressInterval) {
		for _, s := range a.generators {
			s.stats.mu.Lock()
			a.log.Info("progress", "caller", s.caller.Name, "ended", s.stats.sent, "answered", s.stats.outcomes[outcomeAnswered], "elapsed", time.Since(a.start).Round(time.Second).String())
			s.stats.mu.Unlock()
		}
	}
}

// counters reads the upstreams' counters, by upstream name. An upstream whose
// counters cannot be read is left out.
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
