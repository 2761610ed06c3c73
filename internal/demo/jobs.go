package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	rowsstandin "github.com/sapphirehatch/sapphirehatch/platform/standin"
)

const (
	jobRollouts         = 12
	jobEngineCount      = 2
	jobServiceCount     = 2
	jobSlots            = 8
	jobEventsPerRollout = 10
	jobEventInterval    = 50 * time.Millisecond
	jobHostCount        = 2
	jobID               = "demo-job"
	jobTimeout          = 20 * time.Second
	jobPollInterval     = 50 * time.Millisecond
)

// jobDemo runs a job on a platform with a row service. The host that accepted the
// job loses contact with the platform while the job runs.
type jobDemo struct {
	*demo
	store     *rowsstandin.Store
	endpoints []*rowsstandin.Endpoint
	hosts     []*settings.Rows
}

// runRowsJob submits a job to the first host, cuts that host off from the platform
// and reads the results from the second.
func (d *demo) runRowsJob(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	j := &jobDemo{demo: d, store: rowsstandin.NewStore()}
	d.startStandin("row platform", func(ctx context.Context) error {
		<-ctx.Done()
		for _, endpoint := range j.endpoints {
			endpoint.Close()
		}
		return nil
	})
	if err := j.startReplicas(); err != nil {
		return err
	}
	for i := range jobHostCount {
		if err := j.startHost(fmt.Sprintf("job-host-%d", i+1)); err != nil {
			return err
		}
	}
	if err := j.submit(ctx); err != nil {
		return err
	}
	j.endpoints[0].SetDown(true)
	return j.read(ctx)
}

func (j *jobDemo) startReplicas() error {
	for i := range jobEngineCount {
		engine, err := j.store.NewEngine(fmt.Sprintf("job-engine-%d", i+1), rowsstandin.EngineService, jobSlots, rowsstandin.Model)
		if err != nil {
			return err
		}
		engine.Events, engine.Pace = jobEventsPerRollout, jobEventInterval
	}
	for i := range jobServiceCount {
		if _, err := j.store.NewService(fmt.Sprintf("job-service-%d", i+1), rowsstandin.PlainService, jobSlots); err != nil {
			return err
		}
	}
	j.store.Configure(1, "")
	return nil
}

func (j *jobDemo) startHost(id string) error {
	endpoint, err := j.store.Listen()
	if err != nil {
		return err
	}
	s := settings.DefaultRows()
	s.Host.ID, s.Host.FailureDomain = id, "local"
	s.Platform = settings.RowsPlatform{Adapter: settings.AdapterRows, Address: endpoint.Address()}
	if err := chooseAddresses(&s.Host.CallerAddress, &s.Host.ReadyAddress, &s.Host.EntryAddress); err != nil {
		return err
	}
	j.endpoints, j.hosts = append(j.endpoints, endpoint), append(j.hosts, s)
	j.running.start(id, stopWithHosts, func(ctx context.Context) error { return j.cfg.RunRowsHost(ctx, s, j.cfg.Log) })
	return nil
}

// call sends a request to a host. A status other than want is an error.
func (j *jobDemo) call(ctx context.Context, host int, method, path string, body []byte, want int) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+j.hosts[host].Host.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "request %s %s cannot be created", method, path)
	}
	req.Host = rowsstandin.HostName
	req.Header.Set(rowsstandin.HeaderID, jobID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.UpstreamUnreachable, failure.Unknown, "host %d does not answer", host+1)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != want {
		return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "host %d answered status %d to %s %s, want %d", host+1, resp.StatusCode, method, path, want)
	}
	return text, nil
}

// submit submits the job to the first host, retrying until it is accepted.
func (j *jobDemo) submit(ctx context.Context) error {
	body := rowsstandin.Submission(jobID, jobRollouts, 0, 0)
	for {
		_, err := j.call(ctx, 0, http.MethodPost, "/jobs/submit", body, http.StatusAccepted)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(jobPollInterval)
	}
}

// read reads all results from the second host and checks them.
func (j *jobDemo) read(ctx context.Context) error {
	var err error
	j.report.JobResults, err = j.readJob(ctx, "job on row platform", func(after int) (page trainerapi.JobResults, err error) {
		text, err := j.call(ctx, 1, http.MethodGet, fmt.Sprintf("%s%s?after=%d", rowsstandin.PathJobs, jobID, after), nil, http.StatusOK)
		if err != nil {
			return page, err
		}
		// The fields that are checked have the same names in the answers of both APIs.
		if err := json.Unmarshal(text, &page); err != nil {
			return page, failure.Wrap(err, failure.IncompleteAnswer, failure.Unknown, "page of results cannot be parsed")
		}
		return page, nil
	}, func(r trainerapi.JobResult) bool { return r.Text == rowsstandin.Text(r.ID, jobEventsPerRollout) })
	return err
}

// readJob reads a job's results page by page and checks that each is listed once,
// completed and complete. It returns the number of results. Failed calls are
// retried, except for answers that cannot be parsed.
func (d *demo) readJob(ctx context.Context, name string, fetch func(after int) (trainerapi.JobResults, error), whole func(trainerapi.JobResult) bool) (int, error) {
	seen := map[string]bool{}
	for next := 0; next < jobRollouts; {
		if ctx.Err() != nil {
			d.report.addViolation("%s: only %d of %d results were listed in time", name, next, jobRollouts)
			break
		}
		page, err := fetch(next)
		if failure.IsKind(err, failure.IncompleteAnswer) {
			return len(seen), err
		}
		if err != nil {
			pause.For(ctx, jobPollInterval)
			continue
		}
		for _, r := range page.Results {
			if seen[r.ID] {
				d.report.addViolation("%s: %s is listed twice", name, r.ID)
			}
			seen[r.ID] = true
			if r.State != "completed" || !whole(r) {
				d.report.addViolation("%s: %s is %s with the text %q", name, r.ID, r.State, r.Text)
			}
		}
		if next = page.Next; len(page.Results) == 0 {
			pause.For(ctx, jobPollInterval)
		}
	}
	return len(seen), nil
}

// runChatJob submits a job of completions to the first host and reads the results
// from the second.
func (d *demo) runChatJob(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	client := jsonhttp.NewClient(callTimeout, nil).WithHeader(fasthttp.HeaderAuthorization, "Bearer "+d.tokens.Trainer.Secret)
	path := trainerapi.PathJobs + "draught/" + jobID
	var job trainerapi.JobRequest
	for i := range jobRollouts {
		messages := []engineapi.Message{{Role: "user", Content: fmt.Sprintf("Report %d", i)}}
		job.Rollouts = append(job.Rollouts, trainerapi.JobRollout{ID: fmt.Sprint(i), Messages: messages, MaxTokens: maxSampleTokens})
	}
	err := retry(ctx, func() error {
		_, err := client.Do(http.MethodPost, "http://"+d.hosts[0].Host.CallerAddress+path, job, nil)
		return err
	})
	if err != nil {
		return err
	}
	d.report.ChatResults, err = d.readJob(ctx, "job of completions", func(after int) (page trainerapi.JobResults, err error) {
		url := fmt.Sprintf("http://%s%s/results?after=%d&wait=1s", d.hosts[1].Host.CallerAddress, path, after)
		_, err = client.Do(http.MethodGet, url, nil, &page)
		return page, err
	}, func(r trainerapi.JobResult) bool { return r.Tokens > 0 && len(r.Versions) > 0 })
	return err
}
