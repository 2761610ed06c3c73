package placement

import (
	"testing"
	"time"
)

// observe feeds latencies each 100 ms for a duration and returns the time of the last.
func observe(o *Observations, from time.Time, d time.Duration, latency, workTime float64) time.Time {
	at := from
	for ; at.Before(from.Add(d)); at = at.Add(100 * time.Millisecond) {
		o.ObserveLatency(time.Duration(latency*float64(time.Second)), at)
		if workTime > 0 {
			o.ObserveWorkTime(workTime, at)
		}
	}
	return at
}

// Guards against choices by chance: by which calls a host has sent, by one answer after a
// silence or in the first spell that is seen, and by a short slow spell of an engine; and
// against a replica that is always slow and not avoided.
func TestEstimateOfSpeed(t *testing.T) {
	for _, test := range []struct {
		name     string
		rollout  bool
		latency  float64
		workTime float64
		d        time.Duration
		want     float64
	}{
		{"small difference of a service", false, 0.15, 0, 5 * time.Second, 1},
		{"service that is always slow", false, 0.3, 0, 5 * time.Second, 3},
		{"first slow spell of a service", false, 0.3, 0, time.Second, 1},
		{"one slow answer of a service", false, 0.3, 0, time.Millisecond, 1},
		{"small difference of an engine without work times", true, 0.15, 0, 5 * time.Second, 1.5},
		{"one slow answer of an engine without work times", true, 0.3, 0, time.Millisecond, 3},
		{"small difference of an engine with work times", true, 0.15, 1, 5 * time.Second, 1},
		{"short spell of an engine with work times", true, 0.25, 2.5, 600 * time.Millisecond, 1},
		{"events that are slow at usual work times", true, 0.3, 1, 5 * time.Second, 3},
	} {
		var usual [2]Observations
		var slow Observations
		for i := range usual {
			observe(&usual[i], now, 5*time.Second, 0.1, 0)
		}
		end := observe(&slow, now.Add(5*time.Second-test.d), test.d, test.latency, test.workTime)
		all := []*Observations{&usual[0], &usual[1], &slow}
		medians := MedianLatencies(all, func(o *Observations) *Observations { return o }, end)
		if got := slow.Estimate(test.rollout, medians, end).Slowdown; got < test.want-0.01 || got > test.want+0.01 {
			t.Errorf("%s: slowdown is %.2f, want %.2f", test.name, got, test.want)
		}
	}
}

// Guards against hosts that wait after an overload that is over: they send nothing, so no
// report corrects the average.
func TestRoomIsDecidedByTheLastReport(t *testing.T) {
	var o Observations
	at := now
	for range 50 {
		o.ObserveLoad(40, 0, at)
		at = at.Add(100 * time.Millisecond)
	}
	choose := func(load int) int {
		o.ObserveLoad(load, 0, at)
		e := o.Estimate(false, Latencies{}, at)
		return Choose(Request{AllowQueue: true}, []Replica{{ID: "a", Slots: 6, OtherInFlight: e.OtherInFlight, OtherDrift: e.OtherDrift, Slowdown: e.Slowdown}}, at)
	}
	if got := choose(40); got != -1 {
		t.Errorf("chose %d during the overload", got)
	}
	if got := choose(2); got != 0 {
		t.Errorf("chose %d after the overload", got)
	}
}
