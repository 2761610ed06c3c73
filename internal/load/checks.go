package load

import (
	"fmt"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// maxExamples is the largest number of violations that a check describes.
const maxExamples = 20

// Check is the result of checking one guarantee.
type Check struct {
	// Promise is the guarantee, in words.
	Promise string `json:"promise"`
	// Checked is the number of requests, keys or samples that were checked.
	Checked int `json:"checked"`
	// Violations counts all violations; Examples describes the first 20 of them.
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	// Unread names upstreams whose execution record could not be read. The check is
	// partial without them.
	Unread []string `json:"unread,omitempty"`
}

func (c *Check) addViolation(format string, args ...any) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// checkGuarantees compares the answers to callers and trainers with the execution
// records of the upstreams.
func (a *armRun) checkGuarantees(results []standinapi.TrainerResults) []Check {
	ev := readRecords(a.experiment.Upstreams)
	checks := []Check{
		a.checkAtMostOnce(ev),
		a.checkNotRun(ev),
		a.checkAnsweredRan(ev),
		a.checkWholeAnswers(),
	}
	if len(results) > 0 {
		checks = append(checks, a.checkExactlyOnce(results), a.checkVersionLabels(ev, results), a.checkStalenessBound(results))
	}
	return checks
}

// forEachRequest calls visit for every request of the callers of a kind; "" means
// all kinds.
func (a *armRun) forEachRequest(kind CallKind, visit func(r *request)) {
	for _, s := range a.generators {
		if kind != "" && s.caller.Kind != kind {
			continue
		}
		for _, r := range s.stats.requests {
			visit(r)
		}
	}
}

// checkAtMostOnce checks that no booking ran twice, even under different
// idempotency keys.
func (a *armRun) checkAtMostOnce(ev *executionRecords) Check {
	c := Check{Promise: "a non-idempotent request runs at most once", Unread: ev.unread}
	a.forEachRequest(BookingCall, func(r *request) {
		c.Checked++
		if runs := ev.runsByRecordID[r.call.recordID()]; runs > 1 {
			c.addViolation("%s request with body %s ran %d times, keys %s", r.caller.Name, r.call.recordID(), runs, strings.Join(r.keys, " "))
			return
		}
		for _, key := range r.keys {
			if runs := ev.runsByKey[key]; runs > 1 {
				c.addViolation("%s key %s ran %d times", r.caller.Name, key, runs)
			}
		}
	})
	return c
}

// checkNotRun checks that a request whose attempts were all refused as not run is
// in no execution record.
func (a *armRun) checkNotRun(ev *executionRecords) Check {
	c := Check{Promise: "a refusal that says not-run is true", Unread: ev.unread}
	a.forEachRequest("", func(r *request) {
		if r.outcome != outcomeNotRun {
			return
		}
		c.Checked++
		if runs := ev.runsByRecordID[r.call.recordID()]; runs > 0 {
			c.addViolation("%s request %s was refused as not run (%s) but ran %d times", r.caller.Name, r.call.recordID(), r.lastKind, runs)
		}
	})
	return c
}

// checkAnsweredRan checks that every answered request is in an execution record.
// It checks nothing if a record is missing.
func (a *armRun) checkAnsweredRan(ev *executionRecords) Check {
	c := Check{Promise: "an answered request ran", Unread: ev.unread}
	if len(ev.unread) > 0 || !a.recordsCoverCallers() {
		return c
	}
	a.forEachRequest("", func(r *request) {
		if r.outcome != outcomeAnswered {
			return
		}
		c.Checked++
		if ev.runsByRecordID[r.call.recordID()] == 0 {
			c.addViolation("%s request %s was answered but no upstream recorded it", r.caller.Name, r.call.recordID())
		}
	})
	return c
}

// recordsCoverCallers reports whether the experiment lists upstreams of every kind
// that its callers use.
func (a *armRun) recordsCoverCallers() bool {
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

// checkWholeAnswers checks that each answer is complete and belongs to its request.
func (a *armRun) checkWholeAnswers() Check {
	c := Check{Promise: "a caller gets the whole answer to its own request"}
	a.forEachRequest("", func(r *request) {
		if r.outcome != outcomeAnswered && r.outcome != outcomeMismatch {
			return
		}
		c.Checked++
		if r.mismatch != "" {
			c.addViolation("%s request %s: %s", r.caller.Name, r.call.recordID(), r.mismatch)
		}
	})
	return c
}

// checkExactlyOnce checks that no sample arrived twice and that no step changed
// between two fetches.
func (a *armRun) checkExactlyOnce(results []standinapi.TrainerResults) Check {
	c := Check{Promise: "each sample reaches its trainer exactly once"}
	for _, r := range results {
		for _, step := range r.Steps {
			c.Checked += step.Samples
		}
		for _, id := range r.Duplicates {
			c.addViolation("%s sample %s arrived twice", r.Trainer, id)
		}
		for _, step := range r.ChangedSteps {
			c.addViolation("%s step %d had different content at its second fetch", r.Trainer, step)
		}
		for _, problem := range r.Problems {
			c.addViolation("%s %s", r.Trainer, problem)
		}
	}
	return c
}

// checkVersionLabels checks that an engine produced each segment of a sample with
// the weight version that the segment names.
func (a *armRun) checkVersionLabels(ev *executionRecords, results []standinapi.TrainerResults) Check {
	c := Check{Promise: "each sample names the weight versions that produced it", Unread: ev.unread}
	if len(ev.producedTokens) == 0 {
		return c
	}
	for _, r := range results {
		for _, step := range r.Steps {
			for _, sample := range step.Delivered {
				c.Checked++
				checkSampleVersions(&c, ev, r.Trainer, sample)
			}
		}
	}
	return c
}

func checkSampleVersions(c *Check, ev *executionRecords, trainer string, sample standinapi.DeliveredSample) {
	at := 0
	for _, segment := range sample.Versions {
		if !ev.produced(sample.Generation, segment.Version, at, at+segment.Tokens) {
			c.addViolation("%s sample %s: no engine made tokens %d to %d of generation %s with version %d", trainer, sample.ID, at, at+segment.Tokens, sample.Generation, segment.Version)
			return
		}
		at += segment.Tokens
	}
}

// checkStalenessBound checks that no delivered sample is older than the trainer's
// bound, in weight versions.
func (a *armRun) checkStalenessBound(results []standinapi.TrainerResults) Check {
	c := Check{Promise: "no sample is older than the staleness bound"}
	for i, r := range results {
		bound := a.experiment.Trainers[i].StalenessBound
		for _, step := range r.Steps {
			c.Checked += step.Samples
			if step.MaxStaleness > bound {
				c.addViolation("%s step %d has samples %d versions old, bound %d", r.Trainer, step.Step, step.MaxStaleness, bound)
			}
		}
	}
	return c
}
