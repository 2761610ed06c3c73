package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	// maxTickGap bounds the time that one step advances the batch after a delay of the process.
	maxTickGap = 100 * time.Millisecond
	// loadSamplePeriod is the time between two load samples.
	loadSamplePeriod = 50 * time.Millisecond
	// loadHistory is the time for which load samples are kept at least.
	loadHistory = 10 * time.Minute
)

// Speeds are the capacity and the token rates of an engine.
type Speeds struct {
	// Slots is the number of generations that run at the same time.
	Slots int
	// TokensPerSecond bounds the token rate of the whole batch.
	TokensPerSecond float64
	// SequenceTokensPerSecond bounds the token rate of one generation.
	SequenceTokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompt tokens outside the prefix cache are computed.
	PrefillTokensPerSecond float64
	// Tick is the time between two steps of the batch.
	Tick time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of engineapi.PrefixBlockBytes.
	CacheBlocks int
}

// scheduler runs a batch of generations. It admits waiting generations in order
// of priority, and those of one priority in order of arrival.
type scheduler struct {
	speeds Speeds
	// record adds an entry to the execution log.
	record func(standinapi.LogEntry)

	mu    sync.Mutex
	cache *prefixCache
	// waiting holds the generations to admit, in order of admission.
	waiting []*generation
	running []*generation
	// version is the weight version in use.
	version uint64
	paused  bool // true while weights are swapped; no tokens are generated
	// arrivals is the number of generations that were started.
	arrivals uint64
	// tokens is the number of generated tokens.
	tokens uint64
	// promptTokens is the number of prompt tokens, and cachedTokens the number of those found in the cache.
	promptTokens uint64
	cachedTokens uint64
	// busySlotTime is the time that slots were in use, summed over the slots.
	busySlotTime time.Duration
	// enqueued ends the wait of run when a generation is enqueued.
	enqueued chan struct{}
}

func newScheduler(speeds Speeds, version uint64, record func(standinapi.LogEntry)) *scheduler {
	return &scheduler{
		speeds:   speeds,
		record:   record,
		cache:    newPrefixCache(speeds.CacheBlocks),
		version:  version,
		enqueued: make(chan struct{}, 1),
	}
}

// run advances the batch every tick until ctx ends. thawed blocks while FaultFreeze
// is active.
func (s *scheduler) run(ctx context.Context, thawed func(context.Context)) error {
	ticker := time.NewTicker(s.speeds.Tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		if s.idle() {
			select {
			case <-s.enqueued:
			case <-ctx.Done():
				return nil
			}
			last = time.Now()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		thawed(ctx)
		now := time.Now()
		s.step(min(now.Sub(last), maxTickGap), now)
		last = now
	}
}

// idle reports whether there are no generations.
func (s *scheduler) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0 && len(s.waiting) == 0
}

// enqueue adds a generation to the waiting ones; s.mu is held.
func (s *scheduler) enqueue(g *generation) {
	i, _ := slices.BinarySearchFunc(s.waiting, g, func(a, b *generation) int {
		if a.req.Priority != b.req.Priority {
			return b.req.Priority - a.req.Priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	s.waiting = slices.Insert(s.waiting, i, g)
	select {
	case s.enqueued <- struct{}{}:
	default:
	}
}

// step advances the batch by the elapsed time.
func (s *scheduler) step(elapsed time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admit(now)
	s.busySlotTime += elapsed * time.Duration(len(s.running))
	if s.paused {
		return
	}
	s.prefill(elapsed, now)
	s.decode(elapsed, now)
	s.running = slices.DeleteFunc(s.running, func(g *generation) bool { return g.phase == finished || g.phase == cancelled })
	s.admit(now)
}

// admit moves waiting generations to free slots; s.mu is held.
func (s *scheduler) admit(now time.Time) {
	for len(s.running) < s.speeds.Slots && len(s.waiting) > 0 {
		g := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		matched := s.cache.match(g.blocks)
		g.cachedTokens = min(matched*blockTokens, g.promptTokens)
		g.promptTokensLeft = float64(g.promptTokens - g.cachedTokens)
		g.phase = prefilling
		g.startedAt = now
		s.promptTokens += uint64(g.promptTokens)
		s.cachedTokens += uint64(g.cachedTokens)
		s.running = append(s.running, g)
	}
}

// prefill computes prompt tokens, those of the generation admitted first before the others; s.mu is held.
func (s *scheduler) prefill(elapsed time.Duration, now time.Time) {
	budget := s.speeds.PrefillTokensPerSecond * elapsed.Seconds()
	for _, g := range s.running {
		if g.phase != prefilling {
			continue
		}
		used := min(budget, g.promptTokensLeft)
		g.promptTokensLeft -= used
		budget -= used
		if g.promptTokensLeft > 0 {
			return
		}
		s.cache.store(g.blocks, now)
		g.phase = decoding
	}
}

// decode generates tokens for all decoding generations, at the same rate each; s.mu is held.
func (s *scheduler) decode(elapsed time.Duration, now time.Time) {
	active := 0
	for _, g := range s.running {
		if g.phase == decoding {
			active++
		}
	}
	if active == 0 {
		return
	}
	rate := min(s.speeds.SequenceTokensPerSecond, s.speeds.TokensPerSecond/float64(active))
	for _, g := range s.running {
		if g.phase == decoding {
			s.advance(g, rate*elapsed.Seconds(), now)
		}
	}
}

// advance generates amount tokens of one generation. A fraction of a token is kept for the next step.
func (s *scheduler) advance(g *generation, amount float64, now time.Time) {
	g.tokenFraction += amount
	tokens := min(int(g.tokenFraction), g.total-g.produced)
	g.tokenFraction -= float64(tokens)
	if tokens > 0 {
		s.tokens += uint64(tokens)
		if g.produce(tokens, s.version) {
			s.recordSpan(g)
		}
	}
	if g.produced >= g.total {
		g.phase = finished
		g.endedAt = now
		s.record(standinapi.LogEntry{Event: EventFinish, RequestID: g.id, Generation: generationID(g.hash), Version: s.version, Offset: g.produced})
	}
	if tokens > 0 || g.phase == finished {
		g.wake()
	}
}

// recordSpan logs the start of the last span of a generation.
func (s *scheduler) recordSpan(g *generation) {
	last := g.spans[len(g.spans)-1]
	s.record(standinapi.LogEntry{Event: EventSegment, RequestID: g.id, Generation: generationID(g.hash), Version: last.version, Offset: last.from})
}

// cancel ends a generation that has not finished; s.mu is held.
func (s *scheduler) cancel(g *generation, now time.Time) {
	if g.phase == finished || g.phase == cancelled {
		return
	}
	g.phase = cancelled
	g.endedAt = now
	s.waiting = slices.DeleteFunc(s.waiting, func(w *generation) bool { return w == g })
	s.running = slices.DeleteFunc(s.running, func(r *generation) bool { return r == g })
	s.record(standinapi.LogEntry{Event: EventCancel, RequestID: g.id, Generation: generationID(g.hash), Version: s.version, Offset: g.produced})
	g.wake()
}
