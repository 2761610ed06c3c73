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
		{"nothing to choose from", Request{}, nil, -1},
		{"the emptier one", Request{}, []Replica{{ID: "a", Slots: 8, InFlight: 4}, {ID: "b", Slots: 8, InFlight: 1}}, 1},
		{"other hosts' load counts", Request{}, []Replica{{ID: "a", Slots: 8, Others: 6}, {ID: "b", Slots: 8, InFlight: 3}}, 1},
		{"the faster one until it is full", Request{}, []Replica{{ID: "a", Slots: 8, InFlight: 7, Pace: 1}, {ID: "b", Slots: 8, Pace: 1.3}}, 0},
		{"not a slow one while others have places", Request{}, []Replica{{ID: "a", Slots: 8, Pace: 4}, {ID: "b", Slots: 8, InFlight: 7, Pace: 1}}, 1},
		{"no full one", Request{}, []Replica{{ID: "a", Slots: 2, InFlight: 2}}, -1},
		{"a full one for a request that may queue", Request{Queue: true}, []Replica{{ID: "a", Slots: 2, InFlight: 2}}, 0},
		{"no draining one", Request{}, []Replica{{ID: "a", Draining: true}}, -1},
		{"none that refused just now", Request{}, []Replica{{ID: "a", RetryAt: now.Add(time.Millisecond)}}, -1},
		{"one whose pause is over", Request{}, []Replica{{ID: "a", RetryAt: now}}, 0},
		{"one that failed the request comes last", Request{Avoid: map[string]bool{"a": true}}, []Replica{{ID: "a"}, {ID: "b", InFlight: 9}}, 1},
		{"but it comes", Request{Avoid: map[string]bool{"a": true}}, []Replica{{ID: "a"}}, 0},
		{"a vanished one comes last", Request{}, []Replica{{ID: "a", Missing: true}, {ID: "b", InFlight: 5}}, 1},
		{"no old weights", Request{MinVersion: 3}, []Replica{{ID: "a", Version: 2}, {ID: "b", Version: 3, InFlight: 2}}, 1},
		{"only the version of the text", Request{Version: 3}, []Replica{{ID: "a", Version: 4}, {ID: "b", Version: 3, InFlight: 2}}, 1},
		{"the own failure domain breaks a tie", Request{Domain: "x"}, []Replica{{ID: "a", Domain: "y"}, {ID: "b", Domain: "x"}}, 1},
		{"a waiting connection breaks a tie", Request{}, []Replica{{ID: "a"}, {ID: "b", Connected: true}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Choose(test.request, test.replicas, now); got != test.want {
				t.Errorf("chose %d, want %d", got, test.want)
			}
		})
	}
}

// A job of 52 rollouts arrives at once at 8 engines of 8 slots, one of which is
// slow, one loads weights and one is nearly full with the work of another host.
func TestBurstFillsTheEnginesEvenly(t *testing.T) {
	replicas := make([]Replica, 8)
	for i := range replicas {
		replicas[i] = Replica{ID: string(rune('a' + i)), Slots: 8, Pace: 1}
	}
	replicas[0].Pace = 3.5
	replicas[1].RetryAt = now.Add(time.Second)
	replicas[2].Others = 6
	placed := 0
	for range 52 {
		if i := Choose(Request{}, replicas, now); i >= 0 {
			replicas[i].InFlight++
			placed++
		}
	}
	if placed != 50 {
		t.Errorf("%d of 50 places were used", placed)
	}
	if replicas[1].InFlight != 0 || replicas[2].InFlight != 2 {
		t.Errorf("the loading engine got %d, the one with two places %d", replicas[1].InFlight, replicas[2].InFlight)
	}
	first := Replica{ID: "a", Slots: 8, Pace: 3.5}
	if i := Choose(Request{}, []Replica{first, {ID: "b", Slots: 8, InFlight: 7, Pace: 1}}, now); i != 1 {
		t.Error("the slow engine was used before the others were full")
	}
}
