package intake

import "sync"

// smallBytes is the largest reservation that may use the whole budget. Larger ones leave an
// eighth of it, so that a crowd of large requests does not keep out small ones.
const smallBytes = 64 << 10

// Budget is a number of bytes that is shared by all requests of a process. It is safe for
// concurrent use.
type Budget struct {
	total int64
	// background returns bytes that are held for clients and were not reserved; it may be nil.
	background func() int64

	mu   sync.Mutex
	used int64
	// freed is closed at the next release; nil if nobody waits for it.
	freed chan struct{}
}

// NewBudget returns a budget of a number of bytes. background returns bytes that are held for
// clients and were not reserved, such as accepted jobs; it may be nil.
func NewBudget(total int64, background func() int64) *Budget {
	return &Budget{total: total, background: background}
}

// tryReserve reserves n bytes. It returns false if they are not available. Half of the budget
// is never taken by the background, which can't be refused.
func (b *Budget) tryReserve(n int64) bool {
	limit := b.total
	if n > smallBytes {
		limit -= b.total / 8
	}
	if b.background != nil {
		limit -= min(b.background(), b.JobShare())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > limit && (n > smallBytes || b.used+n > b.total-b.JobShare()) {
		return false
	}
	b.used += n
	return true
}

// release returns n reserved bytes.
func (b *Budget) release(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// change returns a channel that is closed at the next release.
func (b *Budget) change() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// JobShare returns the bytes that accepted jobs may take: half of the budget.
func (b *Budget) JobShare() int64 { return b.total / 2 }

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }
