package rollout

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/callerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	// maxWait is the longest time that a trainer may wait for samples in one request.
	maxWait = time.Minute
	// waitPollInterval is the time between two reads of the step while a trainer waits.
	waitPollInterval = 200 * time.Millisecond
	// callTimeout bounds the store calls of one trainer request, in addition to its wait.
	callTimeout = 15 * time.Second
	// maxRollouts is the largest number of rollouts in a step.
	maxRollouts = 1 << 16
	// maxGroupSize is the largest number of rollouts in a group.
	maxGroupSize = 1024
	// maxTokensLimit is the largest max_tokens of a rollout, in tokens.
	maxTokensLimit = 1 << 20
)

// API serves the step endpoints of the trainer API.
type API struct {
	docs     deployment.Source
	store    *store
	versions versionView
	meters   *metrics.Set
	// stopping reports whether this host is draining. Requests then no longer wait for samples.
	stopping func() bool
}

// call is one authenticated trainer request.
type call struct {
	ctx     context.Context
	http    *fasthttp.RequestCtx
	doc     *deployment.Document
	trainer deployment.Trainer
	step    uint64
}

// Handle serves the paths under trainerapi.PathTrainers.
func (a *API) Handle(http *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait+callTimeout)
	defer cancel()
	if err := a.handle(ctx, http); err != nil {
		callerapi.WriteError(&http.Response, failure.As(err))
	}
}

func (a *API) handle(ctx context.Context, http *fasthttp.RequestCtx) error {
	rest := strings.TrimPrefix(string(http.Path()), trainerapi.PathTrainers)
	parts := strings.Split(rest, "/")
	if len(parts) < 3 || len(parts) > 4 || parts[1] != "steps" {
		return notFound(http)
	}
	c, err := a.authenticate(ctx, http, parts[0])
	if err != nil {
		return err
	}
	if c.step, err = strconv.ParseUint(parts[2], 10, 64); err != nil {
		return failure.New(failure.InvalidRequest, failure.NotRun, "step %q is not a number", parts[2]).
			WithField("step").WithLimit("0 to 18446744073709551615")
	}
	action := ""
	if len(parts) == 4 {
		action = parts[3]
	}
	return a.route(c, string(http.Method())+" "+action)
}

func (a *API) route(c call, endpoint string) error {
	switch endpoint {
	case "POST ":
		return a.create(c)
	case "GET ":
		return a.progress(c, fasthttp.StatusOK)
	case "GET samples":
		return a.samples(c)
	case "POST ack":
		return a.ack(c)
	case "DELETE ":
		return a.cancel(c)
	}
	return notFound(c.http)
}

func notFound(http *fasthttp.RequestCtx) error {
	return failure.New(failure.NotFound, failure.NotRun, "the trainer API has no endpoint %s %s", http.Method(), http.Path()).WithField("path")
}

func (a *API) authenticate(ctx context.Context, http *fasthttp.RequestCtx, name string) (call, error) {
	doc, trainer, err := callerapi.AuthenticateTrainer(a.docs, http, name)
	return call{ctx: ctx, http: http, doc: doc, trainer: trainer}, err
}

func (a *API) create(c call) error {
	var req trainerapi.StepRequest
	if err := json.Unmarshal(c.http.PostBody(), &req); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the step request is not valid JSON").WithField("body")
	}
	if err := checkStep(req); err != nil {
		return err
	}
	s, err := a.store.create(c.ctx, c.trainer.Name, c.step, req, c.doc.Version)
	if err != nil {
		return err
	}
	return a.writeProgress(c, s, fasthttp.StatusAccepted)
}

func checkStep(req trainerapi.StepRequest) error {
	switch {
	case len(req.Groups) == 0:
		return failure.OutOfRange("groups", "at least 1")
	case req.GroupSize < 1 || req.GroupSize > maxGroupSize:
		return failure.OutOfRange("group_size", "1 to "+strconv.Itoa(maxGroupSize))
	case len(req.Groups)*req.GroupSize > maxRollouts:
		return failure.OutOfRange("groups", "at most "+strconv.Itoa(maxRollouts)+" rollouts a step")
	case req.MaxTokens < 1 || req.MaxTokens > maxTokensLimit:
		return failure.OutOfRange("max_tokens", "1 to "+strconv.Itoa(maxTokensLimit))
	case req.GroupsNeeded < 0 || req.GroupsNeeded > len(req.Groups):
		return failure.OutOfRange("groups_needed", "0 to the number of groups")
	}
	for _, g := range req.Groups {
		if len(g.Messages) == 0 {
			return failure.OutOfRange("groups.messages", "at least 1 message")
		}
		if g.ExpectedTokens < 0 {
			return failure.OutOfRange("groups.expected_tokens", "0 or more")
		}
	}
	return nil
}

func (a *API) progress(c call, status int) error {
	s, err := a.store.read(c.ctx, c.trainer.Name, c.step)
	if err != nil {
		return err
	}
	return a.writeProgress(c, s, status)
}

// ack ends a step whose samples the trainer has received. It is idempotent.
func (a *API) ack(c call) error {
	return a.updateStep(c, func(s step) (step, error) {
		switch {
		case s.State == trainerapi.StepAcknowledged:
			return s, nil
		case s.State == trainerapi.StepSealed && s.Delivered:
			return a.store.end(c.ctx, s, trainerapi.StepAcknowledged)
		}
		return s, failure.New(failure.Conflict, failure.NotRun, "step %d was not delivered: fetch its samples before the acknowledgement", s.Step).WithField("step")
	})
}

// cancel ends a step whose samples the trainer does not need. It is idempotent.
func (a *API) cancel(c call) error {
	return a.updateStep(c, func(s step) (step, error) {
		switch s.State {
		case trainerapi.StepCancelled:
			return s, nil
		case trainerapi.StepAcknowledged:
			return s, failure.New(failure.Conflict, failure.NotRun, "step %d is already acknowledged", s.Step).WithField("step")
		}
		return a.store.end(c.ctx, s, trainerapi.StepCancelled)
	})
}

// updateStep applies f to the step and responds with its progress. If another host changed the
// step concurrently, it reads the step and applies f again.
func (a *API) updateStep(c call, f func(s step) (step, error)) error {
	for {
		s, err := a.store.read(c.ctx, c.trainer.Name, c.step)
		if err != nil {
			return err
		}
		before := s.version
		s, err = f(s)
		if failure.IsKind(err, failure.Conflict) && a.changedSince(c, before) {
			continue
		}
		if err != nil {
			return err
		}
		return a.writeProgress(c, s, fasthttp.StatusOK)
	}
}

func (a *API) changedSince(c call, version uint64) bool {
	now, err := a.store.read(c.ctx, c.trainer.Name, c.step)
	return err == nil && now.version != version
}

func (a *API) writeProgress(c call, s step, status int) error {
	committed := len(s.Sealed)
	if s.State == trainerapi.StepRunning {
		groups, err := a.store.groups(c.ctx, s.Trainer, s.Step)
		if err != nil {
			return err
		}
		committed = min(len(groups), s.Needed)
	}
	return writeJSON(c, status, trainerapi.StepProgress{
		Trainer:   s.Trainer,
		Step:      s.Step,
		State:     s.State,
		Groups:    s.Needed,
		Committed: committed,
		Discarded: s.Discarded,
	})
}

func writeJSON(c call, status int, v any) error {
	body, err := encodeJSON(v)
	if err != nil {
		return err
	}
	c.http.SetStatusCode(status)
	c.http.SetContentType("application/json")
	c.http.SetBody(body)
	return nil
}
