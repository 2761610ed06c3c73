package load

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/scorer"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

const (
	barrierAttemptTimeout = 5 * time.Minute
	barrierRetryPause     = 100 * time.Millisecond
	barrierPoll           = 10 * time.Millisecond
	barrierWaitLimit      = time.Second
)

// barrier is the plain way to run a step, for comparison: it starts all
// rollouts at once on the engines in turn, without a host, and waits for all.
// It answers the trainer API on a loopback address.
type barrier struct {
	engines []string
	model   string
	http    *jsonhttp.Client
	ln      net.Listener
	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup

	mu    sync.Mutex
	steps map[string]*barrierStep
}

// barrierStep is one step; its samples are whole when left is zero.
type barrierStep struct {
	samples trainerapi.StepSamples
	left    int
}

func startBarrier(ctx context.Context, engines []string, model string) (*barrier, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "barrier cannot listen")
	}
	b := &barrier{engines: engines, model: model, ln: ln, http: jsonhttp.NewClient(barrierAttemptTimeout, nil), steps: map[string]*barrierStep{}}
	b.ctx, b.stop = context.WithCancel(ctx)
	server := &fasthttp.Server{Handler: b.serve, NoDefaultServerHeader: true}
	b.wait.Go(func() { _ = server.Serve(ln) })
	return b, nil
}

func (b *barrier) address() string { return b.ln.Addr().String() }

// close ends the server. Rollouts that still run are not waited for.
func (b *barrier) close() {
	b.stop()
	_ = b.ln.Close()
	b.wait.Wait()
}

func (b *barrier) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	step, fetch := strings.CutSuffix(path, "/samples")
	switch {
	case path == entryapi.PathEntry:
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, entryapi.EntryAnswer{
			Hosts:     []entryapi.EntryHost{{ID: "barrier", Address: b.address()}},
			TTLMillis: time.Hour.Milliseconds(),
		})
	case fetch:
		b.fetch(ctx, step)
	case strings.HasSuffix(path, "/ack"):
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, trainerapi.StepProgress{})
	default:
		b.post(ctx, path)
	}
}

// post starts all rollouts of a step.
func (b *barrier) post(ctx *fasthttp.RequestCtx, path string) {
	var req trainerapi.StepRequest
	if !jsonhttp.ReadJSON(ctx, &req) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.steps[path]; !known {
		step := &barrierStep{left: len(req.Groups) * req.GroupSize}
		step.samples.Samples = make([]trainerapi.Sample, step.left)
		b.steps[path] = step
		for i := range step.left {
			go b.rollout(path, step, req, i)
		}
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusAccepted, trainerapi.StepProgress{})
}

// rollout runs one rollout until an engine finishes it.
func (b *barrier) rollout(path string, step *barrierStep, req trainerapi.StepRequest, number int) {
	group := number / req.GroupSize
	chat := engineapi.ChatRequest{
		Model:     b.model,
		Messages:  req.Groups[group].Messages,
		MaxTokens: req.MaxTokens,
		Seed:      int64(number) + 1,
		RequestID: path + "/" + strconv.Itoa(number),
		Priority:  engineapi.PriorityRollout,
	}
	for try := number; b.ctx.Err() == nil; try++ {
		var resp engineapi.ChatResponse
		_, err := b.http.Do(fasthttp.MethodPost, "http://"+b.engines[try%len(b.engines)]+engineapi.PathChat, chat, &resp)
		if err != nil || len(resp.Choices) != 1 {
			pause.For(b.ctx, barrierRetryPause)
			continue
		}
		text := resp.Choices[0].Message.Content
		b.mu.Lock()
		defer b.mu.Unlock()
		step.samples.Samples[number] = trainerapi.Sample{
			ID: fmt.Sprintf("%s/%d", path, number), Group: group, Index: number % req.GroupSize, Text: text,
			Segments: resp.Segments, FinishReason: resp.Choices[0].FinishReason, Reward: scorer.Reward(text),
		}
		step.left--
		return
	}
}

// fetch answers a whole step, or waits a while and answers that it is not whole.
func (b *barrier) fetch(ctx *fasthttp.RequestCtx, path string) {
	for begin := time.Now(); ; {
		b.mu.Lock()
		step, known := b.steps[path]
		whole := known && step.left == 0
		b.mu.Unlock()
		switch {
		case whole:
			jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, step.samples)
			return
		case !known:
			jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "step %s was not asked for", path))
			return
		case time.Since(begin) > barrierWaitLimit || !pause.For(b.ctx, barrierPoll):
			jsonhttp.WriteJSON(ctx, fasthttp.StatusAccepted, trainerapi.StepProgress{})
			return
		}
	}
}
