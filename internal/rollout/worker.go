package rollout

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// worker runs rollouts on this host for the hosts that own trainers.
type worker struct {
	runner *localRunner

	mu   sync.Mutex
	jobs map[string]*workerJob
	// settled holds when an owner settled a job, by request id, for peerSilenceTimeout. The
	// call that starts the job may arrive later.
	settled map[string]time.Time
	// ended is closed and replaced when a job ends.
	ended chan struct{}
	// stopping is true once new jobs are refused.
	stopping bool
}

// workerJob is one rollout that this host runs for another one.
type workerJob struct {
	cancel   context.CancelFunc
	progress *progress
	// end is the outcome, or nil while the job runs.
	end *remoteOutcome
	// lastPolled is when the owner started the job or last polled it.
	lastPolled time.Time
}

func newWorker(r *localRunner) *worker {
	return &worker{runner: r, jobs: map[string]*workerJob{}, settled: map[string]time.Time{}, ended: make(chan struct{})}
}

// run cancels jobs that are no longer polled, until ctx ends. Then it cancels all jobs and
// waits until their owners have fetched the output so far, at most for handoverTimeout.
func (w *worker) run(ctx context.Context) error {
	ticker := time.NewTicker(peerSilenceTimeout / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.handOver()
			return ctx.Err()
		case now := <-ticker.C:
			w.dropUnpolled(now.Add(-peerSilenceTimeout))
		}
	}
}

func (w *worker) handOver() {
	deadline := time.Now().Add(handoverTimeout)
	w.cancelAll()
	for w.count() > 0 && time.Now().Before(deadline) {
		time.Sleep(handoverPollInterval)
	}
	// A time in the future drops all jobs.
	w.dropUnpolled(time.Now().Add(handoverTimeout))
}

func (w *worker) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	for _, j := range w.jobs {
		j.cancel()
	}
}

func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs)
}

// dropUnpolled cancels and forgets the jobs that were last polled before the given time, and
// forgets which jobs were settled before it.
func (w *worker) dropUnpolled(before time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if j.lastPolled.Before(before) {
			w.drop(id, j)
		}
	}
	maps.DeleteFunc(w.settled, func(_ string, at time.Time) bool { return at.Before(before) })
}

// drop cancels and forgets a job; w.mu is held.
func (w *worker) drop(id string, j *workerJob) {
	j.cancel()
	delete(w.jobs, id)
}

// handleStart handles methodStart.
func (w *worker) handleStart(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var call startCall
	if err := decodeMsgpack(payload, &call); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping {
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "this host is stopping")
	}
	for _, j := range call.Jobs {
		_, known := w.jobs[j.Chat.RequestID]
		_, settled := w.settled[j.Chat.RequestID]
		if !known && !settled {
			w.start(j)
		}
	}
	return nil, nil
}

// start runs a job in a new goroutine; w.mu is held.
func (w *worker) start(j job) {
	ctx, cancel := context.WithCancel(context.Background())
	wj := &workerJob{cancel: cancel, progress: &progress{}, lastPolled: time.Now()}
	w.jobs[j.Chat.RequestID] = wj
	go func() {
		defer cancel()
		end := w.runner.run(ctx, j, wj.progress)
		w.finish(j.Chat.RequestID, wj, end)
	}()
}

func (w *worker) finish(id string, j *workerJob, end outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := time.Since(j.progress.snapshot().Started)
	j.end = &remoteOutcome{RequestID: id, Outcome: end, Ran: ran}
	close(w.ended)
	w.ended = make(chan struct{})
}

// handlePoll handles methodPoll.
func (w *worker) handlePoll(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var call pollCall
	if err := decodeMsgpack(payload, &call); err != nil {
		return nil, err
	}
	timer := time.NewTimer(jobPollWait)
	defer timer.Stop()
	for {
		reply, ended := w.poll(call)
		if len(reply.Ended)+len(reply.Unknown) > 0 || len(call.Running) == 0 {
			return encodeMsgpack(reply)
		}
		select {
		case <-ended:
		case <-timer.C:
			reply, _ = w.poll(call)
			return encodeMsgpack(reply)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// poll drops the settled jobs of a call, and returns the state of its running ones and a
// channel that is closed when a job ends.
func (w *worker) poll(call pollCall) (pollReply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range call.Settled {
		w.settled[id] = time.Now()
		if j, ok := w.jobs[id]; ok {
			w.drop(id, j)
		}
	}
	var reply pollReply
	now := time.Now()
	for _, id := range call.Running {
		j, ok := w.jobs[id]
		switch {
		case !ok:
			reply.Unknown = append(reply.Unknown, id)
		case j.end != nil:
			reply.Ended = append(reply.Ended, *j.end)
		default:
			reply.Running = append(reply.Running, remoteProgressOf(id, j.progress, slices.Contains(call.Texts, id), now))
		}
		if ok {
			j.lastPolled = now
		}
	}
	return reply, w.ended
}

func remoteProgressOf(id string, p *progress, withText bool, now time.Time) remoteProgress {
	r := p.snapshot()
	state := remoteProgress{RequestID: id, EngineID: r.EngineID, Tokens: r.Tokens, Segments: r.Segments}
	if r.EngineID != "" {
		state.Ran = now.Sub(r.Started)
	}
	if withText {
		state.Text = r.Text
	}
	return state
}
