package placement

import (
	"math"
	"time"
)

// Load pattern: 15% of the machines work 2.5 times slower at any moment, others each
// 0.6 s, and now and then one does for 8 s. A request lasts a fraction of a second, so a
// replica that is left because of a short spell is fast again when others have filled up.
const (
	// slownessTime is the time constant of the average of the work time. Short spells
	// give an average of 1.23 with a standard deviation of 0.19.
	slownessTime = 2500 * time.Millisecond
	// slowFrom and slowUntil are the averages at which a machine begins and ceases to
	// count as slow. A long spell of 2.5 reaches slowFrom after 1.7 s.
	slowFrom  = 1.85
	slowUntil = 1.6
	// sampleSpan is the longest time for which one report stands. It is the length of a
	// short spell, so that one report after a long silence isn't taken for a long spell.
	sampleSpan = 600 * time.Millisecond
)

// SlownessFilter tells long slow spells of a machine from short ones, by the work times
// that its replica reports. The zero value is a machine that has reported nothing.
type SlownessFilter struct {
	// mean is the average work time beyond the usual one, relative to it, at the time at.
	mean float64
	at   time.Time
	slow bool
}

// Known reports whether the machine has reported its work time.
func (f *SlownessFilter) Known() bool { return !f.at.IsZero() }

// Observe records a reported work time, relative to the usual one.
func (f *SlownessFilter) Observe(workTime float64, now time.Time) {
	if !f.Known() {
		f.at = now.Add(-sampleSpan)
	}
	span := max(0, now.Sub(f.at))
	f.mean = decay(f.mean, max(0, span-sampleSpan))
	weight := 1 - math.Exp(-min(span, sampleSpan).Seconds()/slownessTime.Seconds())
	f.mean += weight * (workTime - 1 - f.mean)
	f.at = now
	f.slow = 1+f.mean >= slowFrom || f.slow && 1+f.mean >= slowUntil
}

// Slowdown returns how many times longer work takes in the present long spell; 1 if
// there is none. Without reports it goes back to 1.
func (f *SlownessFilter) Slowdown(now time.Time) float64 {
	if mean := decay(f.mean, max(0, now.Sub(f.at)-sampleSpan)); f.slow && 1+mean >= slowUntil {
		return 1 + mean
	}
	return 1
}

func decay(value float64, span time.Duration) float64 {
	return value * math.Exp(-span.Seconds()/slownessTime.Seconds())
}
