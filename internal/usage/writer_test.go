package usage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/roster"
)

// A host that stops while the store refuses a write must not lose its last counts.
func TestLastWriteIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		// refused and lost are the numbers of commits that are refused, and that are executed
		// without a reply.
		refused, lost int
		written       bool
	}{
		{"refused", 4, 0, true},
		{"replies lost", 0, 3, true},
		{"store down", 1000, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows, hosts := platformtest.NewRows(), roster.New(logr.Discard())
				client := rows.Client()
				store := &refusingStore{RowStore: client}
				counter := NewCounter(hosts, length, nil)
				writer := NewWriter(counter, "a", "first", store, hosts, logr.Discard())
				at := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- writer.Run(ctx) }()
				time.Sleep(3 * writeInterval)
				counter.Began("x", at)
				store.mu.Lock()
				store.commits = test.refused
				store.mu.Unlock()
				client.LoseAnswers(test.lost)
				cancel()
				began := time.Now()
				if err := <-done; err != nil {
					t.Error(err)
				}
				if took := time.Since(began); took > writeTimeout {
					t.Errorf("the stop took %s", took)
				}
				pending := counter.pending(writer.part)
				if written := rows.Count(partOf(windowAt(time.Duration(at.UnixNano()), length), 0)) == 1; written != test.written || written != (len(pending) == 0) {
					t.Errorf("written: %t, pending: %v", written, pending)
				}
			})
		})
	}
}
