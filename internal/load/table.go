package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

const tablePadding = 2

// WriteTable writes a report to w as text tables.
func WriteTable(w io.Writer, r *Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	p := &printer{w: tw}
	p.line("experiment: %s (seed %d)", r.Name, r.Seed)
	for _, arm := range r.Arms {
		p.arm(arm)
	}
	p.line("")
	if broken := r.ViolationCount(); broken > 0 {
		p.line("BROKEN: %d violations", broken)
	} else {
		p.line("no promise broke")
	}
	if p.err != nil {
		return p.err
	}
	return tw.Flush()
}

// printer writes lines to w and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) arm(a ArmReport) {
	p.line("")
	p.line("arm: %s", a.Name)
	if len(a.Callers) > 0 {
		p.line("caller\ttenant\tclass\trequests\tanswered\tnot-run\tunknown\tran\toverrun\tattempts\tp50 ms\tp99 ms\tmax ms\tlongest gap ms")
	}
	for _, c := range a.Callers {
		p.line("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d", c.Name, c.Tenant, c.Class, c.Requests,
			c.Outcomes[string(outcomeAnswered)], c.Outcomes[string(outcomeNotRun)], c.Outcomes[string(outcomeUnknown)], c.Outcomes[string(outcomeRan)],
			c.Overrun, c.Attempts, c.Total.P50, c.Total.P99, c.Total.Max, c.LongestGapMillis)
	}
	p.refusals(a.Callers)
	p.trainers(a.Trainers)
	p.upstreams(a.Upstreams)
	for _, process := range a.Processes {
		p.line("process %s: %d ms of CPU time in %d ms, %d MiB resident, ended %v", process.Name, process.ProcessorMillis, a.MeasuredMillis, process.ResidentBytes>>20, process.Ended)
	}
	for _, e := range a.FaultErrors {
		p.line("fault could not be switched: %s", e)
	}
	p.checks(a.Checks)
}

// refusals lists the failed attempts of each caller by kind.
func (p *printer) refusals(callers []CallerReport) {
	for _, c := range callers {
		if len(c.Refusals) == 0 {
			continue
		}
		parts := make([]string, 0, len(c.Refusals))
		for kind, n := range c.Refusals {
			parts = append(parts, fmt.Sprintf("%s %d", kind, n))
		}
		sort.Strings(parts)
		p.line("failed attempts of %s: %s", c.Name, strings.Join(parts, ", "))
	}
}

func (p *printer) trainers(trainers []TrainerReport) {
	if len(trainers) > 0 {
		p.line("trainer\tsteps\tsamples\tmean idle ms\tmax idle ms\tmean staleness\tmax staleness\trefusals")
	}
	for _, t := range trainers {
		p.line("%s\t%d\t%d\t%.0f\t%d\t%.2f\t%d\t%d", t.Name, t.Steps, t.Samples, t.MeanIdleMillis, t.MaxIdleMillis, t.MeanStaleness, t.MaxStaleness, t.Refusals)
		if t.Error != "" {
			p.line("trainer %s ended early: %s", t.Name, t.Error)
		}
	}
}

func (p *printer) upstreams(upstreams []UpstreamReport) {
	if len(upstreams) > 0 {
		p.line("upstream\trequests\ttokens\tbusy slots\tcache hits\ttable reads\ttable writes")
	}
	for _, u := range upstreams {
		if u.Unread {
			p.line("%s\tnot read", u.Name)
			continue
		}
		p.line("%s\t%d\t%d\t%.1f\t%.3f\t%d\t%d", u.Name, u.Counters.Requests, u.Counters.Tokens, u.BusySlots, u.CacheHitRatio, u.Counters.Reads, u.Counters.Writes)
	}
}

func (p *printer) checks(checks []Check) {
	p.line("promise\tchecked\tviolations\tunread")
	for _, c := range checks {
		p.line("%s\t%d\t%d\t%s", c.Promise, c.Checked, c.Violations, strings.Join(c.Unread, " "))
		for _, example := range c.Examples {
			p.line("  %s", example)
		}
	}
}
