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
	jobRollouts = 12
	jobEngines  = 2
	jobServices = 2
	jobSlots    = 8
	jobEvents   = 10
	jobPace     = 50 * time.Millisecond
	jobHosts    = 2
	jobID       = "demo-job"
	jobTimeout  = 20 * time.Second
	jobPoll     = 50 * time.Millisecond
)

// jobDemo runs a job on a platform with a row service. The host that the job was
// handed to loses the platform while it runs.
type jobDemo struct {
	*demo
	store *rowsstandin.Store
	doors []*rowsstandin.Endpoint
	hosts []*settings.Rows
}

// runJob demonstrates a job.
func (d *demo) runJob(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	j := &jobDemo{demo: d, store: rowsstandin.NewStore()}
	d.startStandin("row platform", func(ctx context.Context) error {
		<-ctx.Done()
		for _, door := range j.doors {
			door.Close()
		}
		return nil
	})
	if err := j.startReplicas(); err != nil {
		return err
	}
	for i := range jobHosts {
		if err := j.startHost(fmt.Sprintf("job-host-%d", i+1)); err != nil {
			return err
		}
	}
	if err := j.submit(ctx); err != nil {
		return err
	}
	j.doors[0].SetDown(true)
	return j.read(ctx)
}

func (j *jobDemo) startReplicas() error {
	for i := range jobEngines {
		engine, err := j.store.NewEngine(fmt.Sprintf("job-engine-%d", i+1), rowsstandin.EngineService, jobSlots, rowsstandin.Model)
		if err != nil {
			return err
		}
		engine.Events, engine.Pace = jobEvents, jobPace
	}
	for i := range jobServices {
		if _, err := j.store.NewService(fmt.Sprintf("job-service-%d", i+1), rowsstandin.PlainService, jobSlots); err != nil {
			return err
		}
	}
	j.store.Configure(1, "")
	return nil
}

func (j *jobDemo) startHost(id string) error {
	door, err := j.store.Listen()
	if err != nil {
		return err
	}
	s := settings.DefaultRows()
	s.Host.ID, s.Host.FailureDomain = id, "local"
	s.Platform = settings.RowsPlatform{Adapter: settings.AdapterRows, Address: door.Address()}
	if err := chooseTCP(&s.Host.CallerAddress, &s.Host.ReadyAddress, &s.Host.EntryAddress); err != nil {
		return err
	}
	j.doors, j.hosts = append(j.doors, door), append(j.hosts, s)
	j.running.start(id, withHosts, func(ctx context.Context) error { return j.cfg.RunRowsHost(ctx, s, j.cfg.Log) })
	return nil
}

// call sends a request to a host; an error or another status than want is an error.
func (j *jobDemo) call(ctx context.Context, host int, method, path string, body []byte, want int) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+j.hosts[host].Host.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "request can't be made")
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
		return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "host %d answered %d to %s", host+1, resp.StatusCode, path)
	}
	return text, nil
}

// submit hands the job in until a host accepts it.
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
		time.Sleep(jobPoll)
	}
}

// read reads all results at the second host and checks them.
func (j *jobDemo) read(ctx context.Context) error {
	var err error
	j.report.JobResults, err = j.readJob(ctx, "job on row platform", func(after int) (page trainerapi.JobResults, err error) {
		text, err := j.call(ctx, 1, http.MethodGet, fmt.Sprintf("%s%s?after=%d", rowsstandin.PathJobs, jobID, after), nil, http.StatusOK)
		if err != nil {
			return page, err
		}
		// The pages of both interfaces spell the fields that are checked alike.
		if err := json.Unmarshal(text, &page); err != nil {
			return page, failure.Wrap(err, failure.IncompleteAnswer, failure.Unknown, "results can't be read")
		}
		return page, nil
	}, func(r trainerapi.JobResult) bool { return r.Text == rowsstandin.Text(r.ID, jobEvents) })
	return err
}

// readJob reads a job page by page until all its results are listed and checks
// that each is listed once, completed and whole. It returns their number. Calls
// that fail are repeated, but for answers that can't be read.
func (d *demo) readJob(ctx context.Context, name string, fetch func(after int) (trainerapi.JobResults, error), whole func(trainerapi.JobResult) bool) (int, error) {
	seen := map[string]bool{}
	for next := 0; next < jobRollouts; {
		if ctx.Err() != nil {
			d.report.broken("%s: %d of %d results were listed in time", name, next, jobRollouts)
			break
		}
		page, err := fetch(next)
		if failure.IsKind(err, failure.IncompleteAnswer) {
			return len(seen), err
		}
		if err != nil {
			pause.For(ctx, jobPoll)
			continue
		}
		for _, r := range page.Results {
			if seen[r.ID] {
				d.report.broken("%s: %s is listed twice", name, r.ID)
			}
			seen[r.ID] = true
			if r.State != "completed" || !whole(r) {
				d.report.broken("%s: %s is %s with the text %q", name, r.ID, r.State, r.Text)
			}
		}
		if next = page.Next; len(page.Results) == 0 {
			pause.For(ctx, jobPoll)
		}
	}
	return len(seen), nil
}

// runChatJob hands a job in at the first host and reads it at the second.
func (d *demo) runChatJob(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	client := jsonhttp.NewClient(callTimeout, nil).WithHeader(fasthttp.HeaderAuthorization, "Bearer "+d.tokens.Trainer.Secret)
	path := trainerapi.PathJobs + "draught/" + jobID
	var job trainerapi.JobRequest
	for i := range jobRollouts {
		messages := []engineapi.Message{{Role: "user", Content: fmt.Sprintf("Report %d", i)}}
		job.Rollouts = append(job.Rollouts, trainerapi.JobRollout{ID: fmt.Sprint(i), Messages: messages, MaxTokens: sampleTokens})
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
