package usage

import "time"

const (
	// readDelay is how long after its end a window is read. By then the hosts have
	// written their counts: a request counts at most 1.5 s after it began, a write
	// begins within 0.5 s, or 1.85 s with 370 hosts, and takes some 10 ms.
	readDelay = 4 * time.Second
	// incompleteDelay is the same while a host is unreachable, which may still write its
	// counts. A report is due 10 s after the end, and needs some time itself.
	incompleteDelay = 7 * time.Second
	// latestDelay is how long after its end a window is decided although the hosts' counts
	// are still awaited, so that the report can be sent before it is due, 10 s after the end.
	latestDelay = 9 * time.Second
)

// Report is the decided report of a window.
type Report struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// State is the value of the state row.
type State struct {
	// Next is the window to decide next. All earlier ones are decided or given up.
	Next int64 `json:"next"`
	// Decided holds the decided reports that are not known to be accepted, oldest first.
	Decided []Report `json:"decided,omitempty"`
}

// Situation is what a plan depends on beside the state.
type Situation struct {
	// Now is the true time since the start of 1970.
	Now time.Duration
	// Length is the length of a window.
	Length time.Duration
	// Settled is false while the row store failed so recently that hosts may not have
	// written their counts since.
	Settled bool
	// Contact is the time in contact with the store since it was last settled. SettleTime is
	// the time in contact after which the hosts usually have written their counts.
	Contact, SettleTime time.Duration
	// Incomplete is true if a host is unreachable that may have counts to write.
	Incomplete bool
	// Waiting holds the windows whose report failed and is not to be repeated yet, and
	// Failures the number of failures of each report that failed.
	Waiting  map[int64]bool
	Failures map[int64]int
}

// Step is what the holder does next.
type Step struct {
	// State is the state without the windows that are given up.
	State State
	// GivenUp is the number of these windows, and FirstGivenUp the first one.
	GivenUp, FirstGivenUp int64
	// Decide is true if the window State.Next is to be decided.
	Decide bool
	// Send is the report to send; nil for none.
	Send *Report
}

// Plan returns the next step. It gives up the windows that ended more than giveUpAfter
// ago, decides windows in order, and sends the report with the fewest failures that is not
// waiting, of several the oldest. A report that was never tried is thus sent before any
// repeat: a control API that executes calls but answers after the timeout would otherwise get
// repeats of the same reports only, and newer ones would be late.
func Plan(state State, s Situation) Step {
	step := Step{State: State{Next: state.Next}}
	for _, report := range state.Decided {
		if s.Now > endOf(report.Window, s.Length)+giveUpAfter {
			step.giveUp(report.Window, 1)
			continue
		}
		step.State.Decided = append(step.State.Decided, report)
	}
	if oldest := windowAt(s.Now-giveUpAfter-1, s.Length); step.State.Next < oldest {
		step.giveUp(step.State.Next, oldest-step.State.Next)
		step.State.Next = oldest
	}
	delay := readDelay
	if s.Incomplete {
		delay = incompleteDelay
	}
	after := s.Now - endOf(step.State.Next, s.Length)
	// A window that was not decided by latestDelay because of an outage of the store is late
	// in any case, so the hosts' counts are awaited once more, but not after each failure.
	late := after - latestDelay
	step.Decide = s.Settled && after >= delay || late >= 0 && s.Contact >= min(late, s.SettleTime)
	for _, report := range step.State.Decided {
		if !s.Waiting[report.Window] && (step.Send == nil || s.Failures[report.Window] < s.Failures[step.Send.Window]) {
			step.Send = &report
		}
	}
	return step
}

// giveUp records that n windows from first on are given up.
func (s *Step) giveUp(first, n int64) {
	if s.GivenUp == 0 {
		s.FirstGivenUp = first
	}
	s.GivenUp += n
}
