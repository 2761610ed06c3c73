package trainer

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/engine"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/scorer"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

func smallConfig() Config {
	cfg := Default()
	cfg.Hosts = []string{"first:1"}
	cfg.Groups, cfg.GroupSize = 2, 2
	cfg.Steps = 2
	cfg.RefetchEvery = 1
	cfg.Server = control.Config{Listen: func() (net.Listener, error) { return fasthttputil.NewInmemoryListener(), nil }}
	return cfg
}

// samplesOf returns the samples of a step as they are without faults.
func samplesOf(s *Standin, n uint64) trainerapi.StepSamples {
	step := trainerapi.StepSamples{Trainer: s.cfg.Name, Step: n}
	for group := range s.cfg.Groups {
		for index := range s.cfg.GroupSize {
			seed := int64(10*group + index)
			messages := s.prompt(n, group)
			tokens, reason := engine.ExpectedTokens(messages, seed, s.cfg.MaxTokens)
			text := engine.ExpectedText(messages, seed, 0, tokens)
			step.Samples = append(step.Samples, trainerapi.Sample{
				ID:    strings.Join([]string{strconv.FormatUint(n, 10), strconv.Itoa(group), strconv.Itoa(index)}, "-"),
				Group: group, Index: index, Text: text, FinishReason: reason, Reward: scorer.Reward(text),
				Segments: []engineapi.Segment{{WeightVersion: 5, Tokens: tokens}},
			})
		}
	}
	return step
}

func TestRecordReportsFaultySamples(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(step *trainerapi.StepSamples)
		want  string
	}{
		{"nothing", func(*trainerapi.StepSamples) {}, ""},
		{"missing sample", func(s *trainerapi.StepSamples) { s.Samples = s.Samples[1:] }, "has 3 samples"},
		{"text of another prompt", func(s *trainerapi.StepSamples) { s.Samples[0].Text = s.Samples[3].Text }, "is not the whole generation"},
		{"text cut off", func(s *trainerapi.StepSamples) { s.Samples[0].Text = s.Samples[0].Text[:9] }, "is not the whole generation"},
		{"segment too short", func(s *trainerapi.StepSamples) { s.Samples[0].Segments[0].Tokens-- }, "but its segments have"},
		{"wrong reward", func(s *trainerapi.StepSamples) { s.Samples[0].Reward = 2 }, "reward"},
		{"place twice", func(s *trainerapi.StepSamples) { s.Samples[0] = s.Samples[1] }, "is at place 0/1"},
		{"place unknown", func(s *trainerapi.StepSamples) { s.Samples[0].Index = 2 }, "is at place 0/2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := New(smallConfig())
			if err != nil {
				t.Fatal(err)
			}
			step := samplesOf(s, 1)
			c.spoil(&step)
			s.recordStep(1, step, 5, time.Second)
			found := strings.Join(s.Results().Problems, "; ")
			if (c.want == "") != (found == "") || !strings.Contains(found, c.want) {
				t.Errorf("problems %q, want %q", found, c.want)
			}
		})
	}
}

func TestRecordCountsDuplicatesAndStaleness(t *testing.T) {
	s, err := New(smallConfig())
	if err != nil {
		t.Fatal(err)
	}
	s.recordStep(1, samplesOf(s, 1), 5, time.Second)
	again := samplesOf(s, 2)
	again.Samples[2].ID = "1-0-0"
	again.Samples[3].Segments = append([]engineapi.Segment{{WeightVersion: 3}}, again.Samples[3].Segments...)
	s.recordStep(2, again, 6, time.Second)
	results := s.Results()
	if diff := cmp.Diff([]string{"1-0-0"}, results.Duplicates); diff != "" {
		t.Error("duplicates:", diff)
	}
	if diff := cmp.Diff(map[uint64]int{1: 3, 3: 1}, results.Steps[1].Staleness); diff != "" {
		t.Error("staleness:", diff)
	}
}

// fakeHosts serves the trainer API for all addresses. The host "first" accepts steps, but its samples cannot be fetched.
type fakeHosts struct {
	ln      *fasthttputil.InmemoryListener
	trainer *Standin
	fetches int
	change  bool
}

func (f *fakeHosts) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == entryapi.PathEntry:
		f.answer(ctx, fasthttp.StatusOK, entryapi.EntryAnswer{TTLMillis: 60000, Hosts: []entryapi.EntryHost{{Address: "first:1"}, {Address: "second:1"}}})
	case !strings.HasSuffix(path, "/samples"):
		f.answer(ctx, fasthttp.StatusAccepted, trainerapi.StepProgress{})
	case strings.HasPrefix(string(ctx.Host()), "first"):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		f.fetches++
		n, _ := strconv.ParseUint(strings.Split(path, "/")[5], 10, 64)
		step := samplesOf(f.trainer, n)
		if f.change && f.fetches%2 == 0 {
			step.Samples[0].ID = "changed"
		}
		f.answer(ctx, fasthttp.StatusOK, step)
	}
}

func (f *fakeHosts) answer(ctx *fasthttp.RequestCtx, status int, body any) {
	data, _ := json.Marshal(body)
	ctx.SetStatusCode(status)
	ctx.SetBody(data)
}

func TestStepsContinueAtAnotherHost(t *testing.T) {
	for _, change := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeHosts{ln: fasthttputil.NewInmemoryListener(), change: change}
			cfg := smallConfig()
			cfg.Dial = func(string) (net.Conn, error) { return f.ln.Dial() }
			s, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			f.trainer = s
			server := &fasthttp.Server{Handler: f.serve, NoDefaultDate: true}
			go func() { _ = server.Serve(f.ln) }()
			ctx, stop := context.WithTimeout(t.Context(), time.Hour)
			defer stop()
			if err := s.Run(ctx); err != nil {
				t.Error(err)
			}
			_ = f.ln.Close()
			time.Sleep(time.Minute) // until the background goroutines of fasthttp have ended
			r := s.Results()
			if len(r.Steps) != 2 || !r.Finished || r.FailedCalls == 0 || len(r.Problems) != 0 {
				t.Errorf("results: %+v", r)
			}
			if got := len(r.ChangedSteps) == 2; got != change {
				t.Errorf("steps whose samples changed: %v, while the host changes samples: %v", r.ChangedSteps, change)
			}
		})
	}
}
