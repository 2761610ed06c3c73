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
	barrierRetryInterval  = 100 * time.Millisecond
	barrierPollInterval   = 10 * time.Millisecond
	barrierMaxWait        = time.Second
)

// barrier is a synchronous baseline for comparison. It bypasses the hosts: all
// rollouts of a step start at once, round-robin over the engines, and the step
// is delivered when the last one has finished. It serves the trainer API on a
// loopback address.
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

// barrierStep is one step. Its samples are complete when remaining is zero.
type barrierStep struct {
	samples   trainerapi.StepSamples
	remaining int
}

func startBarrier(ctx context.Context, engines []string, model string) (*barrier, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "", "barrier cannot listen on 127.0.0.1")
	}
	b := &barrier{engines: engines, model: model, ln: ln, http: jsonhttp.NewClient(barrierAttemptTimeout, nil), steps: map[string]*barrierStep{}}
	b.ctx, b.stop = context.WithCancel(ctx)
	server := &fasthttp.Server{Handler: b.serve, NoDefaultServerHeader: true}
	b.wait.Go(func() { _ = server.Serve(ln) })
	return b, nil
}

func (b *barrier) address() string { return b.ln.Addr().String() }

// close stops the server. It does not wait for running rollouts.
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
		b.writeSamples(ctx, step)
	case strings.HasSuffix(path, "/ack"):
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, trainerapi.StepProgress{})
	default:
		b.startStep(ctx, path)
	}
}

// startStep starts all rollouts of a step, unless the step is already known.
func (b *barrier) startStep(ctx *fasthttp.RequestCtx, path string) {
	var req trainerapi.StepRequest
	if !jsonhttp.ReadJSON(ctx, &req) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.steps[path]; !known {
		step := &barrierStep{remaining: len(req.Groups) * req.GroupSize}
		step.samples.Samples = make([]trainerapi.Sample, step.remaining)
		b.steps[path] = step
		for i := range step.remaining {
			go b.runRollout(path, step, req, i)
		}
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusAccepted, trainerapi.StepProgress{})
}

// runRollout runs one rollout, trying one engine after another until one finishes it.
func (b *barrier) runRollout(path string, step *barrierStep, req trainerapi.StepRequest, number int) {
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
			pause.For(b.ctx, barrierRetryInterval)
			continue
		}
		text := resp.Choices[0].Message.Content
		b.mu.Lock()
		defer b.mu.Unlock()
		step.samples.Samples[number] = trainerapi.Sample{
			ID: fmt.Sprintf("%s/%d", path, number), Group: group, Index: number % req.GroupSize, Text: text,
			Segments: resp.Segments, FinishReason: resp.Choices[0].FinishReason, Reward: scorer.Reward(text),
		}
		step.remaining--
		return
	}
}

// writeSamples answers with the samples of a complete step. If the step is not
// complete within barrierMaxWait, it answers 202.
func (b *barrier) writeSamples(ctx *fasthttp.RequestCtx, path string) {
	for begin := time.Now(); ; {
		b.mu.Lock()
		step, known := b.steps[path]
		complete := known && step.remaining == 0
		b.mu.Unlock()
		switch {
		case complete:
			jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, step.samples)
			return
		case !known:
			jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, "step %s was not requested", path))
			return
		case time.Since(begin) > barrierMaxWait || !pause.For(b.ctx, barrierPollInterval):
			jsonhttp.WriteJSON(ctx, fasthttp.StatusAccepted, trainerapi.StepProgress{})
			return
		}
	}
}
