package fleet

import "time"

const (
	// spreadMaxAge is the largest age of a load report that counts in a Spread.
	spreadMaxAge = 5 * time.Second
	// minSpreadMean is the smallest mean, in requests per replica, for which a Spread is
	// computed. With less, chance alone makes the busiest replica several times as busy.
	minSpreadMean = 2.0
)

// Spread shows how evenly the replicas of services are used. Each field is the largest of
// all services, and 0 if no service has enough requests to tell.
type Spread struct {
	// Sent is the number of requests that this host sent to the busiest replica in the
	// last seconds, relative to the mean of its service. Engines don't count: each owner
	// of jobs fills an arc of them first.
	Sent float64
	// Load is the reported load of the busiest replica relative to the mean of its
	// service.
	Load float64
	// Slow is the number of replicas of all services in a long slow spell.
	Slow int
}

// Spread returns the present spread.
func (f *Fleet) Spread() Spread {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	sent, load := map[string][]float64{}, map[string][]float64{}
	var s Spread
	for _, m := range f.members {
		if m.draining() || m.expired(now) {
			continue
		}
		if len(m.Models) == 0 {
			sent[m.Service] = append(sent[m.Service], m.sent.perSecond(now)*demandWindow.Seconds())
		}
		if age := m.observed.ReportAge(now); m.hasReport && age < spreadMaxAge {
			load[m.Service] = append(load[m.Service], float64(m.reported))
		}
		if m.observed.Slow(now) {
			s.Slow++
		}
	}
	for _, counts := range sent {
		s.Sent = max(s.Sent, busiestToMean(counts))
	}
	for _, counts := range load {
		s.Load = max(s.Load, busiestToMean(counts))
	}
	return s
}

// busiestToMean returns the largest of the counts relative to their mean; 0 if the mean is
// below minSpreadMean.
func busiestToMean(counts []float64) float64 {
	largest, sum := 0.0, 0.0
	for _, c := range counts {
		largest, sum = max(largest, c), sum+c
	}
	if mean := sum / float64(len(counts)); mean >= minSpreadMean {
		return largest / mean
	}
	return 0
}
