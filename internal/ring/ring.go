// Package ring provides a bounded queue between goroutines.
package ring

import "context"

// Ring is a bounded first-in first-out queue for any number of goroutines.
type Ring[T any] struct {
	slots chan T
}

// New returns a Ring for up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// TryPush adds an item. It returns false if the queue is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Push adds an item. If the queue is full it waits for space, and returns the error of ctx if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.slots <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item. If the queue is empty it waits for an item, and returns the error of ctx if
// ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.slots:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items returns the channel that Pop receives from, for use in a select.
func (r *Ring[T]) Items() <-chan T { return r.slots }

// Len returns the number of items in the queue.
func (r *Ring[T]) Len() int { return len(r.slots) }
