package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	weightReadBuffer = 1 << 16 // bytes
	partialLoadBytes = 1 << 16 // bytes read before FaultWeightLoadFailure applies
	// weightDialLimit bounds the connection set-up to the weight store.
	weightDialLimit = time.Second
)

// swapState is the state that orders change, apart from the version in use.
type swapState struct {
	mu      sync.Mutex
	model   string
	adapter string
	role    string
	// fence is the highest fencing token seen.
	fence uint64
	// loading is the version of the load in progress, or zero.
	loading uint64
	// failed is the version of the last load if that load failed, or zero.
	failed uint64
	// stop cancels the load in progress. It is nil if there is none.
	stop context.CancelFunc
}

// order carries out an order. A load continues in the background. The error is
// StaleFencingToken for an outdated fencing token, and InvalidRequest for an
// unknown kind.
func (s *Standin) order(order engineapi.Order) error {
	s.swap.mu.Lock()
	defer s.swap.mu.Unlock()
	checks := s.cfg.ChecksFencing && !s.Faults().On(standinapi.FaultIgnoreFencing)
	if checks && order.Fence < s.swap.fence {
		s.recordOrder(order, "refused")
		return failure.New(failure.StaleFencingToken, failure.NotRun, "fencing token %d is lower than %d, the highest seen", order.Fence, s.swap.fence).WithField("fence")
	}
	s.swap.fence = max(s.swap.fence, order.Fence)
	s.recordOrder(order, "accepted")
	switch order.Kind {
	case engineapi.OrderLoadVersion:
		s.startLoad(order.Version)
	case engineapi.OrderLoadAdapter:
		s.swap.adapter = order.Adapter
	case engineapi.OrderSetRole:
		s.swap.role = order.Role
	default:
		return failure.New(failure.InvalidRequest, failure.NotRun, "order kind %q is not known", order.Kind).WithField("kind")
	}
	return nil
}

// recordOrder logs an order and its result.
func (s *Standin) recordOrder(order engineapi.Order, result string) {
	s.Log().Add(standinapi.LogEntry{
		Event:   EventOrder,
		Version: order.Version,
		Detail:  string(order.Kind) + " fence=" + strconv.FormatUint(order.Fence, 10) + " " + result,
	})
}

// startLoad starts to load a version and cancels the load of another one. If the
// version is already in use, it only cancels; s.swap.mu is held.
func (s *Standin) startLoad(version uint64) {
	if version == s.swap.loading {
		return
	}
	if s.swap.stop != nil {
		s.swap.stop()
		s.swap.stop = nil
		s.swap.loading = 0
	}
	if version == s.currentVersion() {
		return
	}
	ctx, stop := context.WithCancel(s.Context())
	s.swap.stop = stop
	s.swap.loading = version
	s.loads.Go(func() {
		defer stop()
		s.load(ctx, version)
	})
}

// currentVersion returns the weight version in use.
func (s *Standin) currentVersion() uint64 {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	return s.sched.version
}

// load fetches a version and swaps to it, unless ctx ends first.
func (s *Standin) load(ctx context.Context, version uint64) {
	err := s.fetch(ctx, version)
	if err == nil {
		s.swapWeights(ctx, version)
	}
	s.swap.mu.Lock()
	defer s.swap.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	s.swap.loading = 0
	s.swap.stop = nil
	if err != nil {
		s.swap.failed = version
		s.Log().Add(standinapi.LogEntry{Event: EventLoadFailed, Version: version, Detail: err.Error()})
		return
	}
	s.swap.failed = 0
}

// swapWeights pauses the scheduler for SwapPause, then continues with the new version and an empty cache.
func (s *Standin) swapWeights(ctx context.Context, version uint64) {
	s.sched.mu.Lock()
	s.sched.paused = true
	s.sched.mu.Unlock()
	pause.For(ctx, s.cfg.SwapPause)
	s.Faults().WaitThawed(ctx)
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	s.sched.paused = false
	if ctx.Err() != nil {
		return
	}
	s.sched.version = version
	s.sched.cache.clear(time.Now())
	s.Log().Add(standinapi.LogEntry{Event: EventLoaded, Version: version})
}

// fetch downloads the weights of a version from the weight store, whose rate
// limits it. Without a platform it only waits for LoadTime.
func (s *Standin) fetch(ctx context.Context, version uint64) error {
	fails := func() bool {
		_, ok := s.Faults().Take(standinapi.FaultWeightLoadFailure, engineapi.PathOrder, nil)
		return ok
	}
	if s.cfg.Registration.Platform == "" {
		pause.For(ctx, s.cfg.LoadTime)
		if fails() {
			return failure.New(failure.UpstreamFailed, "", "load of version %d failed before its end", version)
		}
		return nil
	}
	client := weightClient(ctx, s.cfg.Registration.Dial)
	defer client.CloseIdleConnections()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	req.SetRequestURI("http://" + s.cfg.Registration.Platform + platform.PathWeightData + s.cfg.Model + "/" + strconv.FormatUint(version, 10))
	if err := client.Do(req, resp); err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, "", "weight store did not answer for version %d", version)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return failure.New(failure.NotFound, "", "weight store answered status %d for version %d", resp.StatusCode(), version)
	}
	return s.readWeights(ctx, resp, version, fails)
}

// weightClient returns a client whose connections are closed when ctx ends. This
// cancels a load that waits for data.
func weightClient(ctx context.Context, dial jsonhttp.DialFunc) *fasthttp.Client {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, weightDialLimit) }
	}
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			c, err := dial(address)
			if err == nil {
				context.AfterFunc(ctx, func() { _ = c.Close() })
			}
			return c, err
		},
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// readWeights reads and discards the weights. FaultWeightLoadFailure makes it fail
// after partialLoadBytes, or at the end of smaller weights.
func (s *Standin) readWeights(ctx context.Context, resp *fasthttp.Response, version uint64, fails func() bool) error {
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	buf := make([]byte, weightReadBuffer)
	read := 0
	checked := false
	for {
		n, err := body.Read(buf)
		read += n
		if !checked && (read >= partialLoadBytes || err != nil) {
			checked = true
			if fails() {
				return failure.New(failure.UpstreamFailed, "", "load of version %d failed after %d bytes", version, read)
			}
		}
		if err == io.EOF { //nolint:errorlint // Read returns it unwrapped
			return nil
		}
		if err != nil {
			return failure.Wrap(err, failure.StoreUnavailable, "", "load of version %d broke off after %d bytes", version, read)
		}
		if ctx.Err() != nil {
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, "", "load of version %d was cancelled by a later order", version)
		}
		s.Faults().WaitThawed(ctx)
	}
}
