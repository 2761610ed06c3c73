package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

func documentText(n int) []byte {
	return fmt.Appendf(nil, "[deployment]\nname = test\nqueue_limit = %d\n", n)
}

// testHost is one host with the components of this package.
type testHost struct {
	source    *Source
	committer *Committer
	poller    *poller
	follower  *follower
	announcer *announcer
	isolation *IsolationMonitor
	reader    *Reader
	exchange  *peertest.Exchange
}

func newTestHost(id string, table *platformtest.Table, network *peertest.Network) *testHost {
	exchange := network.Join(peer.Host{ID: id})
	log := logr.Discard()
	st := &store{table: table}
	source := newSource(log, metrics.NewSet())
	contact := newIsolationMonitor(&settings.Settings{
		Host:   settings.Host{SeedPeers: []string{"seed"}},
		Timing: settings.DefaultTiming(),
	}, exchange, metrics.NewSet())
	exchange.Handle(fetchMethod, (&fetchHandler{source: source}).handle)
	exchange.Handle(pushMethod, (&pushHandler{source: source}).handle)
	interval := settings.DefaultTiming().ConfigPoll
	return &testHost{
		source: source,
		committer: &Committer{
			log: log, store: st, source: source, now: time.Now,
			announcedVersion: func() uint64 { return highestAnnouncedVersion(exchange) },
			pusher:           &pusher{log: log, exchange: exchange},
		},
		poller:    &poller{log: log, store: st, source: source, isolation: contact, interval: interval},
		follower:  &follower{log: log, source: source, exchange: exchange, watch: exchange.Watch(peer.TopicConfig), retryInterval: interval},
		announcer: &announcer{source: source, exchange: exchange},
		isolation: contact,
		reader:    &Reader{store: st, source: source, exchange: exchange},
		exchange:  exchange,
	}
}

// start runs the poller, the follower and the announcer until ctx ends.
func (h *testHost) start(ctx context.Context) {
	go h.poller.run(ctx)
	go h.follower.run(ctx)
	go h.announcer.run(ctx)
}

func change(id string, base uint64, n int) Change {
	return Change{ID: id, Operator: "nadia", Base: base, Text: documentText(n)}
}

func TestCommitResolvesLostReplies(t *testing.T) {
	down := platformtest.Down
	tests := []struct {
		name   string
		faults []platformtest.Fault
	}{
		{"reply lost", []platformtest.Fault{platformtest.None, platformtest.ReplyLost}},
		{"request lost", []platformtest.Fault{platformtest.None, platformtest.RequestLost}},
		{"reply lost, then down", []platformtest.Fault{platformtest.None, platformtest.ReplyLost, down, down, down}},
		{"down, then up", []platformtest.Fault{down, down, down}},
		{"lost twice", []platformtest.Fault{platformtest.None, platformtest.RequestLost, platformtest.None, platformtest.ReplyLost, down}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := platformtest.NewTable()
				host := newTestHost("a", table, peertest.NewNetwork())
				table.FailNext(test.faults...)
				head, err := host.committer.Commit(t.Context(), change("c1", 0, 1))
				if err != nil || head.Version != 1 {
					t.Fatalf("version %d, error %v, want version 1", head.Version, err)
				}
				stored, _, err := host.committer.store.head(t.Context())
				if err != nil || stored.Version != 1 || host.source.Record().Version != 1 {
					t.Errorf("store has version %d, in force is %d, error %v", stored.Version, host.source.Record().Version, err)
				}
			})
		})
	}
}

func TestCommitReportsUnresolvedDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		host := newTestHost("a", table, peertest.NewNetwork())
		table.FailNext(platformtest.None, platformtest.ReplyLost)
		go func() {
			time.Sleep(time.Millisecond)
			table.FailAll(platformtest.Down)
		}()
		_, err := host.committer.Commit(t.Context(), change("c1", 0, 1))
		if !failure.IsKind(err, failure.StoreInDoubt) || failure.As(err).Outcome != failure.Unknown {
			t.Fatalf("error %v, want store_in_doubt", err)
		}
		if host.source.Current() != nil {
			t.Error("a change with an unknown outcome is in force")
		}
		table.FailAll(platformtest.None)
		head, err := host.committer.Commit(t.Context(), change("c1", 0, 1))
		if err != nil || head.Version != 1 {
			t.Errorf("repeat: version %d, error %v, want version 1", head.Version, err)
		}
	})
}

func TestCommitRefusesConcurrentChange(t *testing.T) {
	table := platformtest.NewTable()
	network := peertest.NewNetwork()
	a, b := newTestHost("a", table, network), newTestHost("b", table, network)
	if _, err := a.committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
		t.Fatal(err)
	}
	_, err := b.committer.Commit(t.Context(), change("c2", 0, 2))
	conflict := AsConflict(err)
	if !failure.IsKind(err, failure.Conflict) || conflict == nil {
		t.Fatalf("error %v, want conflict", err)
	}
	if got := conflict.Current; got.Version != 1 || got.ChangeID != "c1" || got.Operator != "nadia" || got.AcceptedAt.IsZero() {
		t.Errorf("conflict names %+v", got)
	}
	if head, err := b.committer.Commit(t.Context(), change("c1", 0, 1)); err != nil || head.Version != 1 {
		t.Errorf("repeat of the accepted change: version %d, error %v", head.Version, err)
	}
	if _, err := b.committer.Commit(t.Context(), change("c1", 1, 3)); !failure.IsKind(err, failure.KeyReused) {
		t.Errorf("change id with another document: %v, want %s", err, failure.KeyReused)
	}
	if _, err := b.committer.Commit(t.Context(), Change{ID: "c3", Base: 1, Text: []byte("x")}); !failure.IsKind(err, failure.InvalidDocument) || deployment.AsProblems(err) == nil {
		t.Errorf("invalid document: %v", err)
	}
}

// skewedTable returns the rows of one read from different points in time.
type skewedTable struct {
	*platformtest.Table
	// between is called once, after the second row and before the first one is read.
	between func()
}

func (t *skewedTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var rows []platform.Row
	for i := len(keys) - 1; i >= 0; i-- {
		row, err := t.Table.Read(ctx, keys[i])
		if err != nil {
			return nil, err
		}
		rows = append(row, rows...)
		if i == 1 && t.between != nil {
			t.between()
			t.between = nil
		}
	}
	return rows, nil
}

func TestSkewedReadCausesNoFalseConflict(t *testing.T) {
	table := platformtest.NewTable()
	host := newTestHost("a", table, peertest.NewNetwork())
	first := newTestHost("b", table, peertest.NewNetwork())
	host.committer.store = &store{table: &skewedTable{Table: table, between: func() {
		if _, err := first.committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
			t.Error(err)
		}
	}}}
	head, err := host.committer.Commit(t.Context(), change("c1", 0, 1))
	if err != nil || head.Version != 1 {
		t.Errorf("repeat of an accepted change: version %d, error %v", head.Version, err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	table := platformtest.NewTable()
	host := newTestHost("a", table, peertest.NewNetwork())
	const versions = HistoryLimit + 5
	for v := range versions {
		if _, err := host.committer.Commit(t.Context(), change(fmt.Sprint("c", v), uint64(v), 1)); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := len(table.Snapshot()), 2*HistoryLimit+1; got != want {
		t.Errorf("%d rows, want %d", got, want)
	}
	heads, err := host.reader.History(t.Context(), 3)
	if err != nil || len(heads) != 3 || heads[0].Version != versions || heads[2].Version != versions-2 {
		t.Errorf("history %+v, error %v", heads, err)
	}
}
