package engine

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const decodeTick = 5 * time.Millisecond

var epoch = time.Unix(1000, 0)

// manualScheduler is a scheduler that the test advances by calls to elapse.
type manualScheduler struct {
	*scheduler
	now time.Time
	log []standinapi.LogEntry
}

func newManualScheduler(speeds Speeds) *manualScheduler {
	s := &manualScheduler{now: epoch}
	s.scheduler = newScheduler(speeds, 1, func(e standinapi.LogEntry) { s.log = append(s.log, e) })
	return s
}

func (s *manualScheduler) add(id string, tokens, priority int) *generation {
	return s.addPrompt(id, id+" "+LengthMark+strconv.Itoa(tokens), priority)
}

func (s *manualScheduler) addPrompt(id, content string, priority int) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	g := newGeneration(engineapi.ChatRequest{RequestID: id, Messages: prompt(content), Priority: priority}, s.arrivals)
	g.attach()
	s.enqueue(g)
	return g
}

func (s *manualScheduler) elapse(d time.Duration) {
	for ; d > 0; d -= decodeTick {
		s.now = s.now.Add(decodeTick)
		s.step(decodeTick, s.now)
	}
}

func fastSpeeds() Speeds {
	return Speeds{Slots: 4, TokensPerSecond: 400, SequenceTokensPerSecond: 200, PrefillTokensPerSecond: 1e9, Tick: decodeTick, CacheBlocks: 8}
}

func TestBatchSharesTheRate(t *testing.T) {
	for _, c := range []struct{ generations, each int }{{1, 200}, {2, 200}, {4, 100}} {
		s := newManualScheduler(fastSpeeds())
		all := make([]*generation, c.generations)
		for i := range all {
			all[i] = s.add(strconv.Itoa(i), 1000, 0)
		}
		s.elapse(time.Second)
		for _, g := range all {
			if g.produced < c.each-3 || g.produced > c.each {
				t.Errorf("batch of %d: %d tokens of a generation in a second, want %d", c.generations, g.produced, c.each)
			}
		}
	}
}

func TestInteractiveIsAdmittedFirst(t *testing.T) {
	speeds := fastSpeeds()
	speeds.Slots = 1
	s := newManualScheduler(speeds)
	s.add("first", 20, engineapi.PriorityRollout)
	s.elapse(decodeTick)
	s.add("rollout", 20, engineapi.PriorityRollout)
	s.add("customer", 20, engineapi.PriorityInteractive)
	s.elapse(time.Second)
	var order []string
	for _, e := range s.log {
		if e.Event == EventFinish {
			order = append(order, e.RequestID)
		}
	}
	if diff := cmp.Diff([]string{"first", "customer", "rollout"}, order); diff != "" {
		t.Error(diff)
	}
}

func TestSwapSplitsAGenerationIntoSegments(t *testing.T) {
	s := newManualScheduler(fastSpeeds())
	g := s.add("spans", 100, 0)
	s.elapse(100 * time.Millisecond)
	before := g.produced
	s.version = 2
	s.elapse(time.Second)
	want := []engineapi.Segment{{WeightVersion: 1, Tokens: before}, {WeightVersion: 2, Tokens: 100 - before}}
	if diff := cmp.Diff(want, g.segments()); diff != "" || before == 0 {
		t.Errorf("segments after a swap at token %d: %s", before, diff)
	}
	var logged []uint64
	for _, e := range s.log {
		if e.Event == EventSegment {
			logged = append(logged, e.Version, uint64(e.Offset))
		}
	}
	if diff := cmp.Diff([]uint64{1, 0, 2, uint64(before)}, logged); diff != "" {
		t.Error("logged segments:", diff)
	}
}

func TestCachedPrefixSavesPrefill(t *testing.T) {
	speeds := fastSpeeds()
	speeds.PrefillTokensPerSecond = 100
	s := newManualScheduler(speeds)
	shared := strings.Repeat("the same system prompt of a firm ", 12)
	firstTokenAfter := func(content string) time.Duration {
		begin := s.now
		g := s.addPrompt(content, content+LengthMark+"1", 0)
		for g.phase != finished {
			s.elapse(decodeTick)
		}
		return s.now.Sub(begin)
	}
	cold, warm := firstTokenAfter(shared+"a"), firstTokenAfter(shared+"b")
	if warm > cold/3 {
		t.Errorf("first token after %v with a cached prefix and %v without", warm, cold)
	}
}

func TestCacheEvictsTheLeastRecentlyUsedBlock(t *testing.T) {
	c := newPrefixCache(2)
	c.store([]uint64{1}, epoch)
	c.store([]uint64{2}, epoch)
	c.match([]uint64{1})
	c.store([]uint64{3}, epoch)
	if c.match([]uint64{1}) != 1 || c.match([]uint64{2}) != 0 || c.match([]uint64{3}) != 1 {
		t.Errorf("blocks in the cache: %v, want 1 and 3", c.blocks)
	}
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	c := newPrefixCache(1000)
	for i := range 1000 {
		c.store([]uint64{uint64(i)}, epoch.Add(time.Duration(i)*time.Millisecond))
	}
	if early := c.eventsAfter(0, epoch.Add(-time.Millisecond)); len(early) != 0 {
		t.Errorf("%d events from before the first one, want none", len(early))
	}
	events := c.eventsAfter(0, epoch.Add(time.Minute))
	if len(events) == 1000 || len(events) < 900 {
		t.Errorf("%d of 1000 events, want a few missing", len(events))
	}
	if rest := c.eventsAfter(500, epoch.Add(time.Minute)); rest[0].Seq <= 500 {
		t.Errorf("first event after 500 is %d", rest[0].Seq)
	}
}
