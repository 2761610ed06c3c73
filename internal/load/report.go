package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// Report is the result of an experiment.
type Report struct {
	Name string      `json:"name"`
	Seed int64       `json:"seed"`
	Arms []ArmReport `json:"arms"`
}

// ViolationCount returns the number of violations over all arms.
func (r *Report) ViolationCount() int {
	return lo.SumBy(r.Arms, func(a ArmReport) int {
		return lo.SumBy(a.Checks, func(c Check) int { return c.Violations })
	})
}

// ArmReport is the result of one arm.
type ArmReport struct {
	Name    string            `json:"name"`
	Values  map[string]string `json:"values,omitempty"`
	Started time.Time         `json:"started"`
	// MeasuredMillis is the time over which processes and upstreams were measured, in milliseconds.
	MeasuredMillis int64            `json:"measured_ms"`
	Callers        []CallerReport   `json:"callers"`
	Classes        []ClassReport    `json:"classes"`
	Trainers       []TrainerReport  `json:"trainers,omitempty"`
	Upstreams      []UpstreamReport `json:"upstreams,omitempty"`
	Processes      []ProcessReport  `json:"processes,omitempty"`
	// FaultErrors lists faults that could not be switched.
	FaultErrors []string `json:"fault_errors,omitempty"`
	Checks      []Check  `json:"checks"`
}

// CallerReport is one caller's share of an arm.
type CallerReport struct {
	Name   string `json:"name"`
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	// Requests ended in one of the endings; Overrun arrivals were not sent for lack of slots.
	Requests int `json:"requests"`
	Overrun  int `json:"overrun"`
	Attempts int `json:"attempts"`
	// Endings counts requests by their end, and Refusals counts attempts by kind of failure.
	Endings  map[string]int       `json:"endings"`
	Refusals map[failure.Kind]int `json:"refusals,omitempty"`
	// Total is the time from the scheduled arrival to the whole answer, FirstByte to its first event.
	Total     Quantiles  `json:"total"`
	FirstByte *Quantiles `json:"first_byte,omitempty"`
	// GivenUp is the time from the scheduled arrival to the end of the requests without an answer.
	GivenUp *Quantiles `json:"given_up,omitempty"`
	// LongestGapMillis is the longest time between two answers, and GapAtMillis when it began, from the arm's start.
	LongestGapMillis int64 `json:"longest_gap_ms"`
	GapAtMillis      int64 `json:"gap_at_ms"`
}

// ClassReport joins the callers of one tenant and class.
type ClassReport struct {
	Tenant   string    `json:"tenant"`
	Class    string    `json:"class"`
	Requests int       `json:"requests"`
	Answered int       `json:"answered"`
	Total    Quantiles `json:"total"`
}

// TrainerReport is one trainer's share of an arm.
type TrainerReport struct {
	Name     string `json:"name"`
	Steps    int    `json:"steps"`
	Samples  int    `json:"samples"`
	Refusals int    `json:"refusals"`
	// Error is what ended the trainer early.
	Error string `json:"error,omitempty"`
	// MeanIdleMillis and MaxIdleMillis are the time a step kept the trainer waiting.
	MeanIdleMillis float64 `json:"mean_idle_ms"`
	MaxIdleMillis  int64   `json:"max_idle_ms"`
	// MeanStaleness and MaxStaleness are in weight versions.
	MeanStaleness float64                 `json:"mean_staleness"`
	MaxStaleness  uint64                  `json:"max_staleness"`
	StepResults   []standinapi.StepResult `json:"step_results"`
}

// UpstreamReport is what one upstream counted during the arm.
type UpstreamReport struct {
	Name string `json:"name"`
	// Unread is true if the counters could not be read before and after, or the upstream started anew.
	Unread bool `json:"unread"`
	// Counters holds the difference over the arm.
	Counters standinapi.CountersResponse `json:"counters"`
	// BusySlots is the mean number of taken slots; CacheHitRatio the cached share of the prompt tokens.
	BusySlots     float64 `json:"busy_slots"`
	CacheHitRatio float64 `json:"cache_hit_ratio"`
}

// newReport holds what is measured at the end of the duration.
func (a *arm) newReport(processes []ProcessReport, after, before map[string]standinapi.CountersResponse) ArmReport {
	return ArmReport{
		Name:           a.name,
		Started:        a.start,
		MeasuredMillis: a.measured.Milliseconds(),
		Processes:      processes,
		Upstreams: lo.Map(a.experiment.Upstreams, func(u Upstream, _ int) UpstreamReport {
			b, was := before[u.Name]
			c, is := after[u.Name]
			if !was || !is || c.Requests < b.Requests {
				return UpstreamReport{Name: u.Name, Unread: true}
			}
			return upstreamReport(u.Name, difference(c, b), a.measured)
		}),
	}
}

