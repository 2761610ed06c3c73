package routing

import (
	"container/heap"
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
)

// rolloutDispatchInterval is the number of dispatches of which one prefers
// rollouts, so that a steady interactive load can't starve them.
const rolloutDispatchInterval = 16

// waiter is a request that waits for a replica with free capacity.
type waiter struct {
	ctx        context.Context
	req        *Request
	enqueuedAt time.Time
	// granted receives the reservation, or nil if the waiter was shed or its
	// context has ended.
	granted chan *reservation
	// finishTime orders the waiters of a class: the virtual time at which weighted
	// fair queueing would finish this one.
	finishTime float64
	// heapIndex is the waiter's index in the heap; negative once removed.
	heapIndex int
}

// fairQueue is a weighted fair queue of the waiters of one class. Tenants are
// served in proportion to their shares, and each tenant's waiters first come,
// first served.
type fairQueue struct {
	waiters []*waiter
	// virtualTime is the finish time of the waiter served last.
	virtualTime float64
	// lastFinish is the finish time of each tenant's newest waiter.
	lastFinish map[string]float64
	// busySince is when the queue last became non-empty.
	busySince time.Time
	// lastShed is when a waiter was last shed; zero if none was.
	lastShed time.Time
}

func newFairQueue() *fairQueue { return &fairQueue{lastFinish: make(map[string]float64)} }

// Len implements heap.Interface.
func (q *fairQueue) Len() int { return len(q.waiters) }

// Less implements heap.Interface.
func (q *fairQueue) Less(i, j int) bool { return q.waiters[i].finishTime < q.waiters[j].finishTime }

// Swap implements heap.Interface.
func (q *fairQueue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].heapIndex = i
	q.waiters[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *fairQueue) Push(x any) {
	w, _ := x.(*waiter)
	w.heapIndex = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop implements heap.Interface.
func (q *fairQueue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	w.heapIndex = -1
	return w
}

// add queues a waiter.
func (q *fairQueue) add(w *waiter) {
	if len(q.waiters) == 0 {
		q.busySince = w.enqueuedAt
		clear(q.lastFinish)
	}
	share := max(1, w.req.Share)
	w.finishTime = max(q.virtualTime, q.lastFinish[w.req.Tenant]) + 1/float64(share)
	q.lastFinish[w.req.Tenant] = w.finishTime
	heap.Push(q, w)
}

// peek returns the next waiter without removing it, or nil.
func (q *fairQueue) peek() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// remove removes a waiter; it reports false if the waiter was already removed.
func (q *fairQueue) remove(w *waiter) bool {
	if w.heapIndex < 0 {
		return false
	}
	heap.Remove(q, w.heapIndex)
	w.heapIndex = -1
	return true
}

// serve removes the next waiter and advances the virtual time.
func (q *fairQueue) serve(w *waiter) {
	q.virtualTime = w.finishTime
	q.remove(w)
}

// overloaded reports whether requests seem to arrive faster than they are served:
// the queue is not empty, and either has been so for term or had a waiter shed
// within term.
func (q *fairQueue) overloaded(now time.Time, term time.Duration) bool {
	if len(q.waiters) == 0 {
		return false
	}
	return now.Sub(q.busySince) >= term || !q.lastShed.IsZero() && now.Sub(q.lastShed) < term
}

// queue holds the waiters of one pool by class.
type queue struct {
	interactive *fairQueue
	rollout     *fairQueue
	// dispatched is the number of waiters removed by dispatch.
	dispatched int
}

func newQueue() *queue { return &queue{interactive: newFairQueue(), rollout: newFairQueue()} }

// class returns the queue of a class; an unknown class waits with the rollouts.
func (q *queue) class(c deployment.Class) *fairQueue {
	if c == deployment.ClassInteractive {
		return q.interactive
	}
	return q.rollout
}

// order returns the queues in the order in which the next dispatch tries them.
func (q *queue) order() [2]*fairQueue {
	if q.dispatched%rolloutDispatchInterval == rolloutDispatchInterval-1 {
		return [2]*fairQueue{q.rollout, q.interactive}
	}
	return [2]*fairQueue{q.interactive, q.rollout}
}
