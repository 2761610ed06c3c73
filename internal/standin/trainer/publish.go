package trainer

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// weightsURL returns the URL of the model on the weight store.
func (s *Standin) weightsURL() string {
	return "http://" + s.cfg.Platform + platform.PathWeights + s.cfg.Model
}

// newestVersion returns the newest published weight version. If the platform does
// not answer, it returns the newest version known before.
func (s *Standin) newestVersion() uint64 {
	var latest platform.WeightVersion
	if s.cfg.Platform != "" {
		// The error is ignored: without an answer, latest stays zero.
		_, _ = s.platform.Do(fasthttp.MethodGet, s.weightsURL(), nil, &latest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, latest.Version)
	return s.newest
}

// publish publishes the next weight version. If the weight store does not
// answer, it does not retry; the next call publishes the version.
func (s *Standin) publish() {
	if s.cfg.Platform == "" {
		return
	}
	next := platform.WeightVersion{
		Model:       s.cfg.Model,
		Version:     s.newestVersion() + 1,
		Bytes:       s.cfg.WeightBytes,
		PublishedAt: time.Now(),
	}
	_, err := s.platform.Do(fasthttp.MethodPost, s.weightsURL(), next, nil)
	if err != nil && !failure.IsKind(err, failure.Conflict) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, next.Version)
}

// publishOnInterval publishes every PublishEvery until ctx ends, if that is set.
func (s *Standin) publishOnInterval(ctx context.Context) error {
	if s.cfg.PublishEvery <= 0 {
		return nil
	}
	ticker := time.NewTicker(s.cfg.PublishEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		s.Faults().WaitThawed(ctx)
		s.publish()
	}
}
