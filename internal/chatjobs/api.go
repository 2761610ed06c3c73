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
	// maxWait bounds how long a trainer may wait for results in one request.
	maxWait = time.Minute
	// callTimeout bounds the store calls of one request.
	callTimeout = 5 * time.Second
	// maxRollouts bounds the rollouts of one job.
	maxRollouts = 1 << 14
	// maxTokens bounds one rollout, in tokens.
	maxTokens = 1 << 20
	// maxID bounds the ids of jobs and rollouts, in bytes; both are part of row keys.
	maxID = 128
)

// manager is the part of job.Manager that answers trainers.
type manager interface {
	Accept(ctx context.Context, spec *job.Spec) error
	Results(ctx context.Context, id string, after int, wait time.Duration) (job.Page, error)
	Body(ctx context.Context, id, rollout string) ([]byte, error)
	End(ctx context.Context, id string) error
}

// API answers trainers that hand in jobs.
type API struct {
	docs deployment.Source
	jobs manager
}

// call is one request of a trainer.
type call struct {
	http    *fasthttp.RequestCtx
	model   string
	trainer string
	// job is the job's id in the store, which starts with the trainer's name.
	job string
}

// Handle is the handler of trainerapi.PathJobs.
func (a *API) Handle(http *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait+callTimeout)
	defer cancel()
	if err := a.handle(ctx, http); err != nil {
		callerapi.Refuse(&http.Response, failure.As(err))
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
	c := call{http: http, model: doc.Engines[known.Engines].Model, trainer: trainer, job: trainer + "/" + id}
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
	return failure.New(failure.NotFound, failure.NotRun, "the job API has no %s %s", http.Method(), http.Path()).WithField("path")
}

func checkID(what, id string) error {
	if id == "" || len(id) > maxID || strings.Contains(id, "/") {
		return failure.New(failure.InvalidRequest, failure.NotRun, "the id of a %s is out of range", what).
			WithField(what).WithLimit("1 to " + strconv.Itoa(maxID) + " bytes without a slash")
	}
	return nil
}

func (a *API) accept(ctx context.Context, c call) error {
	var req trainerapi.JobRequest
	if err := json.Unmarshal(c.http.PostBody(), &req); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the job is not valid JSON").WithField("body")
	}
	spec, err := specOf(c, req)
	if err != nil {
		return err
	}
	if err := a.jobs.Accept(ctx, spec); err != nil {
		return err
	}
	jsonhttp.Answer(c.http, fasthttp.StatusAccepted, trainerapi.JobAccepted{Job: strings.TrimPrefix(c.job, c.trainer+"/"), Rollouts: len(spec.Rollouts)})
	return nil
}

// specOf checks a job and gives its rollouts ids that no other job has.
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
		case rollout.MaxTokens < 1 || rollout.MaxTokens > maxTokens:
			return nil, failure.OutOfRange("rollouts.max_tokens", "1 to "+strconv.Itoa(maxTokens))
		case rollout.ExpectedTokens < 0:
			return nil, failure.OutOfRange("rollouts.expected_tokens", "0 or more")
		}
		seen[rollout.ID] = true
		body, err := json.Marshal(rollout)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "rollout %s can't be encoded", rollout.ID)
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
		sample, err := sampleOf(c.job, result)
		if err != nil {
			return err
		}
		answer.Results = append(answer.Results, sample)
	}
	jsonhttp.Answer(c.http, fasthttp.StatusOK, answer)
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
