package usage

import (
	"testing"
	"time"
)

const length = 5 * time.Second

func TestPlan(t *testing.T) {
	at := func(window int64, after time.Duration) time.Duration { return endOf(window, length) + after }
	decided := func(windows ...int64) []Report {
		reports := make([]Report, 0, len(windows))
		for _, window := range windows {
			reports = append(reports, Report{Window: window})
		}
		return reports
	}
	for _, test := range []struct {
		name      string
		state     State
		situation Situation
		// next, decide, send (zero for none) and givenUp are the expected step.
		next    int64
		decide  bool
		send    int64
		givenUp int64
	}{
		{"too early", State{Next: 100}, Situation{Now: at(100, readDelay-1), Settled: true}, 100, false, 0, 0},
		{"due", State{Next: 100}, Situation{Now: at(100, readDelay), Settled: true}, 100, true, 0, 0},
		{"after an outage of the store the hosts' counts are awaited", State{Next: 100}, Situation{Now: at(100, readDelay)}, 100, false, 0, 0},
		{"the counts of an unreachable host are awaited", State{Next: 100}, Situation{Now: at(100, readDelay), Settled: true, Incomplete: true}, 100, false, 0, 0},
		{"but not for long", State{Next: 100}, Situation{Now: at(100, incompleteDelay), Settled: true, Incomplete: true}, 100, true, 0, 0},
		{"the hosts' counts are awaited until the report would be late", State{Next: 100}, Situation{Now: at(100, latestDelay-1), Contact: time.Hour, SettleTime: time.Second}, 100, false, 0, 0},
		{"but no longer", State{Next: 100}, Situation{Now: at(100, latestDelay), SettleTime: time.Second}, 100, true, 0, 0},
		{"also if a host is unreachable", State{Next: 100}, Situation{Now: at(100, latestDelay), Incomplete: true, SettleTime: time.Second}, 100, true, 0, 0},
		{"the decision may begin late if the store was in contact", State{Next: 100}, Situation{Now: at(100, latestDelay+time.Second), Contact: time.Second, SettleTime: 2 * time.Second}, 100, true, 0, 0},
		{"after an outage to beyond that time they are awaited", State{Next: 100}, Situation{Now: at(100, latestDelay+3*time.Second), Contact: time.Second, SettleTime: 2 * time.Second}, 100, false, 0, 0},
		{"but only once", State{Next: 100}, Situation{Now: at(100, latestDelay+3*time.Second), Contact: 2 * time.Second, SettleTime: 2 * time.Second}, 100, true, 0, 0},
		{"of the reports that were never tried the oldest is sent first", State{Next: 100, Decided: decided(98, 99)}, Situation{Now: at(100, 0), Settled: true}, 100, false, 98, 0},
		{"a report that was never tried is sent before a repeat", State{Next: 100, Decided: decided(97, 98, 99)}, Situation{Now: at(100, 0), Settled: true, Failures: map[int64]int{97: 1}}, 100, false, 98, 0},
		{"of repeats the one with the fewest failures is sent first", State{Next: 100, Decided: decided(97, 98, 99)}, Situation{Now: at(100, 0), Settled: true, Failures: map[int64]int{97: 3, 98: 1, 99: 2}}, 100, false, 98, 0},
		{"of repeats with as many failures the oldest is sent first", State{Next: 100, Decided: decided(98, 99)}, Situation{Now: at(100, 0), Settled: true, Failures: map[int64]int{98: 2, 99: 2}}, 100, false, 98, 0},
		{"a report that failed does not hold back the next", State{Next: 100, Decided: decided(98, 99)}, Situation{Now: at(100, 0), Settled: true, Waiting: map[int64]bool{98: true}}, 100, false, 99, 0},
		{"a takeover after 20 s leaves no gap", State{Next: 96, Decided: decided(95)}, Situation{Now: at(100, 0), Settled: true}, 96, true, 95, 0},
		{"old reports are given up", State{Next: 100, Decided: decided(87, 88)}, Situation{Now: at(87, giveUpAfter+1)}, 100, false, 88, 1},
		{"old windows are given up", State{Next: 10}, Situation{Now: at(100, 1), Settled: true}, 89, true, 0, 79},
		{"a window that ended 60 s ago is not given up", State{Next: 88}, Situation{Now: at(88, giveUpAfter), Settled: true}, 88, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.situation.Length = length
			step := Plan(test.state, test.situation)
			send := int64(0)
			if step.Send != nil {
				send = step.Send.Window
			}
			if step.State.Next != test.next || step.Decide != test.decide || send != test.send || step.GivenUp != test.givenUp {
				t.Errorf("the step is %+v", step)
			}
		})
	}
}
