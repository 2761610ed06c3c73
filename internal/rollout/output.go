package rollout

import (
	"math"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// output is the generated output of a rollout, complete or up to now.
type output struct {
	Text     string
	Tokens   int
	Segments []engineapi.Segment
	Finish   string
	// Engine is the id of the engine that produced the last segment; without a token, that of the
	// last engine used.
	Engine string
}

// extend returns p followed by a generation on an engine.
func (p output) extend(g upstream.Generation, engineID string) output {
	sum := output{
		Text:     p.Text + g.Text,
		Tokens:   p.Tokens + g.Tokens,
		Segments: append([]engineapi.Segment{}, p.Segments...),
		Finish:   g.FinishReason,
		Engine:   p.Engine,
	}
	for _, s := range g.Segments {
		sum.Segments = appendSegment(sum.Segments, s)
	}
	if g.Tokens > 0 || p.Tokens == 0 {
		sum.Engine = engineID
	}
	return sum
}

func appendSegment(segments []engineapi.Segment, s engineapi.Segment) []engineapi.Segment {
	last := len(segments) - 1
	if last >= 0 && segments[last].WeightVersion == s.WeightVersion {
		segments[last].Tokens += s.Tokens
		return segments
	}
	if s.Tokens == 0 {
		return segments
	}
	return append(segments, s)
}

// oldest returns the oldest weight version in p, and false if p is empty.
func (p output) oldest() (uint64, bool) { return oldestOf(p.Segments) }

func oldestOf(segments []engineapi.Segment) (uint64, bool) {
	oldest := uint64(math.MaxUint64)
	for _, s := range segments {
		oldest = min(oldest, s.WeightVersion)
	}
	return oldest, len(segments) > 0
}

// age returns how many versions oldest is behind newest; zero if it is not behind.
func age(newest, oldest uint64) uint64 {
	if oldest >= newest {
		return 0
	}
	return newest - oldest
}