func difference(after, before standinapi.CountersResponse) standinapi.CountersResponse {
	return standinapi.CountersResponse{
		Reads:          after.Reads - before.Reads,
		Writes:         after.Writes - before.Writes,
		RowsRead:       after.RowsRead - before.RowsRead,
		RowsWritten:    after.RowsWritten - before.RowsWritten,
		Conflicts:      after.Conflicts - before.Conflicts,
		ObjectReads:    after.ObjectReads - before.ObjectReads,
		ObjectWrites:   after.ObjectWrites - before.ObjectWrites,
		MemberCalls:    after.MemberCalls - before.MemberCalls,
		Requests:       after.Requests - before.Requests,
		Tokens:         after.Tokens - before.Tokens,
		PromptTokens:   after.PromptTokens - before.PromptTokens,
		CachedTokens:   after.CachedTokens - before.CachedTokens,
		BusySlotMillis: after.BusySlotMillis - before.BusySlotMillis,
	}
}

func upstreamReport(name string, c standinapi.CountersResponse, measured time.Duration) UpstreamReport {
	r := UpstreamReport{Name: name, Counters: c, BusySlots: float64(c.BusySlotMillis) / float64(measured.Milliseconds())}
	if c.PromptTokens > 0 {
		r.CacheHitRatio = float64(c.CachedTokens) / float64(c.PromptTokens)
	}
	return r
}

// finishReport adds what is known once all requests and trainers are done.
func (a *arm) finishReport(report *ArmReport) {
	for _, s := range a.sources {
		report.Callers = append(report.Callers, s.tally.report(a.start))
	}
	report.Classes = classReports(a.sources)
	results := make([]standinapi.TrainerResults, 0, len(a.trainers))
	for i, s := range a.trainers {
		r := s.Results()
		results = append(results, r)
		report.Trainers = append(report.Trainers, trainerReport(a.experiment.Trainers[i], r, a.trainerErrors))
	}
	report.Checks = a.checkPromises(results)
	a.faultsMu.Lock()
	defer a.faultsMu.Unlock()
	report.FaultErrors = a.faultErrors
}

func (t *tally) report(start time.Time) CallerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := CallerReport{
		Name: t.caller.Name, Tenant: t.caller.Tenant, Class: t.caller.Class,
		Requests: t.sent, Overrun: t.overrun, Attempts: t.attempts, Refusals: t.refusals,
		Endings:          lo.MapKeys(t.endings, func(_ int, e ending) string { return string(e) }),
		Total:            quantiles(t.total),
		LongestGapMillis: t.gap.Milliseconds(),
		GapAtMillis:      t.gapFrom.Sub(start).Milliseconds(),
	}
	r.FirstByte = quantilesOfSome(t.firstByte)
	r.GivenUp = quantilesOfSome(t.givenUp)
	return r
}

// classReports joins the callers' histograms by tenant and class.
func classReports(sources []*source) []ClassReport {
	type group struct {
		report ClassReport
		total  *hdrhistogram.Histogram
	}
	groups := map[string]*group{}
	for _, s := range sources {
		name := s.caller.Tenant + "/" + s.caller.Class
		g, ok := groups[name]
		if !ok {
			g = &group{report: ClassReport{Tenant: s.caller.Tenant, Class: s.caller.Class}, total: newHistogram()}
			groups[name] = g
		}
		g.report.Requests += s.tally.sent
		g.report.Answered += s.tally.endings[answered]
		g.total.Merge(s.tally.total)
	}
	names := lo.Keys(groups)
	sort.Strings(names)
	return lo.Map(names, func(name string, _ int) ClassReport {
		g := groups[name]
		g.report.Total = quantiles(g.total)
		return g.report
	})
}

func trainerReport(t Trainer, r standinapi.TrainerResults, errs map[string]error) TrainerReport {
	report := TrainerReport{Name: t.Name, Steps: len(r.Steps), Refusals: r.FailedCalls, StepResults: r.Steps}
	if err := errs[t.Name]; err != nil {
		report.Error = err.Error()
	}
	var idle int64
	var stale uint64
	for _, step := range r.Steps {
		report.Samples += step.Samples
		idle += step.IdleMillis
		report.MaxIdleMillis = max(report.MaxIdleMillis, step.IdleMillis)
		report.MaxStaleness = max(report.MaxStaleness, step.MaxStaleness)
		for age, n := range step.Staleness {
			stale += age * uint64(n)
		}
	}
	if report.Steps > 0 {
		report.MeanIdleMillis = float64(idle) / float64(report.Steps)
	}
	if report.Samples > 0 {
		report.MeanStaleness = float64(stale) / float64(report.Samples)
	}
	return report
}
