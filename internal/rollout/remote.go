package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// remoteRunner runs jobs on one other host. It starts them with methodStart, and polls their
// state with methodPoll as long as any are left.
type remoteRunner struct {
	hostID string
	peers  peerCaller

	mu   sync.Mutex
	jobs map[string]*remoteJob
	// settled lists the request ids of jobs that the other host is to drop with the next poll.
	settled []string
	polling bool
}

// remoteJob is one job on another host.
type remoteJob struct {
	progress      *progress
	done          chan outcome
	textRequested bool
}

// peerCaller is the part of peer.Exchange that calls other hosts.
type peerCaller interface {
	Call(ctx context.Context, hostID, method string, payload []byte) ([]byte, error)
}

// run starts a job on the other host and waits until it ends. If ctx ends first, the other host
// drops the job.
func (r *remoteRunner) run(ctx context.Context, j job, p *progress) outcome {
	id := j.Chat.RequestID
	rj := &remoteJob{progress: p, done: make(chan outcome, 1)}
	payload, err := encodeMsgpack(startCall{Jobs: []job{j}})
	if err != nil {
		return outcome{Err: failure.As(err)}
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	_, err = r.peers.Call(callCtx, r.hostID, methodStart, payload)
	cancel()
	if err != nil {
		r.settle(id)
		return outcome{Err: failure.As(err)}
	}
	r.add(id, rj)
	p.setTextRequester(func() { r.requestText(rj) })
	select {
	case end := <-rj.done:
		return end
	case <-ctx.Done():
		r.settle(id)
		return outcome{Err: failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "the rollout was cancelled")}
	}
}

func (r *remoteRunner) add(id string, rj *remoteJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = rj
	r.ensurePolling()
}

// settle forgets a job here, and tells the other host to drop it with the next poll.
func (r *remoteRunner) settle(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, id)
	r.settled = append(r.settled, id)
	r.ensurePolling()
}

// ensurePolling starts polling the other host, unless it is already polled; r.mu is held.
func (r *remoteRunner) ensurePolling() {
	if !r.polling {
		r.polling = true
		go r.poll()
	}
}

func (r *remoteRunner) requestText(rj *remoteJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rj.textRequested = true
}

// poll polls the other host until it has no job left. Once the host has not replied for
// peerSilenceTimeout, all its jobs fail.
func (r *remoteRunner) poll() {
	lastReply := time.Now()
	for {
		call, more := r.nextCall()
		if !more {
			return
		}
		reply, err := r.pollOnce(call)
		if err == nil {
			lastReply = time.Now()
			r.applyReply(reply)
			continue
		}
		r.requeueSettled(call.Settled)
		if time.Since(lastReply) > peerSilenceTimeout {
			r.failAll(failure.Wrap(err, failure.PeerUnreachable, failure.Unknown, "host %s does not answer polls", r.hostID))
		}
		time.Sleep(jobPollWait)
	}
}

// nextCall returns the next poll, and false if there is nothing left to poll.
func (r *remoteRunner) nextCall() (pollCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call := pollCall{Settled: r.settled}
	r.settled = nil
	for id, rj := range r.jobs {
		call.Running = append(call.Running, id)
		if rj.textRequested {
			call.Texts = append(call.Texts, id)
		}
	}
	if len(call.Running)+len(call.Settled) == 0 {
		r.polling = false
		return call, false
	}
	return call, true
}

func (r *remoteRunner) pollOnce(call pollCall) (pollReply, error) {
	var reply pollReply
	payload, err := encodeMsgpack(call)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	encoded, err := r.peers.Call(ctx, r.hostID, methodPoll, payload)
	if err != nil {
		return reply, err
	}
	return reply, decodeMsgpack(encoded, &reply)
}

// requeueSettled adds the settled jobs of a failed poll to the next one. If no job is left
// there is no need: the other host drops jobs that are not polled.
func (r *remoteRunner) requeueSettled(settled []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.jobs) > 0 {
		r.settled = append(r.settled, settled...)
	}
}

func (r *remoteRunner) applyReply(reply pollReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, state := range reply.Running {
		if rj, ok := r.jobs[state.RequestID]; ok {
			rj.progress.replace(state.toLocalClock(now))
		}
	}
	for _, end := range reply.Ended {
		r.finish(end.RequestID, end.Outcome, end.Ran, now)
	}
	for _, id := range reply.Unknown {
		lost := failure.New(failure.PeerUnreachable, failure.Unknown, "host %s no longer has the rollout", r.hostID)
		r.finish(id, outcome{Err: lost}, 0, now)
	}
}

// finish passes an outcome to the waiting run; r.mu is held.
func (r *remoteRunner) finish(id string, end outcome, ran time.Duration, now time.Time) {
	rj, ok := r.jobs[id]
	if !ok {
		return
	}
	if ran > 0 && end.EngineID != "" {
		rj.progress.replace(progressSnapshot{EngineID: end.EngineID, Started: now.Add(-ran), Tokens: end.Generation.Tokens, Segments: end.Generation.Segments, Text: end.Generation.Text})
	}
	delete(r.jobs, id)
	r.settled = append(r.settled, id)
	rj.done <- end
}

// failAll ends all jobs with the given error.
func (r *remoteRunner) failAll(cause *failure.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rj := range r.jobs {
		delete(r.jobs, id)
		rj.done <- outcome{Err: cause}
	}
}

// toLocalClock returns the progress with times on this host's clock.
func (rr remoteProgress) toLocalClock(now time.Time) progressSnapshot {
	r := progressSnapshot{EngineID: rr.EngineID, Tokens: rr.Tokens, Segments: rr.Segments, Text: rr.Text}
	if rr.EngineID != "" {
		r.Started = now.Add(-rr.Ran)
	}
	return r
}
