package chatjobs

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/callerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/fleet"
	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/roster"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

const (
	// feedLongPollWait is how long the store may hold a request for changed jobs open.
	feedLongPollWait = 500 * time.Millisecond
	// feedPollInterval is the delay between two such requests.
	feedPollInterval = 50 * time.Millisecond
	// drainTimeout bounds the handover of jobs to other hosts at a stop.
	drainTimeout = 3 * time.Second
)

// jobRunner runs this host's jobs and its heartbeat.
type jobRunner struct {
	manager   *job.Manager
	heartbeat *roster.Heartbeat
}

// Provide registers the API, which is mounted on the caller address if the settings enable
// jobs.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*API, error) {
		runner := newJobRunner(i)
		api := &API{docs: do.MustInvoke[deployment.Source](i), jobs: runner.manager}
		do.MustInvoke[*callerapi.Server](i).Mount(trainerapi.PathJobs, api.Handle)
		return api, nil
	})
}

// newJobRunner builds the runner and registers its loops with the duty.Group.
func newJobRunner(i do.Injector) *jobRunner {
	s := do.MustInvoke[*settings.Settings](i)
	log := do.MustInvoke[logr.Logger](i).WithName("jobs")
	docs := do.MustInvoke[deployment.Source](i)
	rows := do.MustInvoke[platform.RowStore](i)
	duties := do.MustInvoke[*duty.Group](i)
	incarnation := uuid.NewString()
	hosts := roster.New(log)
	engines := fleet.New(log)
	self := roster.Host{
		ID: s.Host.ID, Incarnation: incarnation, Address: s.Host.CallerAddress, FailureDomain: s.Host.FailureDomain, Region: s.Host.Region,
	}
	runner := &jobRunner{heartbeat: roster.NewHeartbeat(self, rows, hosts, log)}
	runner.manager = job.NewManager(job.Config{
		Host: s.Host.ID, Incarnation: incarnation, Domain: s.Host.FailureDomain, Rows: rows, Hosts: hosts, Rules: Rules{docs},
		Fleet: engines, Engine: &Engine{do.MustInvoke[upstream.Engine](i)}, Retention: s.Jobs.Retention, Log: log,
	})
	r := &fleetReconciler{docs: docs, view: do.MustInvoke[membership.View](i), versions: do.MustInvoke[*weights.Watcher](i), fleet: engines}
	duties.Add("job-engines", duty.StageExchange, r.Run)
	duties.Add("job-heartbeat", duty.StageExchange, runner.heartbeat.Run)
	duties.Add("job-hosts", duty.StageExchange, follow.New(hosts.FollowConfig(), rows, hosts, log).Run)
	duties.Add("job-feed", duty.StageExchange, follow.New(runner.manager.FollowConfig(feedLongPollWait, feedPollInterval, hosts.IntervalFactor), rows, runner.manager, log).Run)
	duties.Add("jobs", duty.StageControl, runner.run)
	return runner
}

// run runs jobs until ctx ends. Then it announces that the host is draining, hands the
// remaining jobs over and removes the heartbeat.
func (r *jobRunner) run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.manager.Run(runCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	r.heartbeat.SetDraining()
	drainCtx, cancel := context.WithTimeout(runCtx, drainTimeout)
	defer cancel()
	r.manager.Drain(drainCtx, 0)
	stop()
	err := <-ended
	r.heartbeat.Remove(context.WithoutCancel(ctx))
	return err
}
