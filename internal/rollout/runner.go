package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

const (
	// cancelTimeout bounds the call that cancels a generation on its engine.
	cancelTimeout = time.Second
	// maxLaggingSkips is the largest number of engines that a job skips because their weights
	// lag.
	maxLaggingSkips = 2
)

// engine is the part of upstream.Engine that this package uses.
type engine interface {
	Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error)
	Cancel(ctx context.Context, target membership.Upstream, requestID string) error
}

// job is one generation, in the form in which it is sent to the host that runs it.
type job struct {
	Pool string
	Chat engineapi.ChatRequest
	// Expected is the expected number of tokens still to be generated.
	Expected int
	// Takes is the expected duration; zero if it is not known.
	Takes time.Duration
	// Bound is the largest age, in versions, that the rollout should have at its end.
	Bound uint64
	// Avoid lists the ids of engines not to use if others are available.
	Avoid []string
}

// outcome is the result of a job. The generation is complete if Err is nil.
type outcome struct {
	Generation upstream.Generation
	EngineID   string
	Err        *failure.Error
}

// versionView is the part of weights.Watcher that this package uses.
type versionView interface {
	weights.View
	// Refresh reads the newest version from the weight store.
	Refresh(ctx context.Context, pool, model string) (uint64, error)
	// PublishRate returns how often new versions are published.
	PublishRate(pool string) weights.PublishRate
}

// localRunner runs jobs with this host's router and engine client.
type localRunner struct {
	router   routing.Router
	engines  engine
	versions versionView
}

// run runs a job on one engine. It returns when the generation is complete or has failed, or when
// ctx ends.
func (r *localRunner) run(ctx context.Context, j job, p *progress) outcome {
	reservation, err := r.reserve(ctx, j)
	if err != nil {
		return outcome{Err: failure.As(err)}
	}
	target := reservation.Upstream()
	p.begin(target.ID)
	generation, err := r.engines.Generate(ctx, target, j.Chat, p.add)
	reservation.Done(resultOf(ctx, err))
	if ctx.Err() != nil {
		r.cancelGeneration(target, j.Chat.RequestID)
	}
	end := outcome{Generation: generation, EngineID: target.ID}
	if err != nil {
		end.Err = failure.As(err)
	}
	return end
}

// reserve reserves a slot on an engine. It skips an engine whose weights lag to the point that
// the rollout would exceed its bound, unless maxLaggingSkips engines were skipped already.
func (r *localRunner) reserve(ctx context.Context, j job) (routing.Reservation, error) {
	avoid := slices.Clone(j.Avoid)
	for skipped := 0; ; skipped++ {
		reservation, err := r.router.Reserve(ctx, routing.Request{
			Pool:   j.Pool,
			Class:  deployment.ClassRollout,
			Prefix: engineapi.PrefixBlocks(j.Chat.Messages),
			Tokens: j.Expected,
			Avoid:  avoid,
		})
		if err != nil || skipped >= maxLaggingSkips || !r.lags(reservation.Upstream(), j) {
			return reservation, err
		}
		reservation.Done(routing.Cancelled)
		avoid = append(avoid, reservation.Upstream().ID)
	}
}

// lags reports whether a rollout on the engine would exceed its bound at the expected end, but
// would not on an engine with the newest weights.
func (r *localRunner) lags(target membership.Upstream, j job) bool {
	version, known := r.versions.Running(target.ID)
	f := forecast{now: time.Now(), newest: r.versions.Newest(j.Pool), rate: r.versions.PublishRate(j.Pool)}
	return known && version < f.newest && !f.freshAfter(version, j.Takes, j.Bound) && f.freshAfter(f.newest, j.Takes, j.Bound)
}

// cancelGeneration cancels a generation that is no longer needed; the engine would otherwise
// keep it for a resume.
func (r *localRunner) cancelGeneration(target membership.Upstream, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = r.engines.Cancel(ctx, target, requestID)
}

func resultOf(ctx context.Context, err error) routing.Result {
	switch {
	case err == nil:
		return routing.Succeeded
	case ctx.Err() != nil:
		return routing.Cancelled
	case failure.As(err).Outcome == failure.NotRun:
		return routing.Refused
	}
	return routing.Failed
}
