package rollout

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// Methods of the peer exchange with which the owner of a trainer runs rollouts on other hosts.
const (
	// methodStart takes a startCall and has an empty reply. It is idempotent.
	methodStart = "rollout.start"
	// methodPoll takes a pollCall and replies with a pollReply once a job has ended or is unknown,
	// or after jobPollWait. It replies at once if the call lists no running jobs.
	methodPoll = "rollout.poll"
)

const (
	// jobPollWait is how long a poll waits for a job to end, and the wait after a failed poll.
	jobPollWait = 300 * time.Millisecond
	// peerCallTimeout bounds a call to another host, the wait of a poll included.
	peerCallTimeout = 2 * time.Second
	// peerSilenceTimeout is how long a host may leave polls without a reply before its jobs count
	// as lost, and how long a host runs jobs that are not polled.
	peerSilenceTimeout = 5 * time.Second
)

// startCall is the request of methodStart.
type startCall struct {
	Jobs []job
}

// pollCall is the request of methodPoll. It names jobs by their request ids.
type pollCall struct {
	Running []string
	// Texts lists the jobs whose text so far is to be included in the reply.
	Texts []string
	// Settled lists jobs that were cancelled, or whose outcome was received. The other host
	// drops them.
	Settled []string
}

// pollReply is the reply to a pollCall.
type pollReply struct {
	Running []remoteProgress
	Ended   []remoteOutcome
	// Unknown lists jobs that the replying host does not have.
	Unknown []string
}

// remoteProgress is a progressSnapshot with a duration instead of the start time, because hosts'
// clocks differ. Ran is the time since the engine was picked; zero if none was.
type remoteProgress struct {
	RequestID string
	EngineID  string
	Ran       time.Duration
	Tokens    int
	Segments  []engineapi.Segment
	Text      string
}

// remoteOutcome is the outcome of a job. Ran is the time from the pick of the engine until the
// end; it has no meaning if no engine was picked.
type remoteOutcome struct {
	RequestID string
	Outcome   outcome
	Ran       time.Duration
}

func encodeMsgpack(v any) ([]byte, error) {
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "cannot encode a message to a peer host")
	}
	return payload, nil
}

func decodeMsgpack(payload []byte, v any) error {
	if err := msgpack.Unmarshal(payload, v); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "cannot decode a message from a peer host")
	}
	return nil
}
