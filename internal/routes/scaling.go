package routes

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// maxBootTime is the longest valid Scaling.BootTime.
const maxBootTime = time.Hour

// Scaling says within which limits this system orders replicas of a service.
type Scaling struct {
	// Min and Max bound the number of replicas in each failure domain, regular and spot
	// replicas together.
	Min, Max int
	// BootTime is the time from an order until the new replicas serve.
	BootTime time.Duration
	// SpotPrice is the price of a spot replica as a fraction of that of a regular one;
	// zero means that no spot replicas are ordered.
	SpotPrice float64
	// Prices is the price of a regular replica per second, by failure domain. Replicas are
	// ordered in these failure domains only.
	Prices map[string]float64
}

// Domains returns the failure domains in which replicas are ordered, sorted by name.
func (s *Scaling) Domains() []string { return slices.Sorted(maps.Keys(s.Prices)) }

// HasSpot reports whether spot replicas are ordered.
func (s *Scaling) HasSpot() bool { return s.SpotPrice > 0 }

// Validate returns an error of kind InvalidDocument if the limits contradict each other
// or can't be met.
func (s *Scaling) Validate(service string) error {
	invalid := func(format string, args ...any) error {
		return failure.New(failure.InvalidDocument, "", "scaling of service "+service+": "+format, args...)
	}
	isPrice := func(p float64) bool { return p >= 0 && !math.IsInf(p, 1) }
	switch {
	case s.Min < 0:
		return invalid("min is %d, want at least 0", s.Min)
	case s.Max < 1:
		return invalid("max is %d, so no replica can be ordered; want at least 1", s.Max)
	case s.Min > s.Max:
		return invalid("min %d is above max %d", s.Min, s.Max)
	case s.BootTime < 0 || s.BootTime > maxBootTime:
		return invalid("boot_s is %v s, want 0 to %v s", s.BootTime.Seconds(), maxBootTime.Seconds())
	case len(s.Prices) == 0:
		return invalid("zone_prices names no failure domain, so no replica can be ordered")
	case !isPrice(s.SpotPrice):
		return invalid("spot_price is %v, want a finite number that is not negative", s.SpotPrice)
	}
	for _, domain := range s.Domains() {
		if domain == "" {
			return invalid("zone_prices has a failure domain without a name")
		}
		if !isPrice(s.Prices[domain]) {
			return invalid("the price in %.60q is %v, want a finite number that is not negative", domain, s.Prices[domain])
		}
	}
	return nil
}
