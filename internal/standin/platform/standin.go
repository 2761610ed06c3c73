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

// Config is the configuration of a platform stand-in. Default sets the values in parentheses.
type Config struct {
	Server control.Config
	// WritesPerSecond and ReadsPerSecond limit the calls to the table and the row
	// store (500 and 2000). Zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightBytesPerSecond limits the rate of the weight store over all downloads (256 MiB per second). Zero means no limit.
	WeightBytesPerSecond int
	// MemberLag is the delay of changes on the membership list (1 s).
	MemberLag time.Duration
	// MemberTTL is the time for which a member stays on the list after its last renewal (5 s).
	MemberTTL time.Duration
}

// Default returns the default configuration, without a listener.
func Default() Config {
	return Config{
		WritesPerSecond:      500,
		ReadsPerSecond:       2000,
		WeightBytesPerSecond: 256 << 20,
		MemberLag:            time.Second,
		MemberTTL:            5 * time.Second,
	}
}

// counters holds the counters of standinapi.CountersResponse that a platform has.
type counters struct {
	reads, writes, rowsRead, rowsWritten, conflicts atomic.Uint64
	objectReads, objectWrites, memberCalls          atomic.Uint64
}

// Standin is a platform stand-in.
type Standin struct {
	*control.Server
	cfg Config

	table           *table
	rows            platform.RowStore
	members         *members
	weightCatalogue *catalogue
	counters        counters

	// writeRate and readRate limit calls, and weightRate limits bytes.
	writeRate, readRate, weightRate *rate.Limiter

	objectsMu sync.Mutex
	objects   map[string][]byte
}

// New returns a platform stand-in with empty stores. Errors are those of control.NewServer.
func New(cfg Config) (*Standin, error) {
	s := &Standin{
		cfg:             cfg,
		table:           newTable(),
		rows:            platformtest.NewRows().Client(),
		members:         newMembers(cfg.MemberTTL),
		weightCatalogue: newCatalogue(),
		objects:         map[string][]byte{},
		writeRate:       newLimiter(cfg.WritesPerSecond),
		readRate:        newLimiter(cfg.ReadsPerSecond),
		weightRate:      newLimiter(float64(cfg.WeightBytesPerSecond)),
	}
	if cfg.WeightBytesPerSecond > 0 {
		s.weightRate.SetBurst(weightChunkBytes)
	}
	server, err := control.NewServer(cfg.Server, s.route)
	if err != nil {
		return nil, err
	}
	s.Server = server
	server.HandleControl(standinapi.PathCounters, s.handleCounters)
	return s, nil
}

// newLimiter returns a limiter with a burst of a tenth of a second, or without limit if perSecond is zero.
func newLimiter(perSecond float64) *rate.Limiter {
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
