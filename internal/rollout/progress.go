package rollout

import (
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

// progress is what an attempt has produced so far. It is safe for concurrent use.
type progress struct {
	mu      sync.Mutex
	current progressSnapshot
	text    strings.Builder
	// textRequester requests the text from the host that runs the attempt, if that is another
	// host.
	textRequester func()
}

// progressSnapshot is a copy of a progress. Its times are on this host's clock.
type progressSnapshot struct {
	// EngineID is empty until an engine is picked.
	EngineID string
	Started  time.Time
	// Tokens is the number of tokens that the attempt added to its prior output.
	Tokens   int
	Segments []engineapi.Segment
	// Text is the text of Tokens; it may be empty if the attempt runs on another host.
	Text string
}

func (r progressSnapshot) oldest() (uint64, bool) { return oldestOf(r.Segments) }

// hasText reports whether Text holds the text of Tokens.
func (r progressSnapshot) hasText() bool { return r.Tokens == 0 || r.Text != "" }

func (r progressSnapshot) generation() upstream.Generation {
	return upstream.Generation{Text: r.Text, Tokens: r.Tokens, Segments: r.Segments}
}

// begin records the engine that was picked and the start time.
func (p *progress) begin(engineID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.EngineID = engineID
	p.current.Started = time.Now()
}

// add appends a chunk of the stream.
func (p *progress) add(chunk engineapi.ChatChunk) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Tokens += chunk.Tokens
	for _, choice := range chunk.Choices {
		p.text.WriteString(choice.Delta.Content)
	}
	p.current.Segments = appendSegment(p.current.Segments, engineapi.Segment{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens})
	return nil
}

// snapshot returns a copy of the current progress.
func (p *progress) snapshot() progressSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.current
	now.Segments = append([]engineapi.Segment{}, p.current.Segments...)
	if p.text.Len() > 0 {
		now.Text = p.text.String()
	}
	return now
}

// replace sets the progress to a snapshot from another host.
func (p *progress) replace(r progressSnapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = r
}

// setTextRequester sets the function that requests the text of an attempt on another host.
func (p *progress) setTextRequester(request func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.textRequester = request
}

// requestText requests the text if it is on another host.
func (p *progress) requestText() {
	p.mu.Lock()
	request := p.textRequester
	p.mu.Unlock()
	if request != nil {
		request()
	}
}
