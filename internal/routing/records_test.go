package routing

import (
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

func stored(seq, block uint64) engineapi.CacheEvent {
	return engineapi.CacheEvent{Seq: seq, Stored: true, Block: block}
}

// evicted returns the event of the eviction of block 1.
func evicted(seq uint64) engineapi.CacheEvent {
	return engineapi.CacheEvent{Seq: seq, Block: 1}
}

func TestPrefixIndex(t *testing.T) {
	prompt := []uint64{1, 2, 3}
	page := func(events ...engineapi.CacheEvent) func(*prefixIndex, time.Time) {
		return func(x *prefixIndex, now time.Time) {
			x.apply(engineapi.CacheEvents{Incarnation: "i", Events: events}, now)
		}
	}
	send := func(x *prefixIndex, now time.Time) { x.recordSent(prompt, now) }
	restart := func(x *prefixIndex, now time.Time) { x.apply(engineapi.CacheEvents{Incarnation: "j"}, now) }
	type step struct {
		after time.Duration
		do    func(*prefixIndex, time.Time)
	}
	cases := map[string]struct {
		steps []step
		wait  time.Duration
		want  int
	}{
		"sent":                              {steps: []step{{0, send}}, want: 3},
		"sent long ago, never confirmed":    {steps: []step{{0, send}}, wait: 2 * time.Minute, want: 0},
		"sent and confirmed":                {steps: []step{{0, send}, {time.Second, page(stored(1, 1), stored(2, 2))}}, wait: time.Hour, want: 2},
		"stored by others":                  {steps: []step{{0, page(stored(1, 1), stored(2, 2), stored(3, 3))}}, wait: time.Hour, want: 3},
		"evicted":                           {steps: []step{{0, page(stored(1, 1), stored(2, 2), evicted(3))}}, want: 0},
		"evicted before the last request":   {steps: []step{{0, page(stored(1, 1))}, {0, send}, {time.Second, page(evicted(2))}}, want: 3},
		"evicted long after":                {steps: []step{{0, send}, {10 * time.Second, page(stored(1, 1), evicted(2))}}, want: 0},
		"an eviction may be lost in a gap":  {steps: []step{{0, page(stored(1, 1), stored(2, 2))}, {0, page(stored(9, 7))}}, wait: 2 * time.Minute, want: 0},
		"a gap alone proves no eviction":    {steps: []step{{0, page(stored(1, 1), stored(2, 2))}, {0, page(stored(9, 7))}}, wait: time.Second, want: 2},
		"events without a gap stay valid":   {steps: []step{{0, page(stored(1, 1), stored(2, 2))}, {0, page(stored(3, 7))}}, wait: time.Hour, want: 2},
		"repeated events change nothing":    {steps: []step{{0, page(stored(1, 1), evicted(2))}, {0, page(stored(1, 1))}}, want: 0},
		"a restarted replica holds nothing": {steps: []step{{0, page(stored(1, 1))}, {0, restart}}, want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x, now := newPrefixIndex(), time.Unix(0, 0)
			page()(x, now)
			for _, s := range tc.steps {
				now = now.Add(s.after)
				s.do(x, now)
			}
			if got := x.match(prompt, now.Add(tc.wait)); got != tc.want {
				t.Errorf("matches %d blocks, want %d", got, tc.want)
			}
		})
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	x, now := newPrefixIndex(), time.Unix(0, 0)
	for i := range uint64(maxBlocksPerReplica + 100) {
		x.recordSent([]uint64{i}, now)
	}
	if len(x.blocks) != maxBlocksPerReplica || x.lru.Len() != maxBlocksPerReplica {
		t.Errorf("%d blocks are tracked, want the limit", len(x.blocks))
	}
	if x.match([]uint64{0}, now) != 0 || x.match([]uint64{maxBlocksPerReplica + 99}, now) != 1 {
		t.Error("the least recently used blocks were not the ones dropped")
	}
}

func TestLoadEstimate(t *testing.T) {
	cases := map[string]struct {
		report engineapi.Load
		before int // this host's requests when the report was made
		now    int // this host's requests now
		age    time.Duration
		low    float64
		high   float64
	}{
		"no report counts the own":           {now: 3, low: 3, high: 3},
		"a fresh report counts others":       {report: engineapi.Load{Slots: 8, Running: 5}, before: 2, now: 2, low: 4.9, high: 5},
		"own requests since are added":       {report: engineapi.Load{Slots: 8, Running: 5}, before: 2, now: 6, low: 8.9, high: 9},
		"own requests that ended are gone":   {report: engineapi.Load{Slots: 8, Running: 5}, before: 5, now: 0, low: 0, high: 0},
		"an old report fades":                {report: engineapi.Load{Slots: 8, Running: 50}, now: 1, age: 30 * time.Second, low: 1, high: 1.2},
		"a report that lags counts as older": {report: engineapi.Load{Slots: 8, Running: 50, AgeMillis: 30000}, now: 1, low: 1, high: 1.2},
		"the waiting count too":              {report: engineapi.Load{Slots: 8, Running: 8, Waiting: 4}, low: 11.9, high: 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var e loadEstimate
			now := time.Unix(1000, 0)
			e.record(tc.before, now.Add(-time.Minute))
			e.record(tc.before, now)
			if tc.report.Slots > 0 {
				e.setReport(tc.report, now)
			}
			got := e.requests(tc.now, now.Add(tc.age))
			if got < tc.low || got > tc.high {
				t.Errorf("estimate %.2f, want %.1f to %.1f", got, tc.low, tc.high)
			}
		})
	}
}

// A replica that was down for long must get requests again within seconds of
// its recovery. With a backoff of up to 8 s the other replica of a pair got all
// requests, and callers were refused although half of the capacity was idle.
func TestRecoveredReplicaIsBackSoon(t *testing.T) {
	r := newReplica(membership.Upstream{ID: "a"}, 8)
	now := time.Now()
	for range 20 {
		r.attemptEnded(Failed, now, now)
	}
	if wait := r.view.RetryAt.Sub(now); wait > 3*time.Second {
		t.Errorf("backoff is %s, want at most 3s", wait)
	}
}
