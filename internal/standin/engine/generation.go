package engine

import (
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
)

// phase is where a generation stands.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
	cancelled
)

// span is a run of tokens that one weight version produced.
type span struct {
	version uint64
	from    int
	to      int // exclusive
}

// generation is one completion. The scheduler's mutex guards it.
type generation struct {
	id       string
	req      engineapi.ChatRequest
	hash     uint64
	blocks   []uint64
	arrival  uint64
	phase    phase
	total    int // tokens at the end
	reason   string
	start    int // first token made here; earlier ones came as prior text
	produced int
	spans    []span

	promptTokens int
	cachedTokens int
	toPrefill    float64 // prompt tokens still to compute
	credit       float64 // fraction of the next token

	// notify receives after progress; each attached reader has its own.
	notify chan struct{}
	// detachedAt is when the last reader left; zero while one is attached.
	detachedAt time.Time
	// endedAt is when the generation finished; zero before.
	endedAt time.Time
	started time.Time
}

func newGeneration(req engineapi.ChatRequest, arrival uint64) *generation {
	limit := req.MaxTokens
	if limit > 0 {
		limit += req.PriorTokens
	}
	total, reason := ExpectedTokens(req.Messages, req.Seed, limit)
	return &generation{
		id:           req.RequestID,
		req:          req,
		hash:         Generation(req.Messages, req.Seed),
		blocks:       engineapi.PrefixBlocks(req.Messages),
		arrival:      arrival,
		total:        max(total, req.PriorTokens),
		reason:       reason,
		start:        req.PriorTokens,
		produced:     req.PriorTokens,
		promptTokens: promptTokens(req.Messages) + req.PriorTokens,
	}
}

// attach makes a new reader the generation's only one.
func (g *generation) attach() chan struct{} {
	if g.notify != nil {
		close(g.notify)
	}
	g.notify = make(chan struct{}, 1)
	g.detachedAt = time.Time{}
	return g.notify
}

// wake tells the reader that there is progress.
func (g *generation) wake() {
	if g.notify == nil {
		return
	}
	select {
	case g.notify <- struct{}{}:
	default:
	}
}

// produce adds tokens made by a version and reports whether they begin a new span.
func (g *generation) produce(tokens int, version uint64) (newSpan bool) {
	last := len(g.spans) - 1
	if last < 0 || g.spans[last].version != version {
		g.spans = append(g.spans, span{version: version, from: g.produced, to: g.produced})
		last++
		newSpan = true
	}
	g.produced += tokens
	g.spans[last].to = g.produced
	return newSpan
}

// segments returns the spans in wire form.
func (g *generation) segments() []engineapi.Segment {
	segments := make([]engineapi.Segment, len(g.spans))
	for i, s := range g.spans {
		segments[i] = engineapi.Segment{WeightVersion: s.version, Tokens: s.to - s.from}
	}
	return segments
}

// spansAfter returns the parts of the spans from token offset on.
func (g *generation) spansAfter(offset int) []span {
	var parts []span
	for _, s := range g.spans {
		if s.to > offset {
			s.from = max(s.from, offset)
			parts = append(parts, s)
		}
	}
	return parts
}

func (g *generation) text(from, to int) string {
	return tokensOf(g.hash, g.req.Seed, from, to)
}
