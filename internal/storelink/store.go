package storelink

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Config holds the dependencies of a Store.
type Config struct {
	// Host is the ID of this host, and Domain its failure domain.
	Host, Domain string
	// Direct is the row store.
	Direct platform.RowStore
	// Peers returns the other hosts as last seen; nil relays no calls.
	Peers func() []Peer
	// Connect returns a client of a peer's Server.
	Connect func(Peer) platform.RowStore
	Log     logr.Logger
}

// Store is a platform.RowStore that relays calls while the store turns this host away.
// It is safe for concurrent use.
type Store struct {
	config Config

	mu   sync.Mutex
	link Link
	// helper is the peer that relayed the last call, and helperClient its client; nil if
	// there is none.
	helper       Peer
	helperClient platform.RowStore
	// turnedAway is what was last logged.
	turnedAway bool
}

// New returns a Store.
func New(c Config) *Store {
	if c.Peers == nil {
		c.Peers = func() []Peer { return nil }
	}
	return &Store{config: c}
}

// Served reports whether the store serves this host.
func (s *Store) Served() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.link.TurnedAway(time.Now())
}

// Read implements platform.RowStore.
func (s *Store) Read(ctx context.Context, r platform.RowRange) (page platform.RowPage, err error) {
	err = s.call(ctx, true, func(rows platform.RowStore) (err error) {
		page, err = rows.Read(ctx, r)
		return err
	})
	return page, err
}

// Parts implements platform.RowStore.
func (s *Store) Parts(ctx context.Context, table, after string) (page platform.PartPage, err error) {
	err = s.call(ctx, true, func(rows platform.RowStore) (err error) {
		page, err = rows.Parts(ctx, table, after)
		return err
	})
	return page, err
}

// Changes implements platform.RowStore.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (page platform.RowPage, err error) {
	err = s.call(ctx, true, func(rows platform.RowStore) (err error) {
		page, err = rows.Changes(ctx, table, after, wait)
		return err
	})
	return page, err
}

// Commit implements platform.RowStore.
func (s *Store) Commit(ctx context.Context, tx platform.RowTransaction) (result platform.CommitResult, err error) {
	err = s.call(ctx, false, func(rows platform.RowStore) (err error) {
		result, err = rows.Commit(ctx, tx)
		return err
	})
	return result, err
}

// call makes a call directly or over a peer. A write that may have taken effect is not
// repeated by another way: its caller knows whether that is safe.
func (s *Store) call(ctx context.Context, read bool, do func(platform.RowStore) error) error {
	s.mu.Lock()
	way := s.link.Route(read, time.Now())
	s.mu.Unlock()
	if way == Direct {
		err := s.direct(ctx, do)
		if decided(err) || ctx.Err() != nil || !read && failure.IsKind(err, failure.StoreInDoubt) || !s.mayRelay() {
			return err
		}
		if relayed, relayErr := s.relay(ctx, read, do); relayed {
			return relayErr
		}
		return err
	}
	if relayed, err := s.relay(ctx, read, do); relayed {
		return err
	}
	return s.direct(ctx, do)
}

// decided reports whether the store answered a call.
func decided(err error) bool {
	return err == nil || failure.IsKind(err, failure.Conflict) || failure.IsKind(err, failure.HistoryLost)
}

// mayRelay reports whether a call that has failed directly may be relayed.
func (s *Store) mayRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.MayRelay(time.Now())
}

// direct makes a call to the store and records whether the store served it.
func (s *Store) direct(ctx context.Context, do func(platform.RowStore) error) error {
	started := time.Now()
	err := do(s.config.Direct)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case decided(err):
		s.link.Succeeded()
	case ctx.Err() != nil && time.Since(started) < turnedAwayAfter:
		// The caller gave up too soon to tell.
	default:
		s.link.Failed(started)
	}
	if turnedAway := s.link.TurnedAway(time.Now()); turnedAway != s.turnedAway {
		s.turnedAway = turnedAway
		if turnedAway {
			s.config.Log.Info("store turns this host away", "failures", s.link.failures, "since", time.Since(s.link.failingSince), "error", err.Error())
		} else {
			s.config.Log.Info("store serves this host again")
		}
	}
	return err
}

// relay asks the peer that helped last, then others. relayed is false if none of them
// made the call, which then had no effect.
func (s *Store) relay(ctx context.Context, read bool, do func(platform.RowStore) error) (relayed bool, err error) {
	s.mu.Lock()
	helper, client := s.helper, s.helperClient
	s.mu.Unlock()
	if client != nil {
		if relayed, err = s.ask(ctx, read, helper, client, do); relayed {
			return true, err
		}
	}
	for _, p := range s.order() {
		if relayed, err = s.ask(ctx, read, p, s.config.Connect(p), do); relayed {
			return true, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.NobodyHelped(time.Now())
	return false, err
}

// order returns the peers to ask by Link.Order.
func (s *Store) order() []Peer {
	peers := s.config.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.Order(s.config.Host, s.config.Domain, peers, time.Now())
}

// ask asks one peer to make a call, and keeps it for the next calls if it did.
// relayed is false if another peer may be asked.
func (s *Store) ask(ctx context.Context, read bool, p Peer, client platform.RowStore, do func(platform.RowStore) error) (relayed bool, err error) {
	err = do(client)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case decided(err):
		if s.helperClient == nil {
			s.helper, s.helperClient = p, client
			s.config.Log.Info("calls to the store are relayed", "peer", p.ID, "domain", p.Domain)
		}
		return true, err
	case ctx.Err() != nil:
		return true, err
	}
	s.link.PeerFailed(p.ID, time.Now())
	if s.helper.ID == p.ID {
		s.helper, s.helperClient = Peer{}, nil
	}
	return !read && failure.IsKind(err, failure.StoreInDoubt), err
}
