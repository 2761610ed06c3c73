package demo

import (
	"fmt"
	"io"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// Report is what a run found.
type Report struct {
	// Answers counts the plain answers that belonged to their requests.
	Answers int
	// Completions counts the completions whose text was right.
	Completions int
	// Bookings lists the keys of the accepted bookings.
	Bookings []string
	// Resent counts the bookings that were sent twice.
	Resent int
	// Trainer is the trainer's own account.
	Trainer standinapi.TrainerResults
	// ChatResults counts the results of the job of completions that were listed.
	ChatResults int
	// JobResults counts those of the job on the row platform.
	JobResults int
	// Broken lists the promises that did not hold.
	Broken []string
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// checkBookings compares the accepted bookings with the services' own record.
func (r *Report) checkBookings(runs map[string]int) {
	for _, key := range r.Bookings {
		if runs[key] != 1 {
			r.broken("booking %s ran %d times", key, runs[key])
		}
	}
	for key := range lo.OmitByKeys(runs, r.Bookings) {
		r.broken("booking %s ran, but was not accepted", key)
	}
}

// checkTrainer adds what the trainer found wrong.
func (r *Report) checkTrainer(results standinapi.TrainerResults, staleness uint64) {
	r.Trainer = results
	if !results.Finished {
		r.broken("the trainer did not finish its steps")
	}
	for _, id := range results.Duplicates {
		r.broken("sample %s arrived twice", id)
	}
	for _, step := range results.ChangedSteps {
		r.broken("step %d changed between two fetches", step)
	}
	r.Broken = append(r.Broken, results.Problems...)
	for _, step := range results.Steps {
		if step.MaxStaleness > staleness {
			r.broken("step %d has a sample %d versions old", step.Step, step.MaxStaleness)
		}
	}
}

// write prints the report for people.
func (r *Report) write(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("")
	p("summary")
	p("  plain answers         %d of %d", r.Answers, specifications)
	p("  completions           %d of %d", r.Completions, completions)
	p("  bookings              %d of %d, %d of them sent twice", len(r.Bookings), bookings, r.Resent)
	for _, step := range r.Trainer.Steps {
		p("  training step %d       %d samples, waited %d ms, oldest %d versions behind", step.Step, step.Samples, step.IdleMillis, step.MaxStaleness)
	}
	p("  job of completions    %d of %d results", r.ChatResults, jobRollouts)
	p("  job on row platform   %d of %d results", r.JobResults, jobRollouts)
	if len(r.Broken) == 0 {
		p("  promises              all held")
		return
	}
	p("  promises broken       %d", len(r.Broken))
	for _, line := range r.Broken {
		p("    %s", line)
	}
}
