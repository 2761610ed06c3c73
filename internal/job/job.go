package job

import "time"

// Spec is a job as its trainer submitted it.
type Spec struct {
	ID string `json:"id"`
	// Host is an HTTP host name, or in package chatjobs the trainer's name. Host and
	// Path select the route whose settings apply to the job's rollouts.
	Host string `json:"host"`
	Path string `json:"path"`
	// Team is the name of the team that the job belongs to; empty if it has none.
	Team string `json:"team,omitempty"`
	// Model is the name of the model that generates.
	Model string `json:"model,omitempty"`
	// Step is the number of the model's training step.
	Step int `json:"step,omitempty"`
	// MinVersion is the oldest weight version that may generate a token.
	MinVersion uint64 `json:"min_version,omitempty"`
	// WantGroups is the number of complete groups that the trainer waits for; zero means all.
	WantGroups int       `json:"want_groups,omitempty"`
	Rollouts   []Rollout `json:"rollouts"`
}

// size returns about how many bytes of memory the spec takes.
func (s *Spec) size() int64 {
	size := 0
	for i := range s.Rollouts {
		r := &s.Rollouts[i]
		size += rolloutOverhead + len(r.Body)
		if r.Score != nil {
			size += len(r.Score.Body)
		}
		for name, value := range r.Headers {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}

// rolloutOverhead is about what a rollout and its task take in memory beside its bodies and
// headers, in bytes.
const rolloutOverhead = 512

// Rollout is one generation of a job.
type Rollout struct {
	ID string `json:"id"`
	// Group names the rollouts that share a prompt. A group counts once all its
	// rollouts are complete.
	Group   string            `json:"group,omitempty"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	// Tokens is the number of tokens of the prompt plus the largest number that
	// may be generated.
	Tokens int `json:"tokens,omitempty"`
	// PromptTokens is the number of tokens of the prompt; zero if not known.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// LengthHint is the trainer's estimate of the number of generated tokens; zero
	// if there is none.
	LengthHint int `json:"length_hint,omitempty"`
	// Score is the call that scores the finished text; nil if it is not scored.
	Score *ScoreCall `json:"score,omitempty"`
}

// memoryTokens returns the number of tokens of an engine's memory that the rollout is
// expected to take: its prompt and the hint of its length, but at most Tokens. Without a
// hint Tokens counts. The largest length is several times the usual one, so counting it
// for each rollout would leave most slots of an engine empty.
func (r *Rollout) memoryTokens() int {
	switch {
	case r.Tokens <= 0:
		return max(0, r.LengthHint)
	case r.LengthHint <= 0 || r.PromptTokens <= 0:
		return r.Tokens
	}
	// Each summand is bounded first, because a trainer may send any number.
	return min(r.Tokens, min(r.Tokens, r.PromptTokens)+min(r.Tokens, r.LengthHint))
}

// ScoreCall is a request to a service that scores rollouts.
type ScoreCall struct {
	ID string `json:"id"`
	// Host is the HTTP host name that selects the route.
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Event is one event of an engine's stream: a piece of generated text.
type Event struct {
	Data string `json:"d"`
	// Version is the weight version that generated it.
	Version uint64 `json:"v"`
}

// State is the final state of a rollout.
type State string

// Final states of a rollout.
const (
	// Completed rollouts have their whole text and, if one was requested, a score.
	Completed State = "completed"
	// Dead rollouts were given up: their attempts or their scoring failed too often,
	// their time limit passed, no engine can run them, or the configuration has no
	// route for the job.
	Dead State = "dead"
)

// Result is the final result of a rollout as it is listed for the trainer.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Text is the data of all events joined by line feeds; empty for a dead rollout.
	Text string `json:"text"`
	// Versions are the weight versions that generated the text, ascending.
	Versions []uint64 `json:"versions,omitempty"`
	// Score is the signature of the answer to the scoring call; empty without a call.
	Score string `json:"score,omitempty"`
	// ScoredBy is the ID of the scoring call; empty without a call.
	ScoredBy string `json:"scored_by,omitempty"`
}

// OwnerRow is the owner row of a job: the process that runs it and its progress.
type OwnerRow struct {
	// Host and Incarnation name the process; both are empty after a handover.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// AcceptedMS is the time of the acceptance on the store clock, in milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// Team is the name of the team that the job belongs to; empty if it has none.
	Team string `json:"team,omitempty"`
	// Total is the number of rollouts.
	Total int `json:"total"`
	// Listed is the number of results listed so far.
	Listed int `json:"listed"`
	// Model and Step identify the earlier jobs from which rollouts are carried over.
	Model string `json:"model,omitempty"`
	Step  int    `json:"step"`
	// MinVersion is the oldest weight version that the job allows.
	MinVersion uint64 `json:"min_version,omitempty"`
	// Chunks is the number of rows that hold the spec.
	Chunks int `json:"chunks"`
	// ConfigVersion is the version of the configuration under which the job was accepted;
	// zero if it is not known.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Run identifies the run that last listed results, among all runs of all processes;
	// empty before the first listing.
	Run string `json:"run,omitempty"`
}

// rankingKey is the key by which hosts are ranked as owners of a job. All jobs of
// a model have the same key, and so the same owner: it already knows the model's
// engines, has connections to them, and holds carried-over texts in memory.
func (o OwnerRow) rankingKey(id string) string {
	if o.Model == "" {
		return id
	}
	return o.Model
}

// acceptedAt returns the time of the acceptance on the store clock.
func (o OwnerRow) acceptedAt() time.Duration { return time.Duration(o.AcceptedMS) * time.Millisecond }
