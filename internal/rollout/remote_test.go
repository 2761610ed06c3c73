package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// The rollouts of a step are distributed over the hosts.
func TestRolloutsAreSpreadOverHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(8, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 400 }
		owner := b.startHost(t, defaultPolicy())
		others := []*testHost{b.startHostWithoutLease(t, defaultPolicy()), b.startHostWithoutLease(t, defaultPolicy())}
		owner.do(t, "POST", "advice/steps/1", stepRequest(6, 4), nil)
		time.Sleep(2 * time.Second)
		for _, h := range others {
			if n := h.worker.count(); n != 8 {
				t.Errorf("a host runs %d of 24 rollouts, want 8", n)
			}
		}
		wantEachSlotOnce(t, owner.fetch(t, 1).Samples, 6, 4)
		for _, h := range append(others, owner) {
			h.stop()
		}
	})
}

// When a host dies, only the rollouts that it ran are repeated.
func TestDeadWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(8, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 400 }
		owner, other := b.startHost(t, defaultPolicy()), b.startHostWithoutLease(t, defaultPolicy())
		defer owner.stop()
		owner.do(t, "POST", "advice/steps/1", stepRequest(6, 4), nil)
		time.Sleep(2 * time.Second)
		other.peers.SetPartitioned(true)
		other.peers.SetState(peer.StateDead)
		wantEachSlotOnce(t, owner.fetch(t, 1).Samples, 6, 4)
		if n := b.engines.count(); n != 36 {
			t.Errorf("%d generations, want 24 and a repeat of 12", n)
		}
		other.stop()
	})
}

// A host that stops hands over its output so far; no token is generated twice.
func TestStoppingWorkerHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(8, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 400 }
		owner, other := b.startHost(t, defaultPolicy()), b.startHostWithoutLease(t, defaultPolicy())
		defer owner.stop()
		owner.do(t, "POST", "advice/steps/1", stepRequest(2, 2), nil)
		time.Sleep(2 * time.Second)
		other.stop()
		wantEachSlotOnce(t, owner.fetch(t, 1).Samples, 2, 2)
		b.engines.mu.Lock()
		defer b.engines.mu.Unlock()
		if b.engines.busy != 4*400*10*time.Millisecond {
			t.Errorf("engines were busy for %s, want 16s", b.engines.busy)
		}
	})
}

// refusingPeers fails every call.
type refusingPeers struct{}

func (refusingPeers) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, failure.New(failure.PeerUnreachable, failure.Unknown, "no answer")
}

// losingPeers accepts a job and reports its progress once; then the host can't be reached.
type losingPeers struct{ polls int }

func (p *losingPeers) Call(_ context.Context, _, method string, payload []byte) ([]byte, error) {
	if method == methodStart {
		return nil, nil
	}
	var call pollCall
	if err := decodeMsgpack(payload, &call); err != nil {
		return nil, err
	}
	if p.polls++; p.polls > 1 || len(call.Running) == 0 {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "cannot connect")
	}
	return encodeMsgpack(pollReply{Running: []remoteProgress{{RequestID: call.Running[0], EngineID: "e0", Ran: time.Second, Tokens: 5, Text: "abcde"}}})
}

// Guards against a rollout that ran on a host which was lost, and was said not to have run since
// the last poll could not be sent: it ran again here, on top of the progress that the other host
// had reported.
func TestRolloutOfALostHostMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &remoteRunner{hostID: "b", peers: &losingPeers{}, jobs: map[string]*remoteJob{}}
		p := &progress{}
		end := r.run(t.Context(), job{Chat: engineapi.ChatRequest{RequestID: "r"}}, p)
		if end.Err == nil || end.Err.Kind != failure.PeerUnreachable || end.Err.Outcome != failure.Unknown {
			t.Errorf("the rollout, of which %d tokens were reported, ended with %v, want outcome unknown", p.snapshot().Tokens, end.Err)
		}
		// The polls end.
		time.Sleep(2 * jobPollWait)
	})
}

// Jobs whose start call failed leave no state behind.
func TestRefusedJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &remoteRunner{hostID: "b", peers: refusingPeers{}, jobs: map[string]*remoteJob{}}
		for range 100 {
			if end := r.run(t.Context(), job{}, &progress{}); end.Err == nil {
				t.Error("a job succeeded without a host")
			}
		}
		time.Sleep(2 * peerSilenceTimeout)
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.settled) > 0 || r.polling {
			t.Errorf("%d settled jobs are left, polling is %v", len(r.settled), r.polling)
		}
	})
}

// A slow rollout on another host is hedged from its text so far.
func TestRemoteRolloutIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(6, advice)
		b.engines.length = func(engineapi.ChatRequest) int { return 200 }
		b.engines.tokenTime = func(id string) time.Duration {
			if id == "e0" || id == "e1" {
				return 100 * time.Millisecond
			}
			return 10 * time.Millisecond
		}
		owner, other := b.startHost(t, defaultPolicy()), b.startHostWithoutLease(t, defaultPolicy())
		defer owner.stop()
		defer other.stop()
		started := time.Now()
		owner.do(t, "POST", "advice/steps/1", stepRequest(2, 4), nil)
		wantEachSlotOnce(t, owner.fetch(t, 1).Samples, 2, 4)
		if took := time.Since(started); took > 10*time.Second {
			t.Errorf("the step took %s, want about half of 20s or less", took)
		}
	})
}

// Guards against the start of a rollout that arrives after its owner has settled it, because
// the start call had timed out: it ran for nobody until it had not been polled for a while.
func TestStartThatArrivesAfterItsEndRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		h := b.startHostWithoutLease(t, defaultPolicy())
		defer h.stop()
		late := job{Pool: "pool", Chat: engineapi.ChatRequest{RequestID: "late", Model: "model", MaxTokens: 1000}}
		start, err := encodeMsgpack(startCall{Jobs: []job{late}})
		if err != nil {
			t.Fatal(err)
		}
		settled, err := encodeMsgpack(pollCall{Settled: []string{"late"}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := h.worker.handlePoll(t.Context(), "owner", settled); err != nil {
			t.Fatal(err)
		}
		if _, err := h.worker.handleStart(t.Context(), "owner", start); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if n := h.worker.count() + b.engines.count(); n != 0 {
			t.Error("a settled rollout was started")
		}
		// The record of it is kept for a limited time only.
		time.Sleep(3 * peerSilenceTimeout)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if len(h.worker.settled) > 0 {
			t.Errorf("%d settled rollouts are still recorded", len(h.worker.settled))
		}
	})
}
