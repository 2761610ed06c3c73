// Package rowleasetest runs hosts that compete for a lease, for tests.
package rowleasetest

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/follow"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/rowlease"
)

// Term is the term of the leases.
const Term = 3 * time.Second

// byID ranks hosts whose ids begin with "0", "1", ... by that digit.
type byID struct{}

func (byID) Rank(_, id string) int { return int(id[0] - '0') }

// Candidate is one host that competes for a lease.
type Candidate struct {
	ID      string
	Rows    *platformtest.RowsClient
	Elector *rowlease.Elector
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// Start starts a host that competes for the lease with a name. The id begins with the
// digit of the host's rank.
func Start(rows *platformtest.Rows, name, id, incarnation string) *Candidate {
	client := rows.Client()
	c := &Candidate{ID: id, Rows: client, Elector: rowlease.NewElector(name, id, incarnation, Term, client, byID{}, logr.Discard())}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	follower := follow.New(follow.Config{Table: rowlease.Table, AllParts: true, LongPollWait: time.Second}, client, c.Elector, logr.Discard())
	c.done.Go(func() { _ = c.Elector.Run(ctx) })
	c.done.Go(func() { _ = follower.Run(ctx) })
	return c
}

// Stop ends the host's process without giving up the lease.
func (c *Candidate) Stop() {
	c.cancel()
	c.done.Wait()
	c.Rows.WaitForDelayedWrites()
}
