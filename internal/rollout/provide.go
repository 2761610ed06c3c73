package rollout

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/callerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// Provide registers the API, which is mounted on the caller address, and the Owner.
func Provide(i do.Injector) {
	do.Provide(i, provideStore)
	do.Provide(i, provideAPI)
	do.Provide(i, provideWorker)
	do.Provide(i, provideOwner)
}

func provideAPI(i do.Injector) (*API, error) {
	peers := do.MustInvoke[peer.Exchange](i)
	api := &API{
		docs:     do.MustInvoke[deployment.Source](i),
		store:    do.MustInvoke[*store](i),
		versions: do.MustInvoke[*weights.Watcher](i),
		meters:   do.MustInvoke[*metrics.Set](i),
		stopping: func() bool { return peers.Self().Draining },
	}
	do.MustInvoke[*callerapi.Server](i).Mount(trainerapi.PathTrainers, api.Handle)
	return api, nil
}

func provideWorker(i do.Injector) (*worker, error) {
	w := newWorker(&localRunner{
		router:   do.MustInvoke[routing.Router](i),
		engines:  do.MustInvoke[upstream.Engine](i),
		versions: do.MustInvoke[*weights.Watcher](i),
	})
	peers := do.MustInvoke[peer.Exchange](i)
	peers.Handle(methodStart, w.handleStart)
	peers.Handle(methodPoll, w.handlePoll)
	do.MustInvoke[*duty.Group](i).Add("rollout-worker", duty.StageControl, w.run)
	return w, nil
}

func provideOwner(i do.Injector) (*Owner, error) {
	docs := do.MustInvoke[deployment.Source](i)
	peers := do.MustInvoke[peer.Exchange](i)
	host := do.MustInvoke[*settings.Settings](i)
	policy := policyWithout(host.Rollout.DisabledOptimizations)
	scoring := &scorer{router: do.MustInvoke[routing.Router](i), exchange: do.MustInvoke[upstream.Exchanger](i)}
	owner := &Owner{
		log:    do.MustInvoke[logr.Logger](i).WithName("rollout"),
		docs:   docs,
		leases: do.MustInvoke[lease.Holder](i),
		deps: dependencies{
			store:     do.MustInvoke[*store](i),
			versions:  do.MustInvoke[*weights.Watcher](i),
			runner:    newJobRunner(policy, peers, do.MustInvoke[*worker](i).runner),
			scorer:    scoring,
			fairShare: newFairShare(docs, peers),
			policy:    policy,
			meters:    do.MustInvoke[*metrics.Set](i),
		},
		timing: host.Timing,
		runs:   map[string]*trainerRun{},
	}
	do.MustInvoke[*duty.Group](i).Add("rollout-owner", duty.StageControl, owner.Run)
	return owner, nil
}

func provideStore(i do.Injector) (*store, error) {
	return newStore(do.MustInvoke[platform.Table](i), do.MustInvoke[platform.ObjectStore](i)), nil
}
