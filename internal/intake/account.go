package intake

import (
	"context"
	"sync"
)

// Account is what one request holds of the budget: its body, its answer and what is made of
// them. It is safe for concurrent use.
type Account struct {
	gate *Gate
	// conn is the connection of the request; nil if there is none.
	conn *Conn

	mu     sync.Mutex
	held   int64
	closed bool
	// holder is true while the gate knows that conn holds much.
	holder bool
}

// Reserve reserves n bytes until the request has ended. If they are not available, it ends
// requests that hold much and make little progress, and waits shortly. It returns false if
// that did not help. A nil Account reserves nothing and returns true.
func (a *Account) Reserve(n int64) bool {
	if a == nil || n <= 0 {
		return true
	}
	return a.gate.reserve(n) && a.add(n)
}

// add adds n reserved bytes. It returns them if the account is closed.
func (a *Account) add(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		a.gate.budget.release(n)
		return false
	}
	a.held += n
	if a.conn != nil && !a.holder && a.held >= victimBytes {
		a.holder = true
		a.gate.addHolder(a.conn)
	}
	return true
}

// TryReserve is like Reserve, but neither ends other requests nor waits.
func (a *Account) TryReserve(n int64) bool {
	return a == nil || a.gate.budget.tryReserve(n) && a.add(n)
}

// Release returns n reserved bytes before the end of the request.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	n = min(n, a.held)
	a.held -= n
	a.mu.Unlock()
	a.gate.budget.release(n)
}

// reset returns all reserved bytes.
func (a *Account) reset(closed bool) {
	a.mu.Lock()
	n := a.held
	a.held, a.closed = 0, closed
	if a.holder {
		a.holder = false
		a.gate.removeHolder(a.conn)
	}
	a.mu.Unlock()
	a.gate.budget.release(n)
}

// Close ends an account from Gate.NewAccount. It does nothing for a nil Account.
func (a *Account) Close() {
	if a != nil {
		a.reset(true)
	}
}

// bytes returns the number of reserved bytes.
func (a *Account) bytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

type accountKey struct{}

// WithAccount returns a context with the account to which the answer of a call is charged.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// AccountOf returns the account of a context; nil without one.
func AccountOf(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
