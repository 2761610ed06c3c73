package home

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// methodClock is the peer call that returns a host's monotonic time since its start.
const methodClock = "home.clock"

const (
	// maxReadingAge is the age after which a clock is read again, which limits the error by clock drift.
	maxReadingAge = time.Minute
	// maxReadingError is the longest duration of the call that reads a clock. The
	// duration bounds the error of the reading, and a host that was frozen could
	// start a request too late by that error.
	maxReadingError = 500 * time.Millisecond
)

// clockReply is the reply to methodClock. SinceStart is the monotonic time since the
// replying host's Server was registered.
type clockReply struct {
	SinceStart time.Duration `msgpack:"s"`
}

// clockReading is a reading of another host's clock; sinceStart is as in clockReply.
type clockReading struct {
	incarnation string
	sinceStart  time.Duration
	// requestedAt is when the reading was requested, on this host's clock.
	requestedAt time.Time
}

// clockCache keeps readings of the other hosts' monotonic clocks, to express a
// request's deadline on the clock of its home. Such a deadline holds even if the
// home was frozen while the request was unread in its buffers, and it does not
// require synchronised clocks.
type clockCache struct {
	exchange peer.Exchange

	mu       sync.Mutex
	readings map[string]clockReading
}

func newClockCache(exchange peer.Exchange) *clockCache {
	return &clockCache{exchange: exchange, readings: make(map[string]clockReading)}
}

// deadline returns the time on a host's clock that is wait from now. It is late
// by at most the duration of the call that read the clock.
func (c *clockCache) deadline(ctx context.Context, host peer.Host, wait time.Duration) (time.Duration, error) {
	c.mu.Lock()
	known, ok := c.readings[host.ID]
	c.mu.Unlock()
	if !ok || known.incarnation != host.Incarnation || time.Since(known.requestedAt) > maxReadingAge {
		var err error
		if known, err = c.read(ctx, host); err != nil {
			return 0, err
		}
	}
	return known.sinceStart + time.Since(known.requestedAt) + wait, nil
}

// read reads a host's clock and stores the reading.
func (c *clockCache) read(ctx context.Context, host peer.Host) (clockReading, error) {
	requestedAt := time.Now()
	payload, err := c.exchange.Call(ctx, host.ID, methodClock, nil)
	if err != nil {
		return clockReading{}, err
	}
	var reply clockReply
	if err := msgpack.Unmarshal(payload, &reply); err != nil {
		return clockReading{}, failure.Wrap(err, failure.Internal, failure.NotRun, "the clock reply of host %q cannot be decoded", host.ID)
	}
	if time.Since(requestedAt) > maxReadingError {
		return clockReading{}, failure.New(failure.PeerUnreachable, failure.NotRun, "host %q answers too slowly to forward a request to it", host.ID)
	}
	r := clockReading{incarnation: host.Incarnation, sinceStart: reply.SinceStart, requestedAt: requestedAt}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[host.ID] = r
	return r, nil
}

// handleClock is the peer.Handler of methodClock.
func (s *Server) handleClock(context.Context, string, []byte) ([]byte, error) {
	return msgpack.Marshal(&clockReply{SinceStart: time.Since(s.started)})
}
