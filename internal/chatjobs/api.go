package chatjobs

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/callerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/job"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	// maxWait is the longest time that a trainer may wait for results in one request.
	maxWait = time.Minute
	// callTimeout is the time for the store calls of a request. The limit of every
	// request is maxWait plus callTimeout.
	callTimeout = 5 * time.Second
	// maxRollouts is the largest number of rollouts in a job.
	maxRollouts = 1 << 14
	// maxTokensLimit is the largest max_tokens of a rollout, in tokens.
	maxTokensLimit = 1 << 20
	// maxIDBytes is the largest length of the id of a job or rollout, in bytes. Both are part
	// of row keys.
	maxIDBytes = 128
)

// manager is the part of job.Manager that the API uses.
type manager interface {
	Accept(ctx context.Context, spec *job.Spec, configVersion uint64) error
	Results(ctx context.Context, id string, after int, wait time.Duration) (job.Page, error)
	Body(ctx context.Context, id, rollout string) ([]byte, error)
	End(ctx context.Context, id string) error
}

// API serves the job endpoints of the trainer API.
type API struct {
	docs deployment.Source
	jobs manager
}

// call is one authenticated trainer request.
type call struct {
	http    *fasthttp.RequestCtx
	model   string
	trainer string
	// job is the job's id in the store: the trainer's name, a slash and the trainer's id of the
	// job.
	job string
	// configVersion is the version of the document by which the call was authenticated.
	configVersion uint64
}

// Handle serves the paths under trainerapi.PathJobs.
func (a *API) Handle(http *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait+callTimeout)
	defer cancel()
	if err := a.handle(ctx, http); err != nil {
		callerapi.WriteError(&http.Response, failure.As(err))
	}
}

func (a *API) handle(ctx context.Context, http *fasthttp.RequestCtx) error {
	trainer, rest, _ := strings.Cut(strings.TrimPrefix(string(http.Path()), trainerapi.PathJobs), "/")
	id, action, _ := strings.Cut(rest, "/")
	doc, known, err := callerapi.AuthenticateTrainer(a.docs, http, trainer)
	if err != nil {
		return err
	}
	if err := checkID("job", id); err != nil {
		return err
	}
	c := call{http: http, model: doc.EnginePools[known.EnginePool].Model, trainer: trainer, job: trainer + "/" + id, configVersion: doc.Version}
	switch rollout, isRollout := strings.CutPrefix(action, "rollouts/"); {
	case http.IsPost() && action == "":
		return a.accept(ctx, c)
	case http.IsGet() && action == "results":
		return a.results(ctx, c)
	case http.IsGet() && isRollout:
		return a.rollout(ctx, c, rollout)
	case http.IsDelete() && action == "":
		return a.jobs.End(ctx, c.job)
	}
	return failure.New(failure.NotFound, failure.NotRun, "the job API has no endpoint %s %s", http.Method(), http.Path()).WithField("path")
}

// checkID returns an InvalidRequest error if the id of a job or rollout is not usable in a key.
func checkID(what, id string) error {
	if id == "" || len(id) > maxIDBytes || strings.Contains(id, "/") {
		return failure.New(failure.InvalidRequest, failure.NotRun, "the id of a %s is out of range", what).
			WithField(what).WithLimit("1 to " + strconv.Itoa(maxIDBytes) + " bytes without a slash")
	}
	return nil
}

func (a *API) accept(ctx context.Context, c call) error {
	var req trainerapi.JobRequest
	if err := json.Unmarshal(c.http.PostBody(), &req); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the job request is not valid JSON").WithField("body")
	}
	spec, err := specOf(c, req)
	if err != nil {
		return err
	}
	if err := a.jobs.Accept(ctx, spec, c.configVersion); err != nil {
		return err
	}
	jsonhttp.WriteJSON(c.http, fasthttp.StatusAccepted, trainerapi.JobAccepted{Job: strings.TrimPrefix(c.job, c.trainer+"/"), Rollouts: len(spec.Rollouts)})
	return nil
}

// specOf validates a job request and returns its spec. The ids of the rollouts are prefixed
// with the job's id in the store, which makes them unique across jobs.
func specOf(c call, req trainerapi.JobRequest) (*job.Spec, error) {
	if len(req.Rollouts) == 0 || len(req.Rollouts) > maxRollouts {
		return nil, failure.OutOfRange("rollouts", "1 to "+strconv.Itoa(maxRollouts))
	}
	spec := &job.Spec{ID: c.job, Host: c.trainer, Model: c.model, MinVersion: req.MinVersion}
	seen := map[string]bool{}
	for _, rollout := range req.Rollouts {
		if err := checkID("rollout", rollout.ID); err != nil {
			return nil, err
		}
		switch {
		case seen[rollout.ID]:
			return nil, failure.OutOfRange("rollouts.id", "each once")
		case len(rollout.Messages) == 0:
			return nil, failure.OutOfRange("rollouts.messages", "at least 1 message")
		case rollout.MaxTokens < 1 || rollout.MaxTokens > maxTokensLimit:
			return nil, failure.OutOfRange("rollouts.max_tokens", "1 to "+strconv.Itoa(maxTokensLimit))
		case rollout.ExpectedTokens < 0:
			return nil, failure.OutOfRange("rollouts.expected_tokens", "0 or more")
		}
		seen[rollout.ID] = true
		body, err := json.Marshal(rollout)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "cannot encode rollout %s", rollout.ID)
		}
		spec.Rollouts = append(spec.Rollouts, job.Rollout{ID: c.job + "/" + rollout.ID, Body: body, LengthHint: rollout.ExpectedTokens})
	}
	return spec, nil
}

func (a *API) results(ctx context.Context, c call) error {
	query := c.http.QueryArgs()
	after, wait := 0, time.Duration(0)
	var err error
	if value := string(query.Peek("after")); value != "" {
		if after, err = strconv.Atoi(value); err != nil || after < 0 {
			return failure.OutOfRange("after", "0 or more")
		}
	}
	if value := string(query.Peek("wait")); value != "" {
		if wait, err = time.ParseDuration(value); err != nil || wait < 0 || wait > maxWait {
			return failure.OutOfRange("wait", "0s to "+maxWait.String())
		}
	}
	page, err := a.jobs.Results(ctx, c.job, after, wait)
	if err != nil {
		return err
	}
	answer := trainerapi.JobResults{Total: page.Total, Next: after + len(page.Results), Results: []trainerapi.JobResult{}}
	for _, result := range page.Results {
		converted, err := jobResultOf(c.job, result)
		if err != nil {
			return err
		}
		answer.Results = append(answer.Results, converted)
	}
	jsonhttp.WriteJSON(c.http, fasthttp.StatusOK, answer)
	return nil
}

func (a *API) rollout(ctx context.Context, c call, rollout string) error {
	body, err := a.jobs.Body(ctx, c.job, c.job+"/"+rollout)
	if err != nil {
		return err
	}
	c.http.SetContentType("application/json")
	c.http.SetBody(body)
	return nil
}
