package routing

import (
	"container/list"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
)

const (
	// maxBlocksPerReplica bounds the blocks tracked for one replica.
	maxBlocksPerReplica = 8192
	// maxBlocksPerPrompt bounds the leading blocks tracked for one prompt.
	maxBlocksPerPrompt = 64
	// unconfirmedTTL is how long a block that no event confirmed is assumed to be cached.
	unconfirmedTTL = time.Minute
	// maxEventLag is the assumed longest delay of cache events. If the event of an
	// eviction arrives less than maxEventLag after a request was sent, the eviction
	// may have happened before the request.
	maxEventLag = 2 * time.Second
)

// block is one block that may be in a replica's cache.
type block struct {
	hash uint64
	// lastSent is when this host last sent a prompt with the block to the
	// replica, or when the block last became unconfirmed by a gap in the events.
	lastSent time.Time
	// confirmed is true if the replica's last event on the block says that it is
	// stored, and no gap in the events followed.
	confirmed bool
	element   *list.Element
}

// prefixIndex estimates which prefix blocks are in a replica's cache, from the
// prompts that this host sent there and from the replica's cache events. Events
// may be late or missing, so the estimate may be wrong for a while.
type prefixIndex struct {
	blocks      map[uint64]*block
	lru         *list.List // least recently used first
	incarnation string     // of the engine, from the last page of events; empty before the first
	// lastSeq is the sequence number of the last applied event.
	lastSeq uint64
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{blocks: make(map[uint64]*block), lru: list.New()}
}

// match returns the number of leading blocks of a prompt that are probably cached.
func (x *prefixIndex) match(prefix []uint64, now time.Time) int {
	for i, hash := range prefix {
		b := x.blocks[hash]
		if b == nil || !b.confirmed && now.Sub(b.lastSent) > unconfirmedTTL {
			return i
		}
	}
	return len(prefix)
}

// recordSent records that this host sends a prompt to the replica.
func (x *prefixIndex) recordSent(prefix []uint64, now time.Time) {
	for _, hash := range prefix[:min(len(prefix), maxBlocksPerPrompt)] {
		x.touch(hash).lastSent = now
	}
}

// touch returns the block with a hash as the most recently used one, adding it
// if necessary. Beyond maxBlocksPerReplica it drops the least recently used block.
func (x *prefixIndex) touch(hash uint64) *block {
	if b, ok := x.blocks[hash]; ok {
		x.lru.MoveToBack(b.element)
		return b
	}
	b := &block{hash: hash}
	b.element = x.lru.PushBack(b)
	x.blocks[hash] = b
	if len(x.blocks) > maxBlocksPerReplica {
		oldest, _ := x.lru.Front().Value.(*block)
		x.drop(oldest)
	}
	return b
}

func (x *prefixIndex) drop(b *block) {
	x.lru.Remove(b.element)
	delete(x.blocks, b.hash)
}

// apply applies a page of cache events. A page of another incarnation first drops
// all blocks, also those only recorded as sent. After a gap in the sequence all
// blocks become unconfirmed and expire after unconfirmedTTL, unless a later event
// or request renews them.
func (x *prefixIndex) apply(page engineapi.CacheEvents, now time.Time) {
	if page.Incarnation != x.incarnation {
		x.blocks = make(map[uint64]*block)
		x.lru.Init()
		x.incarnation = page.Incarnation
		x.lastSeq = 0
	}
	for _, e := range page.Events {
		if e.Seq <= x.lastSeq {
			continue
		}
		if x.lastSeq > 0 && e.Seq != x.lastSeq+1 {
			x.unconfirmAll(now)
		}
		x.lastSeq = e.Seq
		x.applyEvent(e, now)
	}
}

func (x *prefixIndex) applyEvent(e engineapi.CacheEvent, now time.Time) {
	if e.Stored {
		b := x.touch(e.Block)
		b.confirmed = true
		return
	}
	b := x.blocks[e.Block]
	if b == nil {
		return
	}
	b.confirmed = false
	if now.Sub(b.lastSent) > maxEventLag {
		x.drop(b)
	}
}

// unconfirmAll marks all blocks as unconfirmed from now on.
func (x *prefixIndex) unconfirmAll(now time.Time) {
	for _, b := range x.blocks {
		if b.confirmed {
			b.confirmed = false
			b.lastSent = now
		}
	}
}
