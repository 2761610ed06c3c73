package load

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// scriptedCall is a call whose attempts return the given results in order.
type scriptedCall struct {
	results []attemptResult
	hosts   []string
	keys    []string
}

func (s *scriptedCall) recordID() string { return "t" }

func (s *scriptedCall) attempt(address, key string, _, _ time.Duration) attemptResult {
	s.hosts = append(s.hosts, address)
	s.keys = append(s.keys, key)
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

var (
	ok         = attemptResult{answered: true}
	notRun     = attemptResult{outcome: failure.NotRun, kind: failure.Draining, refused: true}
	unknown    = attemptResult{outcome: failure.Unknown, kind: kindNoAnswer}
	ran        = attemptResult{outcome: failure.Ran, kind: failure.UpstreamFailed, refused: true}
	invalid400 = attemptResult{outcome: failure.NotRun, kind: failure.InvalidRequest, refused: true}
)

func TestCallerKeepsKeyWhileRequestMayHaveRun(t *testing.T) {
	hosts := []entryapi.EntryHost{{Address: "a", KeyPrefix: "A."}, {Address: "b", KeyPrefix: "B."}}
	cases := []struct {
		name    string
		kind    CallKind
		key     KeyKind
		results []attemptResult
		want    requestOutcome
		// sameKey states for each attempt after the first whether it used the key of the
		// previous attempt.
		sameKey []bool
	}{
		{"answered at once", BookingCall, CallerKey, []attemptResult{ok}, outcomeAnswered, nil},
		{"caller key is kept", BookingCall, CallerKey, []attemptResult{notRun, unknown, ok}, outcomeAnswered, []bool{true, true}},
		{"home key is replaced after not-run", BookingCall, HomeKey, []attemptResult{notRun, ok}, outcomeAnswered, []bool{false}},
		{"home key is kept after unknown", BookingCall, HomeKey, []attemptResult{unknown, notRun, ok}, outcomeAnswered, []bool{true, true}},
		{"no key, retried after not-run", BookingCall, NoKey, []attemptResult{notRun, ok}, outcomeAnswered, []bool{true}},
		{"no key, not retried after unknown", BookingCall, NoKey, []attemptResult{unknown}, outcomeUnknown, nil},
		{"not-run after unknown stays unknown", BookingCall, CallerKey, []attemptResult{unknown, notRun, notRun}, outcomeUnknown, []bool{true, true}},
		{"all not-run", ServiceCall, NoKey, []attemptResult{notRun, notRun, notRun}, outcomeNotRun, []bool{true, true}},
		{"idempotent request retried after unknown", ServiceCall, NoKey, []attemptResult{unknown, ran, ok}, outcomeAnswered, []bool{true, true}},
		{"permanent refusal is not retried", ServiceCall, NoKey, []attemptResult{invalid400}, outcomeNotRun, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCall{results: c.results}
				caller := defaultCaller()
				caller.Kind, caller.Key, caller.MaxAttempts = c.kind, c.key, 3
				r := &request{caller: caller, call: s, scheduled: time.Now(), refusals: map[failure.Kind]int{}}
				r.run(t.Context(), func() []entryapi.EntryHost { return hosts })
				if r.outcome != c.want || len(s.results) != 0 {
					t.Errorf("ended %s with %d attempts unused, want %s", r.outcome, len(s.results), c.want)
				}
				var same []bool
				for i := 1; i < len(s.keys); i++ {
					same = append(same, s.keys[i] == s.keys[i-1])
				}
				if diff := cmp.Diff(c.sameKey, same); diff != "" {
					t.Errorf("keys %v: %s", s.keys, diff)
				}
				if c.key == HomeKey && !strings.HasPrefix(s.keys[0], "A.") {
					t.Errorf("first key %s lacks the prefix of host a", s.keys[0])
				}
			})
		})
	}
}
