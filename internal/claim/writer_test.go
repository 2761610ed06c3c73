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

// endBookings claims and answers some bookings on a host.
func endBookings(t *testing.T, host *Registry) {
	t.Helper()
	for i := range bookings {
		expect(t, host, use(t, fmt.Sprintf("order-%d", i)), "ticket").Finish(nil, answerWith("booked"))
	}
}

// expectBooked checks that another host knows the answers from the table alone.
func expectBooked(t *testing.T, c *cluster) {
	t.Helper()
	c.exchanges["a"].SetState(peer.Dead)
	b := c.host("b", "b1")
	for i := range bookings {
		expect(t, b, use(t, fmt.Sprintf("order-%d", i)), "booked")
	}
}

func TestVerdictsAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		endBookings(t, a)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.writeVerdicts(ctx) }()
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if batches := c.table.writes - bookings; batches != (bookings+writeBatch-1)/writeBatch {
			t.Errorf("%d transactions for %d verdicts", batches, bookings)
		}
		expectBooked(t, c)
	})
}

func TestVerdictsWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		endBookings(t, a)
		c.table.faults = []fault{down, replyLost, down, noEffect, down}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.writeVerdicts(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		expectBooked(t, c)
	})
}

func TestVerdictsAreWrittenAtTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = a.writeVerdicts(ctx) }()
		endBookings(t, a)
		c.table.mu.Lock()
		c.table.faults = []fault{down}
		c.table.mu.Unlock()
		time.Sleep(gatherTime + firstBackoff/2)
		cancel()
		<-done
		expectBooked(t, c)
	})
}
