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
	// cancelTimeout bounds the call that stops a given up generation on its engine.
	cancelTimeout = time.Second
	// maxLagging bounds the engines that are passed over because their weights lag.
	maxLagging = 2
)

// engine is the part of upstream.Engine that this package uses.
type engine interface {
	Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error)
	Cancel(ctx context.Context, target membership.Upstream, requestID string) error
}

// job is one generation, as it is handed to the host that runs it.
type job struct {
	Pool string
	Chat engineapi.ChatRequest
	// Expected is the expected number of tokens still to be generated.
	Expected int
	// Takes is the expected time; zero if it is not known.
	Takes time.Duration
	// Bound is the age, in versions, that the rollout should keep to.
	Bound uint64
	Avoid []string
}

// outcome is the end of a job. The generation is whole if Err is nil.
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
	// PublishRate tells how often new versions are published.
	PublishRate(pool string) weights.PublishRate
}

// runner runs jobs through this host's router and engine client.
type runner struct {
	router   routing.Router
	engines  engine
	versions versionView
}

// run returns when the generation is whole, it failed or ctx ended.
func (r *runner) run(ctx context.Context, j job, p *progress) outcome {
	place, err := r.reserve(ctx, j)
	if err != nil {
		return outcome{Err: failure.As(err)}
	}
	target := place.Upstream()
	p.begin(target.ID)
	generation, err := r.engines.Generate(ctx, target, j.Chat, p.add)
	place.Done(resultOf(ctx, err))
	if ctx.Err() != nil {
		r.stop(target, j.Chat.RequestID)
	}
	end := outcome{Generation: generation, EngineID: target.ID}
	if err != nil {
		end.Err = failure.As(err)
	}
	return end
}

// reserve takes a place. An engine whose weights lag, so that the rollout would
// be too old at its expected end, is passed over while another may be had.
func (r *runner) reserve(ctx context.Context, j job) (routing.Reservation, error) {
	avoid := slices.Clone(j.Avoid)
	for passed := 0; ; passed++ {
		place, err := r.router.Reserve(ctx, routing.Request{
			Pool:   j.Pool,
			Class:  deployment.Rollout,
			Prefix: engineapi.PrefixBlocks(j.Chat.Messages),
			Tokens: j.Expected,
			Avoid:  avoid,
		})
		if err != nil || passed >= maxLagging || !r.lags(place.Upstream(), j) {
			return place, err
		}
		place.Done(routing.Cancelled)
		avoid = append(avoid, place.Upstream().ID)
	}
}

// lags reports whether a rollout on the engine would be too old at its end, but
// not on an engine with the newest weights.
func (r *runner) lags(target membership.Upstream, j job) bool {
	version, known := r.versions.Running(target.ID)
	f := forecast{now: time.Now(), newest: r.versions.Newest(j.Pool), pace: r.versions.PublishRate(j.Pool)}
	return known && version < f.newest && !f.freshAfter(version, j.Takes, j.Bound) && f.freshAfter(f.newest, j.Takes, j.Bound)
}

// stop ends a given up generation, which the engine would otherwise keep for a resume.
func (r *runner) stop(target membership.Upstream, requestID string) {
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
