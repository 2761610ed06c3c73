// Package classqueue is the filter that bounds the number of requests of each
// class that wait for an upstream on this host, and refuses those whose
// deadline has passed or is less than a millisecond away.
package classqueue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

// minRemaining is the shortest time to the deadline with which a request is admitted.
const minRemaining = time.Millisecond

// retryAfter is the retry delay suggested to callers when the queue is full.
const retryAfter = time.Second

// ClassQueue is the filter. The limit per class is deployment.queue_limit; zero
// means no limit.
type ClassQueue struct {
	filter.Base
	mu sync.Mutex
	// waiting is the number of waiting requests by class.
	waiting map[deployment.Class]int
}

// Handle implements filter.Filter.
func (q *ClassQueue) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minRemaining {
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed before the request was queued")
	}
	if err := q.enter(r.Class, r.Document.Deployment.QueueLimit); err != nil {
		return err
	}
	r.Queued = time.Now()
	r.OnDispatch(func() { q.leave(r.Class) })
	defer r.LeaveQueue()
	return next(ctx, r)
}

func (q *ClassQueue) enter(class deployment.Class, limit int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if limit > 0 && q.waiting[class] >= limit {
		return failure.New(failure.QueueFull, failure.NotRun, "too many %s requests wait on this host", class).
			WithLimit(fmt.Sprintf("%d requests", limit)).WithRetryAfter(retryAfter)
	}
	if q.waiting == nil {
		q.waiting = make(map[deployment.Class]int)
	}
	q.waiting[class]++
	return nil
}

func (q *ClassQueue) leave(class deployment.Class) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[class]--
}
