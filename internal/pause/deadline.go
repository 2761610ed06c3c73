package pause

import (
	"time"

	"golang.org/x/sys/unix"
)

// Deadline is a point in time that comes nearer also while the machine is suspended,
// when the monotonic clock of package time stands still. Steps of the time of day
// don't move it. The zero value is no deadline.
type Deadline struct {
	at time.Time
	// boot is the same point on the clock that runs on while the machine is suspended.
	boot time.Duration
}

// bootTime returns the time since the machine started, with the time that it was
// suspended.
var bootTime = func() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without that clock a suspension is not noticed.
		return 0
	}
	return time.Duration(now.Nano())
}

// DeadlineAfter returns the deadline that passes in d from now.
func DeadlineAfter(d time.Duration) Deadline {
	return Deadline{at: time.Now().Add(d), boot: bootTime() + d}
}

// Add returns the deadline moved by a duration. A deadline that was taken at the start of some
// work and moved once its duration is known also counts a suspension in between.
func (d Deadline) Add(by time.Duration) Deadline {
	return Deadline{at: d.at.Add(by), boot: d.boot + by}
}

// IsZero reports whether d is no deadline.
func (d Deadline) IsZero() bool { return d.at.IsZero() }

// Time returns the deadline on the monotonic clock.
func (d Deadline) Time() time.Time { return d.at }

// Passed reports whether the deadline has passed.
func (d Deadline) Passed() bool { return !time.Now().Before(d.at) || bootTime() >= d.boot }
