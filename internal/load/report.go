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
	Name string `json:"name"`
	// Values are the replaced values, by SECTION.KEY.
	Values  map[string]string `json:"values,omitempty"`
	Started time.Time         `json:"started"`
	// MeasuredMillis is the time over which processes and upstreams were measured, in milliseconds.
	MeasuredMillis int64            `json:"measured_ms"`
	Callers        []CallerReport   `json:"callers"`
	Classes        []ClassReport    `json:"classes"`
	Trainers       []TrainerReport  `json:"trainers,omitempty"`
	Upstreams      []UpstreamReport `json:"upstreams,omitempty"`
	Processes      []ProcessReport  `json:"processes,omitempty"`
	// FaultErrors lists faults that could not be switched on or off.
	FaultErrors []string `json:"fault_errors,omitempty"`
	Checks      []Check  `json:"checks"`
}

// CallerReport is the result of one caller in an arm. Times include only requests
// scheduled after the warm-up.
type CallerReport struct {
	Name   string `json:"name"`
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	// Requests counts the requests that were sent. Overrun counts the arrivals that
	// were not, mostly because max_in_flight was reached.
	Requests int `json:"requests"`
	Overrun  int `json:"overrun"`
	Attempts int `json:"attempts"`
	// Outcomes counts requests by outcome; Refusals counts failed attempts by kind.
	Outcomes map[string]int       `json:"endings"`
	Refusals map[failure.Kind]int `json:"refusals,omitempty"`
	// Total is the time from the scheduled arrival to the complete answer, FirstByte
	// to its first event.
	Total     Quantiles  `json:"total"`
	FirstByte *Quantiles `json:"first_byte,omitempty"`
	// Unanswered is the time from the scheduled arrival to the end of the requests that
	// were not answered.
	Unanswered *Quantiles `json:"given_up,omitempty"`
	// LongestGapMillis is the longest time between two successive answers;
	// GapAtMillis is its start, counted from the start of the arm. Both are in
	// milliseconds.
	LongestGapMillis int64 `json:"longest_gap_ms"`
	GapAtMillis      int64 `json:"gap_at_ms"`
}

// ClassReport merges the results of the callers of one tenant and class.
type ClassReport struct {
	Tenant   string    `json:"tenant"`
	Class    string    `json:"class"`
	Requests int       `json:"requests"`
	Answered int       `json:"answered"`
	Total    Quantiles `json:"total"`
}

// TrainerReport is the result of one trainer in an arm.
type TrainerReport struct {
	Name     string `json:"name"`
	Steps    int    `json:"steps"`
	Samples  int    `json:"samples"`
	Refusals int    `json:"refusals"`
	// Error is the error that ended the trainer early.
	Error string `json:"error,omitempty"`
	// MeanIdleMillis and MaxIdleMillis are the time that the trainer waited for a
	// step, in milliseconds.
	MeanIdleMillis float64 `json:"mean_idle_ms"`
	MaxIdleMillis  int64   `json:"max_idle_ms"`
	// MeanStaleness and MaxStaleness are the age of samples, in weight versions.
	MeanStaleness float64                 `json:"mean_staleness"`
	MaxStaleness  uint64                  `json:"max_staleness"`
	StepResults   []standinapi.StepResult `json:"step_results"`
}

// UpstreamReport is the load on one upstream during an arm.
type UpstreamReport struct {
	Name string `json:"name"`
	// Unread is true if the counters could not be read at the start or the end, or the
	// upstream restarted in between.
	Unread bool `json:"unread"`
	// Counters holds the increase of each counter during the arm.
	Counters standinapi.CountersResponse `json:"counters"`
	// BusySlots is the mean number of occupied slots. CacheHitRatio is the fraction of
	// prompt tokens that were in the prefix cache, 0 to 1.
	BusySlots     float64 `json:"busy_slots"`
	CacheHitRatio float64 `json:"cache_hit_ratio"`
}

// newReport returns a report with the figures that are measured at the end of the
// duration.
func (a *armRun) newReport(processes []ProcessReport, after, before map[string]standinapi.CountersResponse) ArmReport {
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

// finishReport adds the results of callers, trainers and checks, after all requests
// and trainers have ended.
func (a *armRun) finishReport(report *ArmReport) {
	for _, s := range a.generators {
		report.Callers = append(report.Callers, s.stats.report(a.start))
	}
	report.Classes = classReports(a.generators)
	results := make([]standinapi.TrainerResults, 0, len(a.trainers))
	for i, s := range a.trainers {
		r := s.Results()
		results = append(results, r)
		report.Trainers = append(report.Trainers, trainerReport(a.experiment.Trainers[i], r, a.trainerErrors))
	}
	report.Checks = a.checkGuarantees(results)
	a.faultsMu.Lock()
	defer a.faultsMu.Unlock()
	report.FaultErrors = a.faultErrors
}

func (t *callerStats) report(start time.Time) CallerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := CallerReport{
		Name: t.caller.Name, Tenant: t.caller.Tenant, Class: t.caller.Class,
		Requests: t.sent, Overrun: t.overrun, Attempts: t.attempts, Refusals: t.refusals,
		Outcomes:         lo.MapKeys(t.outcomes, func(_ int, e requestOutcome) string { return string(e) }),
		Total:            quantiles(t.total),
		LongestGapMillis: t.longestGap.Milliseconds(),
		GapAtMillis:      t.longestGapStart.Sub(start).Milliseconds(),
	}
	r.FirstByte = quantilesOrNil(t.firstByte)
	r.Unanswered = quantilesOrNil(t.unanswered)
	return r
}

// classReports merges the callers' histograms by tenant and class.
func classReports(generators []*requestGenerator) []ClassReport {
	type group struct {
		report ClassReport
		total  *hdrhistogram.Histogram
	}
	groups := map[string]*group{}
	for _, s := range generators {
		name := s.caller.Tenant + "/" + s.caller.Class
		g, ok := groups[name]
		if !ok {
			g = &group{report: ClassReport{Tenant: s.caller.Tenant, Class: s.caller.Class}, total: newHistogram()}
			groups[name] = g
		}
		g.report.Requests += s.stats.sent
		g.report.Answered += s.stats.outcomes[outcomeAnswered]
		g.total.Merge(s.stats.total)
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
