package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// stormPool is a pool of slotted replicas that can fail, behind several hosts.
type stormPool struct {
	t        *testing.T
	hosts    []*fixture
	replicas map[string]*slottedReplica
	answer   time.Duration
	down     atomic.Bool
	random   *rand.Rand
	// first is the host that a client without a failure domain tries first, drawn
	// anew with each entry answer.
	first atomic.Int64
}

// Load implements ReportSource.
func (s *stormPool) Load(_ context.Context, u membership.Upstream) (engineapi.LoadReport, error) {
	if s.down.Load() {
		return engineapi.LoadReport{}, errors.New("down")
	}
	r := s.replicas[u.ID]
	running := min(int(r.present.Load()), cap(r.slots))
	return engineapi.LoadReport{Slots: cap(r.slots), Running: running, Waiting: int(r.present.Load()) - running}, nil
}

// CacheEvents implements ReportSource.
func (s *stormPool) CacheEvents(context.Context, membership.Upstream, uint64) (engineapi.CacheEvents, error) {
	return engineapi.CacheEvents{}, errors.New("a service has no cache")
}

func newStormPool(t *testing.T, seed uint64) *stormPool {
	s := &stormPool{t: t, replicas: map[string]*slottedReplica{}, answer: 200 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
	for _, id := range []string{"a", "b"} {
		s.replicas[id] = &slottedReplica{slots: make(chan struct{}, 16)}
	}
	for range 2 {
		b := newFixture(t, 64, 256, app("a"), app("b"))
		go func() { _ = NewPoller(b.Balancer, s).Run(t.Context()) }()
		s.hosts = append(s.hosts, b)
	}
	return s
}

// attempt sends a request to a host, which tries each replica once at most.
func (s *stormPool) attempt(host int) error {
	req := Request{Pool: "app", Class: deployment.ClassInteractive}
	for {
		res, err := s.hosts[host%len(s.hosts)].Reserve(s.t.Context(), req)
		if err != nil {
			return err
		}
		if !s.down.Load() {
			s.replicas[res.Upstream().ID].serve(s.answer)
			res.Done(Succeeded)
			return nil
		}
		time.Sleep(time.Millisecond)
		res.Done(Refused)
		if req.Avoid = append(req.Avoid, res.Upstream().ID); len(req.Avoid) == len(s.replicas) {
			return failure.New(failure.UpstreamFailed, failure.NotRun, "no replica answers")
		}
	}
}

// request makes up to attempts attempts, as a client does, and reports success.
func (s *stormPool) request(attempts int) bool {
	backoff := 50 * time.Millisecond
	for try := range attempts {
		err := s.attempt(int(s.first.Load()) + try)
		if err == nil {
			return true
		}
		time.Sleep(max(backoff, failure.As(err).RetryAfter))
		backoff = min(2*backoff, time.Second)
	}
	return false
}

// arrive starts requests as a Poisson process from begin to end and waits for them.
func (s *stormPool) arrive(begin, end time.Duration, rate float64, attempts int) (requests, refused int) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	var failed atomic.Int64
	var wait sync.WaitGroup
	pause.For(s.t.Context(), begin)
	for at := begin; at < end; requests++ {
		wait.Go(func() {
			if !s.request(attempts) {
				failed.Add(1)
			}
		})
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		at += gap
		time.Sleep(gap)
	}
	wait.Wait()
	return requests, int(failed.Load())
}

// Both replicas fail for 4 s while clients retry. New requests that arrive once the
// replicas answer again, at 60 a second of a capacity of 160, must not be refused:
// at most 9 of about 258, the bound of the scenario "overload".
func TestNewRequestsAfterRetryStorm(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newStormPool(t, seed)
			go func() {
				for pause.For(t.Context(), time.Second) {
					s.first.Store(int64(s.random.IntN(2)))
				}
			}()
			var wait sync.WaitGroup
			wait.Go(func() { s.arrive(0, 12*time.Second, 320, 1) })
			wait.Wait()
			wait.Go(func() { s.arrive(0, 8*time.Second, 80, 20) })
			wait.Go(func() {
				time.Sleep(2 * time.Second)
				s.down.Store(true)
				time.Sleep(4 * time.Second)
				s.down.Store(false)
			})
			requests, refused := s.arrive(12*time.Second, 16*time.Second+300*time.Millisecond, 60, 1)
			wait.Wait()
			t.Logf("seed %d: %d of %d requests refused", seed, refused, requests)
			if refused > 9 {
				t.Errorf("seed %d: %d of %d requests refused, want at most 9", seed, refused, requests)
			}
		})
	}
}
