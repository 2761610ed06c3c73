package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// methodTrial is the peer method that requests a trial on an upstream from the
// host that grants them, or ends one.
const methodTrial = "quarantine.trial"

const (
	// trialCallTimeout bounds a call of methodTrial.
	trialCallTimeout = 300 * time.Millisecond
	// trialMargin is added to the timeout of an attempt for the duration of its trial.
	trialMargin = 2 * time.Second
)

// trial is the right of one suspect to run on an upstream on which no other
// suspect of any host runs.
type trial struct {
	token     uint64
	expiresAt time.Time
}

// trialRequest is the payload of methodTrial.
type trialRequest struct {
	Upstream string `msgpack:"u"`
	// Token identifies the trial.
	Token uint64 `msgpack:"t"`
	// HoldMillis is the longest duration of the trial, in milliseconds; zero ends the trial.
	HoldMillis int64 `msgpack:"h"`
}

// trialReply is the reply to methodTrial.
type trialReply struct {
	Granted bool `msgpack:"g"`
}

// BeginTrial requests a trial on an upstream for an attempt of at most timeout.
// While it lasts, no other suspect of any host runs there; otherwise both would
// be blamed if the upstream crashes. It returns a function that ends the trial,
// or nil if the trial is not granted.
func (r *Registry) BeginTrial(ctx context.Context, upstreamID string, timeout time.Duration) (end func()) {
	request := trialRequest{Upstream: upstreamID, Token: rand.Uint64(), HoldMillis: (timeout + trialMargin).Milliseconds()}
	if !r.requestTrial(ctx, request) {
		return nil
	}
	return func() {
		request.HoldMillis = 0
		r.requestTrial(context.WithoutCancel(ctx), request)
	}
}

func (r *Registry) requestTrial(ctx context.Context, request trialRequest) bool {
	self := r.exchange.Self()
	granter := trialGranter(request.Upstream, self, r.exchange.Hosts())
	if granter.ID == self.ID {
		return r.grant(request)
	}
	payload, err := msgpack.Marshal(&request)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	answer, err := r.exchange.Call(ctx, granter.ID, methodTrial, payload)
	if err != nil {
		return false
	}
	var reply trialReply
	return msgpack.Unmarshal(answer, &reply) == nil && reply.Granted
}

// handleTrial is the peer.Handler of methodTrial.
func (r *Registry) handleTrial(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var request trialRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "trial request cannot be read")
	}
	return msgpack.Marshal(&trialReply{Granted: r.grant(request)})
}

func (r *Registry) grant(request trialRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, taken := r.trials[request.Upstream]
	now := time.Now()
	if request.HoldMillis == 0 {
		if taken && current.token == request.Token {
			delete(r.trials, request.Upstream)
		}
		return true
	}
	if taken && now.Before(current.expiresAt) {
		return false
	}
	r.trials[request.Upstream] = trial{token: request.Token, expiresAt: now.Add(time.Duration(request.HoldMillis) * time.Millisecond)}
	return true
}

// trialGranter returns the host that grants the trials on an upstream: the live
// host with the highest rendezvous hash. A change of the live hosts moves few
// upstreams to another granter.
func trialGranter(upstreamID string, self peer.Host, hosts []peer.Host) peer.Host {
	best := self
	score := xxhash.Sum64String(upstreamID + "/" + self.ID)
	for _, h := range hosts {
		if h.State != peer.StateAlive || h.ID == self.ID {
			continue
		}
		if s := xxhash.Sum64String(upstreamID + "/" + h.ID); s > score {
			best, score = h, s
		}
	}
	return best
}
