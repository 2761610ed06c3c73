package load

import (
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

func newRecords() *executionRecords {
	return &executionRecords{runsByRecordID: map[string]int{}, runsByKey: map[string]int{}, producedTokens: map[string][]tokenRange{}}
}

// armRunOf returns an arm whose only caller made the request.
func armRunOf(r *request) *armRun {
	stats := newCallerStats(r.caller, time.Now(), time.Now())
	stats.add(r)
	return &armRun{experiment: &Experiment{}, generators: []*requestGenerator{{caller: r.caller, stats: stats}}}
}

func bookingRequest(end requestOutcome, keys ...string) *request {
	return &request{caller: Caller{Name: "app", Kind: BookingCall}, call: &scriptedCall{}, keys: keys, outcome: end}
}

func TestChecksOfRequests(t *testing.T) {
	cases := []struct {
		name  string
		check func(a *armRun, ev *executionRecords) Check
		req   *request
		traces, keys,
		want int
	}{
		{"ran once", (*armRun).checkAtMostOnce, bookingRequest(outcomeAnswered, "k"), 1, 1, 0},
		{"ran twice under two keys", (*armRun).checkAtMostOnce, bookingRequest(outcomeAnswered, "j", "k"), 2, 1, 1},
		{"key ran twice", (*armRun).checkAtMostOnce, bookingRequest(outcomeAnswered, "k"), 1, 2, 1},
		{"not run, absent", (*armRun).checkNotRun, bookingRequest(outcomeNotRun, "k"), 0, 0, 0},
		{"not run, present", (*armRun).checkNotRun, bookingRequest(outcomeNotRun, "k"), 1, 1, 1},
		{"unknown may be present", (*armRun).checkNotRun, bookingRequest(outcomeUnknown, "k"), 1, 1, 0},
		{"answered without a run", (*armRun).checkAnsweredRan, bookingRequest(outcomeAnswered, "k"), 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ev := newRecords()
			ev.runsByRecordID["t"] = c.traces
			ev.runsByKey["k"] = c.keys
			if got := c.check(armRunOf(c.req), ev); got.Violations != c.want {
				t.Errorf("%d violations, want %d: %v", got.Violations, c.want, got.Examples)
			}
		})
	}
}

func TestVersionLabelsAgainstEngineRecord(t *testing.T) {
	ev := newRecords()
	ev.addEngine([]standinapi.LogEntry{
		{Event: engine.EventRun, RequestID: "r", Generation: "g"},
		{Event: engine.EventSegment, RequestID: "r", Generation: "g", Version: 1, Offset: 0},
		{Event: engine.EventSegment, RequestID: "r", Generation: "g", Version: 2, Offset: 10},
		{Event: engine.EventCancel, RequestID: "r", Generation: "g", Version: 2, Offset: 15},
		{Event: engine.EventRun, RequestID: "s", Generation: "g", Offset: 12},
		{Event: engine.EventSegment, RequestID: "s", Generation: "g", Version: 2, Offset: 12},
		{Event: engine.EventFinish, RequestID: "s", Generation: "g", Version: 2, Offset: 20},
	})
	v := func(pairs ...int) []standinapi.VersionTokens {
		var list []standinapi.VersionTokens
		for i := 0; i < len(pairs); i += 2 {
			list = append(list, standinapi.VersionTokens{Version: uint64(pairs[i]), Tokens: pairs[i+1]})
		}
		return list
	}
	cases := []struct {
		name   string
		labels []standinapi.VersionTokens
		want   int
	}{
		{"correct labels over two runs", v(1, 10, 2, 10), 0},
		{"boundary one token late", v(1, 11, 2, 9), 1},
		{"older version throughout", v(1, 20), 1},
		{"longer than produced", v(1, 10, 2, 11), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var check Check
			checkSampleVersions(&check, ev, "draught", standinapi.DeliveredSample{ID: "i", Generation: "g", Versions: c.labels})
			if check.Violations != c.want {
				t.Errorf("%d violations, want %d: %v", check.Violations, c.want, check.Examples)
			}
		})
	}
}

func TestLongestGapBetweenAnswers(t *testing.T) {
	start := time.Unix(1000, 0)
	stats := newCallerStats(Caller{}, start, start)
	for _, at := range []time.Duration{1, 2, 7, 8} {
		stats.add(&request{outcome: outcomeAnswered, scheduled: start, done: start.Add(at * time.Second)})
	}
	stats.add(&request{outcome: outcomeUnknown, scheduled: start, done: start.Add(5 * time.Second)})
	if r := stats.report(start); r.LongestGapMillis != 5000 || r.GapAtMillis != 2000 {
		t.Errorf("gap of %d ms at %d ms, want 5000 ms at 2000 ms", r.LongestGapMillis, r.GapAtMillis)
	}
}
