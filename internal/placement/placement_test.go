package placement

import (
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestChoose(t *testing.T) {
	tests := []struct {
		name     string
		request  Request
		replicas []Replica
		want     int
	}{
		{"no replicas", Request{}, nil, -1},
		{"the less loaded one", Request{}, []Replica{{ID: "a", Slots: 8, InFlight: 4}, {ID: "b", Slots: 8, InFlight: 1}}, 1},
		{"other hosts' load counts", Request{}, []Replica{{ID: "a", Slots: 8, OtherInFlight: 6}, {ID: "b", Slots: 8, InFlight: 3}}, 1},
		{"the faster one until it is full", Request{}, []Replica{{ID: "a", Slots: 8, InFlight: 7, Slowdown: 1}, {ID: "b", Slots: 8, Slowdown: 1.3}}, 0},
		{"not a slow one while others have free slots", Request{}, []Replica{{ID: "a", Slots: 8, Slowdown: 4}, {ID: "b", Slots: 8, InFlight: 7, Slowdown: 1}}, 1},
		{"no full one", Request{}, []Replica{{ID: "a", Slots: 2, InFlight: 2}}, -1},
		{"a full one for a request that may queue", Request{AllowQueue: true}, []Replica{{ID: "a", Slots: 2, InFlight: 2}}, 0},
		{"no draining one", Request{}, []Replica{{ID: "a", Draining: true}}, -1},
		{"none that refused a moment ago", Request{}, []Replica{{ID: "a", RetryAt: now.Add(time.Millisecond)}}, -1},
		{"one whose backoff has ended", Request{}, []Replica{{ID: "a", RetryAt: now}}, 0},
		{"one that failed the request comes last", Request{Avoid: map[string]bool{"a": true}}, []Replica{{ID: "a"}, {ID: "b", InFlight: 9}}, 1},
		{"one that failed the request, if it is the only one", Request{Avoid: map[string]bool{"a": true}}, []Replica{{ID: "a"}}, 0},
		{"a missing one comes last", Request{}, []Replica{{ID: "a", Missing: true}, {ID: "b", InFlight: 5}}, 1},
		{"no old weights", Request{MinVersion: 3}, []Replica{{ID: "a", Version: 2}, {ID: "b", Version: 3, InFlight: 2}}, 1},
		{"only the required version", Request{Version: 3}, []Replica{{ID: "a", Version: 4}, {ID: "b", Version: 3, InFlight: 2}}, 1},
		{"the same failure domain breaks a tie", Request{Domain: "x"}, []Replica{{ID: "a", Domain: "y"}, {ID: "b", Domain: "x"}}, 1},
		{"an idle connection breaks a tie", Request{}, []Replica{{ID: "a"}, {ID: "b", HasIdleConnection: true}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Choose(test.request, test.replicas, now); got != test.want {
				t.Errorf("chose %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against uneven placement of a burst: a job of 52 rollouts arrives at 8
// engines of 8 slots. One engine is slow, one loads weights, and one has only two
// free slots because of another host's requests.
func TestBurstFillsTheEnginesEvenly(t *testing.T) {
	replicas := make([]Replica, 8)
	for i := range replicas {
		replicas[i] = Replica{ID: string(rune('a' + i)), Slots: 8, Slowdown: 1}
	}
	replicas[0].Slowdown = 3.5
	replicas[1].RetryAt = now.Add(time.Second)
	replicas[2].OtherInFlight = 6
	placed := 0
	for range 52 {
		if i := Choose(Request{}, replicas, now); i >= 0 {
			replicas[i].InFlight++
			placed++
		}
	}
	if placed != 50 {
		t.Errorf("%d of 50 slots were used", placed)
	}
	if replicas[1].InFlight != 0 || replicas[2].InFlight != 2 {
		t.Errorf("the loading engine got %d rollouts, the one with two free slots %d", replicas[1].InFlight, replicas[2].InFlight)
	}
	first := Replica{ID: "a", Slots: 8, Slowdown: 3.5}
	if i := Choose(Request{}, []Replica{first, {ID: "b", Slots: 8, InFlight: 7, Slowdown: 1}}, now); i != 1 {
		t.Error("the slow engine was used before the others were full")
	}
}

func TestUnansweredWindow(t *testing.T) {
	tests := []struct {
		name    string
		request Request
		replica Replica
		want    int
	}{
		{"a quarter of the slots", Request{LimitUnanswered: true}, Replica{Slots: 16, InFlight: 4, Unanswered: 4}, -1},
		{"below it", Request{LimitUnanswered: true}, Replica{Slots: 16, InFlight: 12, Unanswered: 3}, 0},
		{"also for a request that may queue", Request{LimitUnanswered: true, AllowQueue: true}, Replica{Slots: 16, InFlight: 16, Unanswered: 4}, -1},
		{"at least one", Request{LimitUnanswered: true}, Replica{Slots: 1}, 0},
		{"not for other requests", Request{}, Replica{Slots: 16, InFlight: 4, Unanswered: 4}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Choose(test.request, []Replica{test.replica}, now); got != test.want {
				t.Errorf("chose %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against engines that run out of memory, which ends all their rollouts, and
// against an estimate of memory that keeps a rollout from every engine.
func TestMemoryOfEngines(t *testing.T) {
	req := Request{Tokens: 3000, TokenCapacity: 10_000}
	tests := []struct {
		name     string
		request  Request
		replicas []Replica
		want     int
	}{
		{"no engine that this host has filled", req, []Replica{{ID: "a", Slots: 6, InFlight: 2, Tokens: 8000}, {ID: "b", Slots: 6, InFlight: 5, Tokens: 5000}}, 1},
		{"an engine that becomes exactly full", req, []Replica{{ID: "a", Slots: 6, InFlight: 2, Tokens: 7000}}, 0},
		{"wait if this host has filled all", req, []Replica{{ID: "a", Slots: 6, InFlight: 2, Tokens: 7001}}, -1},
		{"wait also if the request may queue", Request{Tokens: 3000, TokenCapacity: 10_000, AllowQueue: true}, []Replica{{ID: "a", Slots: 6, InFlight: 2, Tokens: 7001}}, -1},
		{"not one that other hosts seem to have filled", req, []Replica{{ID: "a", Slots: 6, OtherInFlight: 3}, {ID: "b", Slots: 6, InFlight: 2, OtherInFlight: 1.2, Tokens: 200}}, 1},
		{"one that other hosts seem to have filled, if no other has room", req, []Replica{{ID: "a", Slots: 6, OtherInFlight: 5}, {ID: "b", Slots: 6, InFlight: 2, Tokens: 9000}}, 0},
		{"a seemingly full one before one that failed the request", Request{Tokens: 3000, TokenCapacity: 10_000, Avoid: map[string]bool{"b": true}}, []Replica{{ID: "b", Slots: 6}, {ID: "a", Slots: 6, OtherInFlight: 4}}, 1},
		{"a request larger than the memory at an engine without others", Request{Tokens: 12_000, TokenCapacity: 10_000}, []Replica{{ID: "a", Slots: 6, InFlight: 1, Tokens: 100}, {ID: "b", Slots: 6}}, 1},
		{"no capacity known", Request{Tokens: 3000}, []Replica{{ID: "a", Slots: 6, InFlight: 2, Tokens: 90_000}}, 0},
		{"no tokens known", Request{TokenCapacity: 10}, []Replica{{ID: "a", Slots: 6, InFlight: 2, Tokens: 90_000}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Choose(test.request, test.replicas, now); got != test.want {
				t.Errorf("chose %d, want %d", got, test.want)
			}
		})
	}
}
