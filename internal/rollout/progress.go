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

// progressSnapshot is the progress of an attempt at one moment. Started is on this host's
// clock, also if the attempt runs on another host; see toLocalClock.
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

func (s progressSnapshot) oldest() (uint64, bool) { return oldestOf(s.Segments) }

// hasText reports whether Text holds the text of Tokens.
func (s progressSnapshot) hasText() bool { return s.Tokens == 0 || s.Text != "" }

func (s progressSnapshot) generation() upstream.Generation {
	return upstream.Generation{Text: s.Text, Tokens: s.Tokens, Segments: s.Segments}
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
	s := p.current
	s.Segments = append([]engineapi.Segment{}, p.current.Segments...)
	if p.text.Len() > 0 {
		s.Text = p.text.String()
	}
	return s
}

// replace sets the progress of an attempt that runs on another host. p.text stays empty for
// such an attempt, because only the host that runs it calls add.
func (p *progress) replace(s progressSnapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = s
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
