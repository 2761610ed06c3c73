package timeline

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Step is the time of one job. The durations from Waiting to Read add up to the time
// from Accepted to the job's end, where all hosts' clocks agree.
type Step struct {
	Job, Model string
	// Number is the number of the training step.
	Number string
	// Rollouts is the number of the job's rollouts.
	Rollouts string
	// Accepted is the time of the acceptance, and Ended that of the end by the trainer;
	// zero if the log does not have it.
	Accepted, Ended time.Time
	// Owners is the number of processes that ran the job.
	Owners int
	// Rollout is the one that decides: its result was listed last before the end.
	Rollout string
	// Waiting is the time in which that rollout had no engine. Lost is the time of its
	// attempts that yielded no event, and Generating that of the others. Scoring is the
	// time from the complete text to its score, and Writing that from there to its listing;
	// without a score both are a part of Generating. Read is the time from there to the
	// job's end.
	Waiting, Lost, Generating, Scoring, Writing, Read time.Duration
	// Refusals is the number of its attempts that engines refused, and Moves that of
	// those that ended early.
	Refusals, Moves int
}

// attempt is a rollout at an engine.
type attempt struct {
	sent, ended time.Time
	events      bool
}

// rollout is the history of one rollout of a job.
type rollout struct {
	attempts        []attempt
	scored, listed  time.Time
	scoring         time.Duration
	refusals, moves int
}

// jobLog is what the log has of a job.
type jobLog struct {
	step     Step
	rollouts map[string]*rollout
}

func (j *jobLog) rollout(id string) *rollout {
	r := j.rollouts[id]
	if r == nil {
		r = &rollout{}
		j.rollouts[id] = r
	}
	return r
}

// Read reads log lines of any hosts, in any order, and returns the jobs whose
// acceptance is among them, in its order. Errors are those of the reader.
func Read(r io.Reader) ([]Step, error) {
	var lines []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok && l.fields["job"] != "" {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "", "the log can't be read")
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	jobs := map[string]*jobLog{}
	for _, l := range lines {
		id := l.fields["job"]
		if jobs[id] == nil {
			jobs[id] = &jobLog{step: Step{Job: id}, rollouts: map[string]*rollout{}}
		}
		jobs[id].add(l)
	}
	var steps []Step
	for _, j := range jobs {
		if !j.step.Accepted.IsZero() {
			j.decide()
			steps = append(steps, j.step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job)) })
	return steps, nil
}

// add records a line of the job.
func (j *jobLog) add(l line) {
	id := l.fields["rollout"]
	switch l.message {
	case "job accepted":
		if j.step.Accepted.IsZero() {
			j.step.Accepted, j.step.Model, j.step.Number, j.step.Rollouts = l.at, l.fields["model"], l.fields["step"], l.fields["rollouts"]
			j.step.Owners++
		}
	case "job taken over":
		j.step.Owners++
	case "job ended":
		if j.step.Ended.IsZero() {
			j.step.Ended = l.at
		}
	case "rollout sent":
		r := j.rollout(id)
		r.end(l.at, false)
		r.attempts = append(r.attempts, attempt{sent: l.at})
	case "run of a rollout ended early":
		r := j.rollout(id)
		r.moves++
		r.end(l.at, l.fields["new"] != "0")
	case "engine refused a rollout":
		r := j.rollout(id)
		r.refusals++
		r.end(l.at, false)
	case "rollout scored":
		r := j.rollout(id)
		// Hosts of earlier versions don't say how long the score took.
		r.scoring, _ = time.ParseDuration(l.fields["took"])
		r.scored = l.at
		r.end(l.at.Add(-r.scoring), true)
	case "results listed":
		for id := range strings.SplitSeq(l.fields["rollouts"], ",") {
			if r := j.rollout(id); r.listed.IsZero() {
				r.listed = l.at
				r.end(l.at, true)
			}
		}
	}
}

// end ends the attempt in progress, if there is one.
func (r *rollout) end(at time.Time, events bool) {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].ended.IsZero() {
		r.attempts[n-1].ended, r.attempts[n-1].events = at, events
	}
}

// decide finds the rollout that decides and divides the job's time.
func (j *jobLog) decide() {
	s := &j.step
	var last *rollout
	for id, r := range j.rollouts {
		counts := !r.listed.IsZero() && (s.Ended.IsZero() || !r.listed.After(s.Ended))
		if counts && (last == nil || r.listed.After(last.listed) || r.listed.Equal(last.listed) && id < s.Rollout) {
			last, s.Rollout = r, id
		}
	}
	if last == nil {
		return
	}
	s.Refusals, s.Moves = last.refusals, last.moves
	free := s.Accepted
	for _, a := range last.attempts {
		s.Waiting += max(0, a.sent.Sub(free))
		switch took := a.ended.Sub(a.sent); {
		case a.ended.IsZero():
		case a.events:
			s.Generating += took
		default:
			s.Lost += took
		}
		free = a.ended
	}
	if !last.scored.IsZero() {
		s.Scoring, s.Writing = last.scoring, last.listed.Sub(last.scored)
	}
	if !s.Ended.IsZero() {
		s.Read = s.Ended.Sub(last.listed)
	}
}
