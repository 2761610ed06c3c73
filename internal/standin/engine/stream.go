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

// reader gives one client the tokens of a generation.
type reader struct {
	standin *Standin
	gen     *generation
	notify  chan struct{}
	id      string
	gone    <-chan struct{}
	// offset is the number of tokens that the client has, those of its prior text included.
	offset int
	first  bool
}

// progress is what there is to send.
type progress struct {
	parts  []span
	phase  phase
	reason string
	stolen bool
}

// next waits for tokens after the offset or the end. It returns false when the
// client is gone, another client took the generation over, or the stand-in stops.
func (r *reader) next() (progress, bool) {
	for {
		p := r.look()
		if p.stolen {
			return p, false
		}
		if len(p.parts) > 0 || p.phase == finished || p.phase == cancelled {
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

func (r *reader) look() progress {
	s := r.standin.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{
		parts:  r.gen.spansAfter(r.offset),
		phase:  r.gen.phase,
		reason: r.gen.reason,
		stolen: r.gen.notify != r.notify,
	}
}

// detach marks the generation as without a reader, unless another reader took over.
func (r *reader) detach() {
	s := r.standin.sched
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.gen.notify == r.notify {
		r.gen.detachedAt = time.Now()
	}
}

// whole answers a request that asked for no stream.
func (r *reader) whole(ctx *fasthttp.RequestCtx) {
	defer r.detach()
	from := r.offset
	for {
		p, ok := r.next()
		if !ok {
			return
		}
		for _, part := range p.parts {
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
			FinishReason: g.reason,
		}},
		Usage:    engineapi.Usage{PromptTokens: g.promptTokens, CachedTokens: g.cachedTokens, CompletionTokens: g.produced - g.start},
		Segments: g.segments(),
	}
}

// stream answers a request with server-sent events.
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

func (r *reader) send(w *bufio.Writer) {
	for {
		p, ok := r.next()
		if !ok {
			return
		}
		ended := p.phase == finished
		for i, part := range p.parts {
			reason := ""
			if ended && i == len(p.parts)-1 {
				reason = p.reason
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
		if len(p.parts) == 0 && !r.event(w, span{from: r.offset, to: r.offset}, p.reason) {
			return
		}
		_, _ = w.WriteString("data: " + engineapi.StreamEnd + "\n\n")
		_ = w.Flush()
		return
	}
}

// event sends one chunk and reports whether that worked.
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
