package platformtest

import (
	"context"
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Client is one host's client of a Table, with faults of its own.
type Client struct {
	table *Table

	mu    sync.Mutex
	fault Fault
}

var _ platform.Table = (*Client)(nil)

// FailAll sets the fault of all calls of this client. Reads fail only with Down.
func (c *Client) FailAll(fault Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// current returns the fault in force.
func (c *Client) current() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// Read implements platform.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if c.current() == Down {
		return nil, failure.New(failure.StoreUnavailable, "", "the table is down")
	}
	return c.table.Read(ctx, keys...)
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if c.current() == Down {
		return nil, failure.New(failure.StoreUnavailable, "", "the table is down")
	}
	return c.table.Scan(ctx, prefix, after, limit)
}

// Transact implements platform.Table.
func (c *Client) Transact(ctx context.Context, tx platform.Transaction) error {
	fault := c.current()
	if fault == None {
		return c.table.Transact(ctx, tx)
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.writes++
	return c.table.transact(tx, fault)
}
