package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// methodReport is the peer method that sends a crash report to another host.
	methodReport = "quarantine.report"
	// reportTimeout bounds the wait for other hosts to accept a report.
	reportTimeout = 500 * time.Millisecond
	// reportFanout bounds the hosts that are called directly; the others receive
	// the report through the peer exchange.
	reportFanout = 64
)

// reportCall is the payload of methodReport.
type reportCall struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Report      []byte      `msgpack:"r"`
}

// RecordCrash records that an upstream crashed while a request was in flight on
// it. It waits until the reachable hosts, at most reportFanout, have received the
// report, but no longer than reportTimeout: the caller is answered afterwards and
// may resend the request to any of them.
func (r *Registry) RecordCrash(ctx context.Context, f Fingerprint, u membership.Upstream, trial bool) {
	r.log.Info("upstream crashed under a request", "upstream", u.ID, "incarnation", u.Incarnation, "fingerprint", f.key(), "trial", trial)
	value, err := r.recordLocal(f, report{Crashes: []Crash{crashOf(u, trial)}})
	if err != nil {
		r.log.Error(err, "crash report cannot be published")
		return
	}
	payload, err := msgpack.Marshal(&reportCall{Fingerprint: f, Report: value})
	if err != nil {
		r.log.Error(err, "crash report cannot be sent to other hosts directly")
		return
	}
	r.pushReport(ctx, payload)
}

func (r *Registry) pushReport(ctx context.Context, payload []byte) {
	self := r.exchange.Self().ID
	hosts := lo.Filter(r.exchange.Hosts(), func(h peer.Host, _ int) bool { return h.ID != self && h.State == peer.StateAlive })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range hosts[:min(len(hosts), reportFanout)] {
		calls.Go(func() {
			// A host that misses the call receives the report through the peer exchange.
			_, _ = r.exchange.Call(ctx, h.ID, methodReport, payload)
		})
	}
	calls.Wait()
}

// RecordSuccess records that a request finished, which rules it out as the cause
// of the crashes known so far.
func (r *Registry) RecordSuccess(f Fingerprint) {
	r.mu.Lock()
	rec, ok := r.requests[f]
	if !ok {
		r.mu.Unlock()
		return
	}
	ruledOut := lo.Map(r.attributableCrashes(f, rec), func(c Crash, _ int) string { return c.Process })
	r.mu.Unlock()
	if len(ruledOut) == 0 {
		return
	}
	if _, err := r.recordLocal(f, report{RuledOut: ruledOut}); err != nil {
		r.log.Error(err, "success of a request cannot be published")
	}
}

// handleReport is the peer.Handler of methodReport.
func (r *Registry) handleReport(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var p reportCall
	var update report
	if err := msgpack.Unmarshal(payload, &p); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "crash report cannot be read")
	}
	if err := msgpack.Unmarshal(p.Report, &update); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "crash report cannot be read")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeReport(p.Fingerprint, update)
	return nil, nil
}
