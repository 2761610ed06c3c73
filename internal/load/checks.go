package load

import (
	"fmt"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// maxExamples bounds the violations that a check lists; Violations counts all.
const maxExamples = 20

// Check is the result of one promise's check.
type Check struct {
	Promise string `json:"promise"`
	// Checked is the number of requests, keys or samples that were checked.
	Checked int `json:"checked"`
	// Violations is the number of violations, and Examples lists the first of them.
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	// Unread names upstreams without whose record the check is partial.
	Unread []string `json:"unread,omitempty"`
}

func (c *Check) violate(format string, args ...any) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// checkPromises compares what callers and trainers were told with what the upstreams recorded.
func (a *arm) checkPromises(results []standinapi.TrainerResults) []Check {
	ev := readEvidence(a.experiment.Upstreams)
	checks := []Check{
		a.checkAtMostOnce(ev),
		a.checkNotRun(ev),
		a.checkAnswered(ev),
		a.checkWholeAnswers(),
	}
	if len(results) > 0 {
		checks = append(checks, a.checkExactlyOnce(results), a.checkLabels(ev, results), a.checkStaleness(results))
	}
	return checks
}

// each calls visit for every request of the callers of a kind, or of all kinds.
func (a *arm) each(kind CallKind, visit func(r *request)) {
	for _, s := range a.sources {
		if kind != "" && s.caller.Kind != kind {
			continue
		}
		for _, r := range s.tally.requests {
			visit(r)
		}
	}
}

// checkAtMostOnce: no booking runs twice, under whatever key.
func (a *arm) checkAtMostOnce(ev *evidence) Check {
	c := Check{Promise: "a non-idempotent request runs at most once", Unread: ev.unread}
	a.each(BookingCall, func(r *request) {
		c.Checked++
		if runs := ev.runsByTrace[r.call.trace()]; runs > 1 {
			c.violate("%s request with body %s ran %d times, keys %s", r.caller.Name, r.call.trace(), runs, strings.Join(r.keys, " "))
			return
		}
		for _, key := range r.keys {
			if runs := ev.runsByKey[key]; runs > 1 {
				c.violate("%s key %s ran %d times", r.caller.Name, key, runs)
			}
		}
	})
	return c
}

// checkNotRun: a request whose every attempt was refused as not run is in no record.
func (a *arm) checkNotRun(ev *evidence) Check {
	c := Check{Promise: "a refusal that says not-run is true", Unread: ev.unread}
	a.each("", func(r *request) {
		if r.ending != endedNotRun {
			return
		}
		c.Checked++
		if runs := ev.runsByTrace[r.call.trace()]; runs > 0 {
			c.violate("%s request %s was refused as not run (%s) but ran %d times", r.caller.Name, r.call.trace(), r.lastKind, runs)
		}
	})
	return c
}

// checkAnswered: what was answered did run, so the answer is a true one.
func (a *arm) checkAnswered(ev *evidence) Check {
	c := Check{Promise: "an answered request ran", Unread: ev.unread}
	if len(ev.unread) > 0 || !a.coversPools() {
		return c
	}
	a.each("", func(r *request) {
		if r.ending != answered {
			return
		}
		c.Checked++
		if ev.runsByTrace[r.call.trace()] == 0 {
			c.violate("%s request %s was answered but no upstream recorded it", r.caller.Name, r.call.trace())
		}
	})
	return c
}

// coversPools reports whether the file names upstreams of the kinds that the callers use.
func (a *arm) coversPools() bool {
	kinds := map[UpstreamKind]bool{}
	for _, u := range a.experiment.Upstreams {
		kinds[u.Kind] = true
	}
	for _, caller := range a.experiment.Callers {
		if caller.Kind == ChatCall && !kinds[EngineUpstream] || caller.Kind != ChatCall && !kinds[ServiceUpstream] {
			return false
		}
	}
	return true
}

// checkWholeAnswers: each answer is the whole one to its own request.
func (a *arm) checkWholeAnswers() Check {
	c := Check{Promise: "a caller gets the whole answer to its own request"}
	a.each("", func(r *request) {
		if r.ending != answered && r.ending != endedMismatch {
			return
		}
		c.Checked++
		if r.mismatch != "" {
			c.violate("%s request %s: %s", r.caller.Name, r.call.trace(), r.mismatch)
		}
	})
	return c
}

// checkExactlyOnce: no sample arrives twice, and a step's content never changes.
func (a *arm) checkExactlyOnce(results []standinapi.TrainerResults) Check {
	c := Check{Promise: "each sample reaches its trainer exactly once"}
	for _, r := range results {
		for _, step := range r.Steps {
			c.Checked += step.Samples
		}
		for _, id := range r.Duplicates {
			c.violate("%s sample %s arrived twice", r.Trainer, id)
		}
		for _, step := range r.ChangedSteps {
			c.violate("%s step %d had other content at its second fetch", r.Trainer, step)
		}
		for _, problem := range r.Problems {
			c.violate("%s %s", r.Trainer, problem)
		}
	}
	return c
}

// checkLabels: each segment of a sample was made by the version that it names.
func (a *arm) checkLabels(ev *evidence, results []standinapi.TrainerResults) Check {
	c := Check{Promise: "each sample names the weight versions that produced it", Unread: ev.unread}
	if len(ev.labels) == 0 {
		return c
	}
	for _, r := range results {
		for _, step := range r.Steps {
			for _, sample := range step.Delivered {
				c.Checked++
				checkSample(&c, ev, r.Trainer, sample)
			}
		}
	}
	return c
}

func checkSample(c *Check, ev *evidence, trainer string, sample standinapi.DeliveredSample) {
	at := 0
	for _, segment := range sample.Versions {
		if !ev.made(sample.Generation, segment.Version, at, at+segment.Tokens) {
			c.violate("%s sample %s: no engine made tokens %d to %d of generation %s with version %d", trainer, sample.ID, at, at+segment.Tokens, sample.Generation, segment.Version)
			return
		}
		at += segment.Tokens
	}
}

// checkStaleness: no delivered sample is older than the bound.
func (a *arm) checkStaleness(results []standinapi.TrainerResults) Check {
	c := Check{Promise: "no sample is older than the staleness bound"}
	for i, r := range results {
		bound := a.experiment.Trainers[i].StalenessBound
		for _, step := range r.Steps {
			c.Checked += step.Samples
			if step.MaxStaleness > bound {
				c.violate("%s step %d has samples %d versions old, bound %d", r.Trainer, step.Step, step.MaxStaleness, bound)
			}
		}
	}
	return c
}
