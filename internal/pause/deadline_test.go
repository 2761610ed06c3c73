package pause

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestDeadline(t *testing.T) {
	tests := []struct {
		name string
		// ran is how long the machine runs before the check, and suspended how long it
		// is suspended.
		ran, suspended time.Duration
		want           bool
	}{
		{"before it", 2 * time.Second, 0, false},
		{"after it", 3 * time.Second, 0, true},
		{"suspended past it", time.Second, 5 * time.Second, true},
		{"suspended for less", time.Second, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, suspended := time.Now(), time.Duration(0)
				real := bootTime
				bootTime = func() time.Duration { return time.Since(began) + suspended }
				defer func() { bootTime = real }()
				d := DeadlineAfter(3 * time.Second)
				time.Sleep(test.ran)
				suspended = test.suspended
				if got := d.Passed(); got != test.want {
					t.Errorf("passed: %t, want %t", got, test.want)
				}
			})
		})
	}
}

// A request is received, the machine is suspended, and then the request is read, which
// says for how long its caller waits.
func TestDeadlineMovedAfterASuspension(t *testing.T) {
	began, suspended := time.Now(), time.Duration(0)
	real := bootTime
	bootTime = func() time.Duration { return time.Since(began) + suspended }
	defer func() { bootTime = real }()
	received := DeadlineAfter(0)
	suspended = 5 * time.Second
	if !received.Add(3 * time.Second).Passed() {
		t.Error("a caller that waited for 3 s of a suspension of 5 s counts as waiting")
	}
	if received.Add(6 * time.Second).Passed() {
		t.Error("a caller that waits for 6 s counts as gone after 5 s")
	}
}

func TestBootTimeRuns(t *testing.T) {
	before := bootTime()
	time.Sleep(5 * time.Millisecond)
	if passed := bootTime() - before; passed < 5*time.Millisecond || before == 0 {
		t.Errorf("the clock moved by %s in 5 ms", passed)
	}
}
