package trainer

import (
	"context"
	"strconv"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// stepPath returns the path of step n.
func (s *Standin) stepPath(n uint64) string {
	return trainerapi.PathTrainers + s.cfg.Name + "/steps/" + strconv.FormatUint(n, 10)
}

// nextHostAddress returns the caller address of the host for the next call.
func (s *Standin) nextHostAddress() string {
	hosts := s.entry.Hosts()
	return hosts[s.nextHost%len(hosts)].Address
}

// callFailed counts a failed or refused call, switches to the next host and waits for retryPause.
func (s *Standin) callFailed(ctx context.Context) {
	s.nextHost++
	s.mu.Lock()
	s.results.FailedCalls++
	s.mu.Unlock()
	pause.For(ctx, retryPause)
}

// requestStepsUntil requests all steps up to n that were not requested yet. It
// returns false if a request was refused for good, as isFinal says, or ctx ended.
func (s *Standin) requestStepsUntil(ctx context.Context, n uint64) bool {
	if s.lastRequested == 0 {
		s.lastRequested = s.cfg.FirstStep - 1
	}
	for s.lastRequested < n {
		if !s.requestStep(ctx, s.lastRequested+1) {
			return false
		}
		s.lastRequested++
	}
	return true
}

// requestStep requests step n until a host accepts it. It returns false if the
// request was refused for good, as isFinal says, or if ctx ended.
func (s *Standin) requestStep(ctx context.Context, n uint64) bool {
	request := s.stepRequest(n)
	for ctx.Err() == nil {
		s.Faults().WaitThawed(ctx)
		_, err := s.hosts.Do(fasthttp.MethodPost, "http://"+s.nextHostAddress()+s.stepPath(n), request, nil)
		if err == nil {
			return true
		}
		if isFinal(err) {
			s.problem("step %d was refused: %s", n, err)
			return false
		}
		s.callFailed(ctx)
	}
	return false
}

// isFinal reports whether a retry of a refused step request cannot succeed.
func isFinal(err error) bool {
	switch failure.As(err).Kind {
	case failure.Conflict, failure.InvalidRequest, failure.BodyTooLarge, failure.Forbidden:
		return true
	}
	return false
}

// fetch requests the samples of a step until the response is complete. It also
// returns the newest weight version when the last request was sent. It returns
// false if ctx ended, or if a host refused with SamplesStale: the hosts have sent
// the samples before, and these have exceeded the staleness bound since.
func (s *Standin) fetch(ctx context.Context, n uint64) (trainerapi.StepSamples, uint64, bool) {
	for ctx.Err() == nil {
		s.Faults().WaitThawed(ctx)
		newest := s.newestVersion()
		samples, complete, err := s.fetchOnce(s.nextHostAddress(), n)
		switch {
		case err != nil:
			if failure.IsKind(err, failure.SamplesStale) {
				return trainerapi.StepSamples{}, 0, false
			}
			if failure.IsKind(err, failure.NotFound) {
				// The hosts do not know the step. If the new request is refused for good,
				// it is recorded as a problem, and the fetch is still retried.
				s.requestStep(ctx, n)
			}
			s.callFailed(ctx)
		case complete:
			return samples, newest, true
		}
	}
	return trainerapi.StepSamples{}, 0, false
}

// fetchOnce requests the samples of a step once. complete is false if the step is
// still in progress.
func (s *Standin) fetchOnce(host string, n uint64) (samples trainerapi.StepSamples, complete bool, err error) {
	url := "http://" + host + s.stepPath(n) + "/samples?wait=" + fetchWait.String()
	status, err := s.hosts.DoTimeout(fetchTimeout, fasthttp.MethodGet, url, nil, &samples)
	return samples, status == fasthttp.StatusOK, err
}

// refetch fetches a step again from another host, and records the step in
// ChangedSteps if the samples differ.
func (s *Standin) refetch(ctx context.Context, n uint64, first trainerapi.StepSamples) {
	s.nextHost++
	second, _, ok := s.fetch(ctx, n)
	if !ok || cmp.Equal(first, second) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.ChangedSteps = append(s.results.ChangedSteps, n)
}

// cancelStep cancels a step whose samples exceeded the staleness bound before the
// trainer received them, and adds it to CancelledSteps.
func (s *Standin) cancelStep(ctx context.Context, n uint64) {
	s.mu.Lock()
	s.results.CancelledSteps = append(s.results.CancelledSteps, n)
	s.mu.Unlock()
	for ctx.Err() == nil {
		_, err := s.hosts.Do(fasthttp.MethodDelete, "http://"+s.nextHostAddress()+s.stepPath(n), nil, nil)
		if err == nil {
			return
		}
		s.callFailed(ctx)
	}
}

// acknowledge tells the hosts that the samples of a step have arrived. The hosts may then delete them.
func (s *Standin) acknowledge(ctx context.Context, n uint64) {
	for ctx.Err() == nil {
		_, err := s.hosts.Do(fasthttp.MethodPost, "http://"+s.nextHostAddress()+s.stepPath(n)+"/ack", nil, nil)
		if err == nil {
			return
		}
		s.callFailed(ctx)
	}
}

// stepRequest returns the request for a step. It is always the same for a step,
// because a retry with another content would be refused.
func (s *Standin) stepRequest(n uint64) trainerapi.StepRequest {
	groups := make([]trainerapi.GroupRequest, s.cfg.Groups)
	for g := range groups {
		groups[g] = trainerapi.GroupRequest{Messages: s.prompt(n, g)}
	}
	return trainerapi.StepRequest{Groups: groups, GroupSize: s.cfg.GroupSize, MaxTokens: s.cfg.MaxTokens}
}

// preamble is repeated to form the part that all prompts have in common.
const preamble = "Advise a fitter on the draught of a flue, from the report that follows. "

// prompt returns the prompt of a group of a step. Its system message is the same in all steps.
func (s *Standin) prompt(n uint64, group int) []engineapi.Message {
	shared := make([]byte, 0, s.cfg.PromptBytes+len(preamble))
	for len(shared) < s.cfg.PromptBytes {
		shared = append(shared, preamble...)
	}
	report := "Report " + strconv.FormatInt(s.cfg.Seed, 10) + "-" + strconv.FormatUint(n, 10) + "-" + strconv.Itoa(group) + " of " + s.cfg.Name
	return []engineapi.Message{
		{Role: "system", Content: string(shared[:s.cfg.PromptBytes])},
		{Role: "user", Content: report},
	}
}
