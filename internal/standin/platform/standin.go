package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// Config describes a platform stand-in.
type Config struct {
	Server control.Config
	// WritesPerSecond and ReadsPerSecond limit the calls to the table; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightBytesPerSecond limits the weight store over all readers; zero means no limit.
	WeightBytesPerSecond int
	// MemberLag is the delay of the membership list.
	MemberLag time.Duration
	// MemberTTL is how long a member stays on the list without renewal.
	MemberTTL time.Duration
}

// Default returns the configuration of an ordinary platform.
func Default() Config {
	return Config{
		WritesPerSecond:      500,
		ReadsPerSecond:       2000,
		WeightBytesPerSecond: 256 << 20,
		MemberLag:            time.Second,
		MemberTTL:            5 * time.Second,
	}
}

type counters struct {
	reads, writes, rowsRead, rowsWritten, conflicts atomic.Uint64
	objectReads, objectWrites, memberCalls          atomic.Uint64
}

// Standin is a platform stand-in.
type Standin struct {
	*control.Server
	cfg Config

	table     *table
	rows      platform.RowStore
	members   *members
	catalogue *catalogue
	counters  counters

	writeRate, readRate, weightRate *rate.Limiter

	objectsMu sync.Mutex
	objects   map[string][]byte
}

// New returns a platform stand-in with empty stores.
func New(cfg Config) (*Standin, error) {
	s := &Standin{
		cfg:        cfg,
		table:      newTable(),
		rows:       platformtest.NewRows().Client(),
		members:    newMembers(cfg.MemberTTL),
		catalogue:  newCatalogue(),
		objects:    map[string][]byte{},
		writeRate:  callLimiter(cfg.WritesPerSecond),
		readRate:   callLimiter(cfg.ReadsPerSecond),
		weightRate: callLimiter(float64(cfg.WeightBytesPerSecond)),
	}
	if cfg.WeightBytesPerSecond > 0 {
		s.weightRate.SetBurst(weightChunk)
	}
	server, err := control.NewServer(cfg.Server, s.route)
	if err != nil {
		return nil, err
	}
	s.Server = server
	server.HandleControl(standinapi.PathCounters, s.handleCounters)
	return s, nil
}

// callLimiter returns a limiter that evens calls out over a tenth of a second.
func callLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Run serves until ctx ends.
func (s *Standin) Run(ctx context.Context) error { return s.Server.Run(ctx) }

func (s *Standin) handleCounters(ctx *fasthttp.RequestCtx) {
	c := &s.counters
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.CountersResponse{
		Reads:        c.reads.Load(),
		Writes:       c.writes.Load(),
		RowsRead:     c.rowsRead.Load(),
		RowsWritten:  c.rowsWritten.Load(),
		Conflicts:    c.conflicts.Load(),
		ObjectReads:  c.objectReads.Load(),
		ObjectWrites: c.objectWrites.Load(),
		MemberCalls:  c.memberCalls.Load(),
	})
}
