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

func (s *Standin) stepPath(n uint64) string {
	return trainerapi.PathTrainers + s.cfg.Name + "/steps/" + strconv.FormatUint(n, 10)
}

// host returns the address for the next call. After a failure another one follows.
func (s *Standin) host() string {
	hosts := s.entry.Hosts()
	return hosts[s.next%len(hosts)].Address
}

// failed counts a call that must be made again, at another host.
func (s *Standin) failed(ctx context.Context) {
	s.next++
	s.mu.Lock()
	s.results.Refusals++
	s.mu.Unlock()
	pause.For(ctx, retryPause)
}

// postUntil asks for all steps up to n that were not asked for yet.
func (s *Standin) postUntil(ctx context.Context, n uint64) bool {
	if s.posted == 0 {
		s.posted = s.cfg.FirstStep - 1
	}
	for s.posted < n {
		if !s.post(ctx, s.posted+1) {
			return false
		}
		s.posted++
	}
	return true
}

// post asks for a step until a host accepted it.
func (s *Standin) post(ctx context.Context, n uint64) bool {
	request := s.request(n)
	for ctx.Err() == nil {
		s.Faults().WaitThawed(ctx)
		_, err := s.hosts.Do(fasthttp.MethodPost, "http://"+s.host()+s.stepPath(n), request, nil)
		if err == nil {
			return true
		}
		if isFinal(err) {
			s.problem("step %d was refused: %s", n, err)
			return false
		}
		s.failed(ctx)
	}
	return false
}

// isFinal reports whether a repeat of a refused step request can't succeed.
func isFinal(err error) bool {
	switch failure.As(err).Kind {
	case failure.Conflict, failure.InvalidRequest, failure.BodyTooLarge, failure.Forbidden:
		return true
	}
	return false
}

// fetch asks for a step's samples until they are whole. It also returns the
// newest weight version at the time of the request that brought them. It
// returns false if ctx ended, or if the samples were delivered before and are too old now.
func (s *Standin) fetch(ctx context.Context, n uint64) (trainerapi.StepSamples, uint64, bool) {
	for ctx.Err() == nil {
		s.Faults().WaitThawed(ctx)
		newest := s.learnNewest()
		samples, whole, err := s.fetchOnce(s.host(), n)
		switch {
		case err != nil:
			if failure.IsKind(err, failure.SamplesStale) {
				return trainerapi.StepSamples{}, 0, false
			}
			if failure.IsKind(err, failure.NotFound) {
				s.post(ctx, n)
			}
			s.failed(ctx)
		case whole:
			return samples, newest, true
		}
	}
	return trainerapi.StepSamples{}, 0, false
}

func (s *Standin) fetchOnce(host string, n uint64) (samples trainerapi.StepSamples, whole bool, err error) {
	url := "http://" + host + s.stepPath(n) + "/samples?wait=" + fetchWait.String()
	status, err := s.hosts.DoTimeout(fetchTimeout, fasthttp.MethodGet, url, nil, &samples)
	return samples, status == fasthttp.StatusOK, err
}

// refetch fetches a step again from another host; the content must be the same.
func (s *Standin) refetch(ctx context.Context, n uint64, first trainerapi.StepSamples) {
	s.next++
	second, _, ok := s.fetch(ctx, n)
	if !ok || cmp.Equal(first, second) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.ChangedSteps = append(s.results.ChangedSteps, n)
}

// acknowledge releases a step.
// giveUp cancels a step whose samples grew too old before they arrived.
func (s *Standin) giveUp(ctx context.Context, n uint64) {
	s.mu.Lock()
	s.results.AbandonedSteps = append(s.results.AbandonedSteps, n)
	s.mu.Unlock()
	for ctx.Err() == nil {
		_, err := s.hosts.Do(fasthttp.MethodDelete, "http://"+s.host()+s.stepPath(n), nil, nil)
		if err == nil {
			return
		}
		s.failed(ctx)
	}
}

func (s *Standin) acknowledge(ctx context.Context, n uint64) {
	for ctx.Err() == nil {
		_, err := s.hosts.Do(fasthttp.MethodPost, "http://"+s.host()+s.stepPath(n)+"/ack", nil, nil)
		if err == nil {
			return
		}
		s.failed(ctx)
	}
}

// request builds the request for a step. It is the same at each call.
func (s *Standin) request(n uint64) trainerapi.StepRequest {
	groups := make([]trainerapi.GroupRequest, s.cfg.Groups)
	for g := range groups {
		groups[g] = trainerapi.GroupRequest{Messages: s.prompt(n, g)}
	}
	return trainerapi.StepRequest{Groups: groups, GroupSize: s.cfg.GroupSize, MaxTokens: s.cfg.MaxTokens}
}

const preamble = "Advise a fitter on the draught of a flue, from the report that follows. "

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
