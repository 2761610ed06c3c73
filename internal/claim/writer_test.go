package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const bookings = 40

// endBookings claims and answers a number of bookings on a host.
func endBookings(t *testing.T, host *Registry) {
	t.Helper()
	for i := range bookings {
		expect(t, host, request(t, fmt.Sprintf("order-%d", i)), "claim").Finish(nil, answerWith("booked"))
	}
}

// expectBooked checks that another host gets the answers from the table alone.
func expectBooked(t *testing.T, c *cluster) {
	t.Helper()
	c.exchanges["a"].SetState(peer.StateDead)
	b := c.host("b", "b1")
	for i := range bookings {
		expect(t, b, request(t, fmt.Sprintf("order-%d", i)), "booked")
	}
}

func TestResultsAreWrittenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		endBookings(t, a)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.writeResults(ctx) }()
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if batches := c.table.writes - bookings; batches != (bookings+writeBatchSize-1)/writeBatchSize {
			t.Errorf("%d transactions for %d results", batches, bookings)
		}
		expectBooked(t, c)
	})
}

func TestResultsAreWrittenOnceStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		endBookings(t, a)
		c.table.faults = []fault{down, replyLost, down, noEffect, down}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.writeResults(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		expectBooked(t, c)
	})
}

func TestResultsAreFlushedOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = a.writeResults(ctx) }()
		endBookings(t, a)
		c.table.mu.Lock()
		c.table.faults = []fault{down}
		c.table.mu.Unlock()
		time.Sleep(batchDelay + firstBackoff/2)
		cancel()
		<-done
		expectBooked(t, c)
	})
}
