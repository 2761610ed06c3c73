package engine

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// loadSample is the load at a point in time.
type loadSample struct {
	at time.Time
	// tokens is the number of tokens generated since the start of the engine.
	tokens uint64
	load   engineapi.LoadReport
}

// sampleLoad adds the current load to the samples and drops old ones.
func (s *Standin) sampleLoad(now time.Time) {
	s.sched.mu.Lock()
	sample := loadSample{at: now, tokens: s.sched.tokens, load: engineapi.LoadReport{
		Running:   len(s.sched.running),
		Waiting:   len(s.sched.waiting),
		Slots:     s.sched.speeds.Slots,
		CacheUsed: s.sched.cache.used(),
	}}
	s.sched.mu.Unlock()
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	if n := len(s.samples); n > 0 {
		last := s.samples[n-1]
		sample.load.TokensPerSecond = float64(sample.tokens-last.tokens) / now.Sub(last.at).Seconds()
	}
	s.samples = append(s.samples, sample)
	if now.Sub(s.samples[0].at) > 2*loadHistory {
		s.samples = append(s.samples[:0:0], s.samples[len(s.samples)/2:]...)
	}
}

// loadReport returns the newest sample that is at least as old as the lag, or only the
// number of slots if there is none.
func (s *Standin) loadReport(now time.Time) engineapi.LoadReport {
	lag := s.lag(s.cfg.LoadLag)
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	report := engineapi.LoadReport{Slots: s.cfg.Speeds.Slots}
	for i := len(s.samples) - 1; i >= 0; i-- {
		sample := s.samples[i]
		if age := now.Sub(sample.at); age >= lag {
			report = sample.load
			report.AgeMillis = age.Milliseconds()
			break
		}
	}
	return report
}

// lag returns the delay of FaultReportLag if it is active, or else usual.
func (s *Standin) lag(usual time.Duration) time.Duration {
	if delay, on := s.Faults().Delay(standinapi.FaultReportLag); on {
		return delay
	}
	return usual
}
