package job

import "time"

// Spec is a job as its trainer submitted it.
type Spec struct {
	ID string `json:"id"`
	// Host and Path select the route that the job's rollouts obey.
	Host string `json:"host"`
	Path string `json:"path"`
	// Model is the model that generates; Step numbers the model's training steps.
	Model string `json:"model,omitempty"`
	Step  int    `json:"step,omitempty"`
	// MinVersion is the oldest version of the weights that may generate a token.
	MinVersion uint64 `json:"min_version,omitempty"`
	// WantGroups is the number of whole groups that the trainer waits for; zero means all.
	WantGroups int       `json:"want_groups,omitempty"`
	Rollouts   []Rollout `json:"rollouts"`
}

// Rollout is one generation of a job.
type Rollout struct {
	ID string `json:"id"`
	// Group names the rollouts that share a prompt and count only together.
	Group   string            `json:"group,omitempty"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	// Tokens is the sum of the prompt's tokens and the most that may be generated.
	Tokens int `json:"tokens,omitempty"`
	// LengthHint is the trainer's guess of the tokens to be generated; zero if it gave none.
	LengthHint int `json:"length_hint,omitempty"`
	// Score is the call that scores the finished text; nil if none is wanted.
	Score *ScoreCall `json:"score,omitempty"`
}

// ScoreCall is a request to a service that scores rollouts.
type ScoreCall struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Event is one piece of a generated text.
type Event struct {
	Data string `json:"d"`
	// Version is the version of the weights that generated it.
	Version uint64 `json:"v"`
}

// State says how a rollout ended.
type State string

// States of a result.
const (
	Completed State = "completed"
	Dead      State = "dead"
)

// Result is a listed rollout.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Text holds the data of all events, separated by line feeds.
	Text string `json:"text"`
	// Versions are all versions that generated an event of the text, ascending.
	Versions []uint64 `json:"versions,omitempty"`
	// Score is the signature of the scoring call's answer.
	Score string `json:"score,omitempty"`
	// ScoredBy is the id of that call.
	ScoredBy string `json:"scored_by,omitempty"`
}

// Owner is the row of a job that says who runs it.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// AcceptedMS is the store's clock at the acceptance, in milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// Total is the number of rollouts and Listed that of the results.
	Total  int `json:"total"`
	Listed int `json:"listed"`
	// Model, Step and Host of the route find the job from which groups are carried over.
	Model string `json:"model,omitempty"`
	Step  int    `json:"step"`
	// MinVersion is the oldest version of the weights that the job allows.
	MinVersion uint64 `json:"min_version,omitempty"`
	// Chunks is the number of rows that hold the spec.
	Chunks int `json:"chunks"`
}

// key is what decides which host runs a job: those of one model are run by the
// same host, which then knows the engines, holds connections to them and has the
// texts that are carried over.
func (o Owner) key(id string) string {
	if o.Model == "" {
		return id
	}
	return o.Model
}

// accepted returns the store's clock at the acceptance.
func (o Owner) accepted() time.Duration { return time.Duration(o.AcceptedMS) * time.Millisecond }
