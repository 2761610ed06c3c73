package engine

import (
	"container/list"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
)

const (
	maxCacheEvents = 1 << 16 // events kept in memory
	maxEventPage   = 4096    // events per response
	// One in lostEventOneIn events is left out, because engines may lose events.
	lostEventOneIn = 50
)

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

// prefixCache is a least-recently-used cache of prefix blocks.
type prefixCache struct {
	capacity int // blocks
	// order holds the block hashes, the most recently used one first.
	order  *list.List
	blocks map[uint64]*list.Element
	// events holds the latest events, oldest first.
	events []timedEvent
	// seq is the sequence number of the latest event, lost ones included.
	seq uint64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are in the cache, and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks, then evicts the least recently used blocks beyond the capacity.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.record(true, block, now)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		block, _ := oldest.Value.(uint64)
		c.order.Remove(oldest)
		delete(c.blocks, block)
		c.record(false, block, now)
	}
}

// clear removes all blocks. Blocks computed with other weights cannot be reused.
func (c *prefixCache) clear(now time.Time) {
	for block := range c.blocks {
		c.record(false, block, now)
	}
	c.order.Init()
	c.blocks = map[uint64]*list.Element{}
}

// record adds an event, or only advances the sequence number if the event is to be lost.
func (c *prefixCache) record(stored bool, block uint64, now time.Time) {
	c.seq++
	if mix(c.seq)%lostEventOneIn == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: now, event: engineapi.CacheEvent{Seq: c.seq, Stored: stored, Block: block}})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0:0], c.events[len(c.events)/2:]...)
	}
}

// eventsAfter returns the events with a sequence number above seq that happened
// no later than asOf, at most maxEventPage.
func (c *prefixCache) eventsAfter(seq uint64, asOf time.Time) []engineapi.CacheEvent {
	page := []engineapi.CacheEvent{}
	for _, e := range c.events {
		if e.at.After(asOf) || len(page) == maxEventPage {
			break
		}
		if e.event.Seq > seq {
			page = append(page, e.event)
		}
	}
	return page
}

// used returns the fraction of the capacity in use, 0 to 1.
func (c *prefixCache) used() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(c.capacity)
}
