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
	// jobWait is how long a question for changed jobs is kept waiting.
	jobWait = 500 * time.Millisecond
	// jobPoll bounds the questions for changed jobs.
	jobPoll = 50 * time.Millisecond
	// handOver bounds the hand-over of jobs at a stop.
	handOver = 3 * time.Second
)

// host are the parts that keep and run a host's jobs.
type host struct {
	manager *job.Manager
	beat    *roster.Heartbeat
}

// Provide registers the API, which is mounted on the caller address where the
// settings turn jobs on.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*API, error) {
		h := newHost(i)
		api := &API{docs: do.MustInvoke[deployment.Source](i), jobs: h.manager}
		do.MustInvoke[*callerapi.Server](i).Mount(trainerapi.PathJobs, api.Handle)
		return api, nil
	})
}

// newHost builds the parts and adds their duties.
func newHost(i do.Injector) *host {
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
	h := &host{beat: roster.NewHeartbeat(self, rows, hosts, log)}
	h.manager = job.NewManager(job.Config{
		Host: s.Host.ID, Incarnation: incarnation, Domain: s.Host.FailureDomain, Rows: rows, Hosts: hosts, Rules: Rules{docs},
		Fleet: engines, Engine: &Engine{do.MustInvoke[upstream.Engine](i)}, Retention: s.Jobs.Retention, Log: log,
	})
	m := &members{docs: docs, view: do.MustInvoke[membership.View](i), versions: do.MustInvoke[*weights.Watcher](i), fleet: engines}
	duties.Add("job-engines", duty.Exchange, m.Run)
	duties.Add("job-heartbeat", duty.Exchange, h.beat.Run)
	duties.Add("job-hosts", duty.Exchange, follow.New(hosts.FollowConfig(), rows, hosts, log).Run)
	duties.Add("job-feed", duty.Exchange, follow.New(h.manager.FollowConfig(jobWait, jobPoll, hosts.IntervalFactor), rows, h.manager, log).Run)
	duties.Add("jobs", duty.Control, h.run)
	return h
}

// run runs jobs until ctx ends, then hands over what is left.
func (h *host) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- h.manager.Run(running) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	h.beat.SetDraining()
	leaving, cancel := context.WithTimeout(running, handOver)
	defer cancel()
	h.manager.Drain(leaving, 0)
	stop()
	err := <-ended
	h.beat.Remove(context.WithoutCancel(ctx))
	return err
}
