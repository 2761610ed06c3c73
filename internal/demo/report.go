package demo

import (
	"fmt"
	"io"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// Report is the result of a run.
type Report struct {
	// Answers counts the service answers that matched their requests.
	Answers int
	// Completions counts the completions with the expected text.
	Completions int
	// Bookings lists the idempotency keys of the accepted bookings.
	Bookings []string
	// Resent counts the bookings that were sent twice.
	Resent int
	// Trainer holds the results that the trainer recorded.
	Trainer standinapi.TrainerResults
	// ChatResults counts the listed results of the job of completions.
	ChatResults int
	// JobResults counts the listed results of the job on the row platform.
	JobResults int
	// Violations describes the violated guarantees.
	Violations []string
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// checkBookings compares the accepted bookings with the services' execution records:
// runs counts the executions of each idempotency key.
func (r *Report) checkBookings(runs map[string]int) {
	for _, key := range r.Bookings {
		if runs[key] != 1 {
			r.addViolation("booking %s ran %d times, want once", key, runs[key])
		}
	}
	for key := range lo.OmitByKeys(runs, r.Bookings) {
		r.addViolation("booking %s ran but was not accepted", key)
	}
}

// checkTrainer adds the problems that the trainer found. staleness is the largest
// allowed age of a sample, in weight versions.
func (r *Report) checkTrainer(results standinapi.TrainerResults, staleness uint64) {
	r.Trainer = results
	if !results.Finished {
		r.addViolation("trainer did not finish its steps")
	}
	for _, id := range results.Duplicates {
		r.addViolation("sample %s arrived twice", id)
	}
	for _, step := range results.ChangedSteps {
		r.addViolation("step %d changed between two fetches", step)
	}
	r.Violations = append(r.Violations, results.Problems...)
	for _, step := range results.Steps {
		if step.MaxStaleness > staleness {
			r.addViolation("step %d has a sample %d versions old, bound %d", step.Step, step.MaxStaleness, staleness)
		}
	}
}

// write prints the report as text.
func (r *Report) write(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("")
	p("summary")
	p("  plain answers         %d of %d", r.Answers, specificationCount)
	p("  completions           %d of %d", r.Completions, completionCount)
	p("  bookings              %d of %d, %d of them sent twice", len(r.Bookings), bookingCount, r.Resent)
	for _, step := range r.Trainer.Steps {
		p("  training step %d       %d samples, waited %d ms, oldest %d versions behind", step.Step, step.Samples, step.IdleMillis, step.MaxStaleness)
	}
	p("  job of completions    %d of %d results", r.ChatResults, jobRollouts)
	p("  job on row platform   %d of %d results", r.JobResults, jobRollouts)
	if len(r.Violations) == 0 {
		p("  promises              all held")
		return
	}
	p("  promises broken       %d", len(r.Violations))
	for _, line := range r.Violations {
		p("    %s", line)
	}
}
