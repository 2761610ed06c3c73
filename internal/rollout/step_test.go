package rollout

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

var advice = deployment.Trainer{Name: "advice", StalenessBound: 2, SchedulingGoal: deployment.MinimizeIdle, Share: 1, MaxInFlight: 64}

func TestStepFromRequestToAck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(2, advice)
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		req := stepRequest(3, 4)
		if status := h.do(t, "POST", "advice/steps/1", req, nil); status != 202 {
			t.Fatalf("create: status %d", status)
		}
		if status := h.do(t, "POST", "advice/steps/1", req, nil); status != 202 {
			t.Fatalf("repeated create: status %d", status)
		}
		if status := h.do(t, "POST", "advice/steps/1", stepRequest(2, 4), nil); status != 409 {
			t.Fatalf("create with other content: status %d", status)
		}
		first := h.fetch(t, 1)
		if len(first.Samples) != 12 {
			t.Fatalf("%d samples, want 12", len(first.Samples))
		}
		for _, s := range first.Samples {
			if s.Reward != float64(len(s.Text)) || len(s.Segments) != 1 || s.Segments[0].WeightVersion != 1 {
				t.Errorf("sample %+v has no reward or no weight version", s)
			}
		}
		if diff := cmp.Diff(first, h.fetch(t, 1)); diff != "" {
			t.Errorf("second fetch differs: %s", diff)
		}
		var progress trainerapi.StepProgress
		if status := h.do(t, "POST", "advice/steps/1/ack", nil, &progress); status != 200 || progress.State != trainerapi.StepAcknowledged {
			t.Errorf("ack: status %d, state %s", status, progress.State)
		}
	})
}

// A trainer may request later steps before it has the current one; earlier steps are generated
// first.
func TestStepsAskedForAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		for n := 3; n >= 1; n-- {
			h.do(t, "POST", fmt.Sprintf("advice/steps/%d", n), stepRequest(4, 2), nil)
		}
		seen := map[string]bool{}
		for n := 1; n <= 3; n++ {
			for _, s := range h.fetch(t, n).Samples {
				if seen[s.ID] {
					t.Errorf("sample %s is in two steps", s.ID)
				}
				seen[s.ID] = true
			}
		}
	})
}

// An acknowledged step leaves only its own row, and its number cannot be used again.
func TestAcknowledgedStepIsCleaned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		h := b.startHost(t, defaultPolicy())
		defer h.stop()
		h.do(t, "POST", "advice/steps/1", stepRequest(4, 2), nil)
		if status := h.do(t, "POST", "advice/steps/1/ack", nil, nil); status != 409 {
			t.Errorf("ack before delivery: status %d, want 409", status)
		}
		h.fetch(t, 1)
		h.do(t, "POST", "advice/steps/1/ack", nil, nil)
		time.Sleep(time.Second)
		if rows, objects := b.store.count(); rows != 1 || objects != 0 {
			t.Errorf("%d rows and %d objects are left, want 1 and 0", rows, objects)
		}
		if status := h.do(t, "GET", "advice/steps/1/samples", nil, nil); status != 409 {
			t.Errorf("fetch after the acknowledgement: status %d, want 409", status)
		}
		if status := h.do(t, "POST", "advice/steps/1", stepRequest(1, 1), nil); status != 409 {
			t.Errorf("create with a used number: status %d, want 409", status)
		}
	})
}

func TestRefusalsOfWrongInput(t *testing.T) {
	b := newTestCluster(1, advice)
	st := newStore(b.store, b.store)
	h := &testHost{api: &API{docs: newFakeSource(b.doc), store: st, versions: b.versions, meters: metrics.NewSet(), stopping: func() bool { return false }}}
	request := func(change func(*trainerapi.StepRequest)) trainerapi.StepRequest {
		req := stepRequest(2, 2)
		change(&req)
		return req
	}
	for _, test := range []struct {
		method, path string
		in           any
		status       int
		field        string
	}{
		{"POST", "other/steps/1", stepRequest(1, 1), 401, "Authorization"},
		{"POST", "advice/steps/x", stepRequest(1, 1), 400, "step"},
		{"POST", "advice/steps/1", "text", 400, "body"},
		{"POST", "advice/steps/1", request(func(r *trainerapi.StepRequest) { r.Groups = nil }), 400, "groups"},
		{"POST", "advice/steps/1", request(func(r *trainerapi.StepRequest) { r.GroupSize = 0 }), 400, "group_size"},
		{"POST", "advice/steps/1", request(func(r *trainerapi.StepRequest) { r.MaxTokens = 0 }), 400, "max_tokens"},
		{"POST", "advice/steps/1", request(func(r *trainerapi.StepRequest) { r.GroupsNeeded = 3 }), 400, "groups_needed"},
		{"POST", "advice/steps/1", request(func(r *trainerapi.StepRequest) { r.Groups[1].Messages = nil }), 400, "groups.messages"},
		{"GET", "advice/steps/7", nil, 404, "step"},
		{"GET", "advice/steps/7/samples?wait=x", nil, 400, "wait"},
		{"GET", "advice/other", nil, 404, "path"},
		{"PUT", "advice/steps/1", nil, 404, "path"},
	} {
		var refusal failure.Error
		status := h.do(t, test.method, test.path, test.in, &refusal)
		if status != test.status || refusal.Field != test.field || refusal.Outcome != failure.NotRun {
			t.Errorf("%s %s: status %d, field %q, outcome %q, want %d, %q and not-run",
				test.method, test.path, status, refusal.Field, refusal.Outcome, test.status, test.field)
		}
	}
}

// Guards against an owner whose document is older than the acceptance of a step: it generated
// the whole step by the trainer's former settings.
func TestStepIsGeneratedByTheDocumentOfItsAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(1, advice)
		b.doc.Version = 1
		var mu sync.Mutex
		models := map[string]int{}
		b.engines.length = func(req engineapi.ChatRequest) int {
			mu.Lock()
			defer mu.Unlock()
			models[req.Model]++
			return 20
		}
		owner, other := b.startHost(t, defaultPolicy()), b.startHostWithoutLease(t, defaultPolicy())
		defer owner.stop()
		defer other.stop()
		next := testDocument(advice)
		next.Version = 2
		next.EnginePools["pool"] = deployment.EnginePool{Name: "pool", Model: "next"}
		other.docs.doc.Store(next)
		if status := other.do(t, "POST", "advice/steps/1", stepRequest(2, 3), nil); status != 202 {
			t.Fatalf("create: status %d", status)
		}
		time.Sleep(2 * time.Second)
		owner.docs.doc.Store(next)
		other.fetch(t, 1)
		mu.Lock()
		defer mu.Unlock()
		if diff := cmp.Diff(map[string]int{"next": 6}, models); diff != "" {
			t.Errorf("generations by model: %s", diff)
		}
	})
}
