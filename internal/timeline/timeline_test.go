package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The lines of a job from the logs of two hosts, in the order of the hosts. Rollout r2
// decides: it is refused once, waits, is stuck in a queue, is cut after some events,
// waits for its score, and is listed last; r3 is listed after the end.
const log = `
  1.0 a time=2026-01-01T00:00:00.000Z level=INFO msg="job accepted" job=j1 owner=b version=7 rollouts=3 model=m step=4 min_version=3
  9.0 a time=2026-01-01T00:00:07.000Z level=INFO msg="job ended" job=j1
time=2026-01-01T00:00:00.100Z level=INFO msg="rollout sent" job=j1 rollout=r1 engine=e1
time=2026-01-01T00:00:00.100Z level=INFO msg="rollout sent" job=j1 rollout=r2 engine=e1
time=2026-01-01T00:00:00.200Z level=INFO msg="engine refused a rollout" job=j1 rollout=r2 engine=e1 error="queue_full: no \"slot\""
time=2026-01-01T00:00:00.500Z level=INFO msg="rollout sent" job=j1 rollout=r2 engine=e2
time=2026-01-01T00:00:00.900Z level=INFO msg="run of a rollout ended early" job=j1 rollout=r2 engine=e2 events=0 new=0
time=2026-01-01T00:00:00.900Z level=INFO msg="rollout sent" job=j1 rollout=r2 engine=e3
time=2026-01-01T00:00:02.900Z level=INFO msg="run of a rollout ended early" job=j1 rollout=r2 engine=e3 events=30 new=30
time=2026-01-01T00:00:02.900Z level=INFO msg="rollout sent" job=j1 rollout=r2 engine=e1 after=30
time=2026-01-01T00:00:02.000Z level=INFO msg="results listed" job=j1 from=0 to=1 total=3 rollouts=r1
time=2026-01-01T00:00:06.100Z level=INFO msg="rollout scored" job=j1 rollout=r2 waited=1.1s took=1.2s
time=2026-01-01T00:00:06.200Z level=INFO msg="results listed" job=j1 from=1 to=2 total=3 rollouts=r2
time=2026-01-01T00:00:07.100Z level=INFO msg="results listed" job=j1 from=2 to=3 total=3 rollouts=r3
time=2026-01-01T00:00:08.000Z level=INFO msg="rollout sent" job=other rollout=r9 engine=e1
not a log line
`

func TestRead(t *testing.T) {
	steps, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	want := []Step{{
		Job: "j1", Model: "m", Number: "4", Rollouts: "3", Accepted: start, Ended: start.Add(7 * time.Second), Owners: 1, Rollout: "r2",
		Waiting: 400 * time.Millisecond, Lost: 500 * time.Millisecond, Generating: 4 * time.Second,
		Scoring: 1200 * time.Millisecond, Writing: 100 * time.Millisecond, Read: 800 * time.Millisecond, Refusals: 1, Moves: 2,
	}}
	if diff := cmp.Diff(want, steps); diff != "" {
		t.Error(diff)
	}
	s := steps[0]
	if sum := s.Waiting + s.Lost + s.Generating + s.Scoring + s.Writing + s.Read; sum != s.Ended.Sub(s.Accepted) {
		t.Errorf("the parts add up to %s, want %s", sum, s.Ended.Sub(s.Accepted))
	}
}

func TestReadOpenJob(t *testing.T) {
	steps, err := Read(strings.NewReader(`time=2026-01-01T00:00:00Z level=INFO msg="job accepted" job=j1 model=m step=0 rollouts=2`))
	if err != nil || len(steps) != 1 || steps[0].Rollout != "" || !steps[0].Ended.IsZero() {
		t.Errorf("got %+v, %v, want one open job", steps, err)
	}
}

func FuzzParseLine(f *testing.F) {
	for text := range strings.SplitSeq(log, "\n") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLine(text); ok && l.message == "" {
			t.Error("a line without a message counts")
		}
	})
}
