package engine

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
)

// reader sends the tokens of a generation to one client.
type reader struct {
	standin *Standin
	gen     *generation
	// notify receives a value after progress of the generation.
	notify chan struct{}
	// id is the request id for the response.
	id string
	// gone is closed when the client disconnects.
	gone <-chan struct{}
	// offset is the number of tokens that the client has, prior text included.
	offset int
	// first is true until the first chunk of a stream is sent.
	first bool
}

// progress is the state of a generation from the reader's offset on.
type progress struct {
	// unsent holds the tokens that were not sent yet.
	unsent       []span
	phase        phase
	finishReason string
	// replaced is true if another reader has replaced this one.
	replaced bool
}

// next waits for tokens after the offset or for the end of the generation. It
// returns false if the client has disconnected, another reader has replaced this
// one, or the stand-in stops.
func (r *reader) next() (progress, bool) {
	for {
		p := r.current()
		if p.replaced {
			return p, false
		}
		if len(p.unsent) > 0 || p.phase == finished || p.phase == cancelled {
			return p, true
		}
		select {
		case <-r.notify:
		case <-r.gone:
			return p, false
		case <-r.standin.Context().Done():
			return p, false
		}
	}
}

// current returns the current progress.
func (r *reader) current() progress {
	s := r.standin.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{
		unsent:       r.gen.spansAfter(r.offset),
		phase:        r.gen.phase,
		finishReason: r.gen.finishReason,
		replaced:     r.gen.notify != r.notify,
	}
}

// detach marks the generation as without a reader, unless another reader has replaced this one.
func (r *reader) detach() {
	s := r.standin.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.gen.notify == r.notify {
		r.gen.detachedAt = time.Now()
	}
}

// writeWhole waits for the end of the generation and writes one response.
func (r *reader) writeWhole(ctx *fasthttp.RequestCtx) {
	defer r.detach()
	from := r.offset
	for {
		p, ok := r.next()
		if !ok {
			return
		}
		for _, part := range p.unsent {
			r.offset = part.to
		}
		if p.phase == cancelled {
			jsonhttp.WriteError(ctx, failure.New(failure.UpstreamFailed, failure.Ran, "generation %s was cancelled", r.gen.id))
			return
		}
		if p.phase == finished && r.offset >= r.gen.total {
			break
		}
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, r.response(from))
}

// response returns the completion with the tokens from position from on.
func (r *reader) response(from int) engineapi.ChatResponse {
	s := r.standin.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	g := r.gen
	return engineapi.ChatResponse{
		ID:     r.id,
		Object: "chat.completion",
		Model:  g.req.Model,
		Choices: []engineapi.ChatChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: g.text(from, g.produced)},
			FinishReason: g.finishReason,
		}},
		Usage:    engineapi.Usage{PromptTokens: g.promptTokens, CachedTokens: g.cachedTokens, CompletionTokens: g.produced - g.start},
		Segments: g.segments(),
	}
}

// stream writes the tokens as server-sent events while they are generated.
func (r *reader) stream(ctx *fasthttp.RequestCtx) {
	end := r.standin.Begin()
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	r.first = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer end()
		defer r.detach()
		r.send(w)
	})
}

// send writes events until the generation ends or next returns false.
func (r *reader) send(w *bufio.Writer) {
	for {
		p, ok := r.next()
		if !ok {
			return
		}
		ended := p.phase == finished
		for i, part := range p.unsent {
			reason := ""
			if ended && i == len(p.unsent)-1 {
				reason = p.finishReason
			}
			if !r.event(w, part, reason) {
				return
			}
		}
		if p.phase == cancelled {
			return
		}
		if !ended {
			continue
		}
		if len(p.unsent) == 0 && !r.event(w, span{from: r.offset, to: r.offset}, p.finishReason) {
			return
		}
		_, _ = w.WriteString("data: " + engineapi.StreamEnd + "\n\n")
		_ = w.Flush()
		return
	}
}

// event writes one chunk and reports whether it succeeded.
func (r *reader) event(w *bufio.Writer, part span, reason string) bool {
	chunk := engineapi.ChatChunk{
		ID:            r.id,
		Object:        "chat.completion.chunk",
		Model:         r.gen.req.Model,
		Choices:       []engineapi.ChunkChoice{{Delta: engineapi.Message{Role: "assistant", Content: r.gen.text(part.from, part.to)}, FinishReason: reason}},
		WeightVersion: part.version,
		Offset:        part.from - r.gen.start,
		Tokens:        part.to - part.from,
	}
	if r.first {
		r.first = false
		chunk.PromptTokens = r.gen.promptTokens
		chunk.CachedTokens = r.gen.cachedTokens
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	r.offset = part.to
	if _, err := w.WriteString("data: " + string(data) + "\n\n"); err != nil {
		return false
	}
	return w.Flush() == nil
}
