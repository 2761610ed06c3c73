package storelink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

// pair is a host "a" and a peer "b" that relays over a real connection.
type pair struct {
	rows *platformtest.Rows
	a, b *platformtest.RowsClient
	// host is the Store of a, server the Server of b.
	host   *Store
	server *Server
}

func newPair(t *testing.T) *pair {
	t.Helper()
	rows := platformtest.NewRows()
	p := &pair{rows: rows, a: rows.Client(), b: rows.Client()}
	p.server = NewServer(New(Config{Host: "b", Direct: p.b, Log: logr.Discard()}))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: p.server.Serve}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	p.host = New(Config{
		Host: "a", Direct: p.a, Connect: Connect, Log: logr.Discard(),
		Peers: func() []Peer { return []Peer{{ID: "b", Address: listener.Addr().String()}} },
	})
	return p
}

// turnAway makes the store refuse the calls of a until a knows it.
func (p *pair) turnAway(t *testing.T) {
	t.Helper()
	p.a.SetDown(true)
	for end := time.Now().Add(5 * time.Second); p.host.Served(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host doesn't notice that it is turned away")
		}
		_, _ = p.host.Commit(t.Context(), platform.RowTransaction{Checks: []platform.RowCheck{{RowID: row("none"), Version: 1}}})
	}
}

func row(key string) platform.RowID { return platform.RowID{Table: "t", Part: "p", Key: key} }

// insert returns a transaction that inserts the row "k".
func insert() platform.RowTransaction {
	return platform.RowTransaction{
		Checks: []platform.RowCheck{{RowID: row("k")}},
		Writes: []platform.RowWrite{{RowID: row("k"), Value: []byte("value")}},
	}
}

func TestCallsAreRelayed(t *testing.T) {
	p := newPair(t)
	p.turnAway(t)
	result, err := p.host.Commit(t.Context(), insert())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.host.Commit(t.Context(), insert()); !failure.IsKind(err, failure.Conflict) {
		t.Errorf("second insert: %v, want a conflict", err)
	}
	page, err := p.host.Read(t.Context(), platform.RowRange{Table: "t", Part: "p"})
	if err != nil || len(page.Rows) != 1 || string(page.Rows[0].Value) != "value" || page.Rows[0].RowID != row("k") || page.Rows[0].Version != result.Version {
		t.Errorf("read %+v, %v", page, err)
	}
	if parts, err := p.host.Parts(t.Context(), "t", ""); err != nil || len(parts.Parts) != 1 {
		t.Errorf("parts %+v, %v", parts, err)
	}
	if changes, err := p.host.Changes(t.Context(), "t", 0, time.Second); err != nil || len(changes.Rows) != 1 {
		t.Errorf("changes %+v, %v", changes, err)
	}
	p.rows.DropHistory()
	if _, err := p.host.Changes(t.Context(), "t", 0, 0); !failure.IsKind(err, failure.HistoryLost) {
		t.Errorf("changes after the history was dropped: %v, want HistoryLost", err)
	}
	p.a.SetDown(false)
	for end := time.Now().Add(5 * time.Second); !p.host.Served(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host doesn't notice that it is served again")
		}
		_, _ = p.host.Read(t.Context(), platform.RowRange{Table: "t", Part: "p"})
	}
}

// A relayed write whose answer is lost may have taken effect: it must not be told as
// without effect, nor be repeated by this package.
func TestRelayedWriteInDoubt(t *testing.T) {
	p := newPair(t)
	p.turnAway(t)
	p.b.LoseAnswers(1)
	commits := p.rows.Commits()
	if _, err := p.host.Commit(t.Context(), insert()); !failure.IsKind(err, failure.StoreInDoubt) {
		t.Errorf("error %v, want StoreInDoubt", err)
	}
	if n := p.rows.Commits() - commits; n != 1 {
		t.Errorf("%d commits, want 1", n)
	}
}

// A direct write in doubt is not sent by the other way either.
func TestDirectWriteInDoubtIsNotRelayed(t *testing.T) {
	p := newPair(t)
	p.turnAway(t)
	p.a.SetDown(false)
	p.a.LoseAnswers(1)
	p.host.mu.Lock()
	p.host.link.relayRetryAt = time.Now().Add(time.Minute) // the next write goes directly
	p.host.mu.Unlock()
	if _, err := p.host.Commit(t.Context(), insert()); !failure.IsKind(err, failure.StoreInDoubt) {
		t.Errorf("error %v, want StoreInDoubt", err)
	}
	if n := p.b.Reads(); n != 0 || len(p.rows.Row(row("k")).Value) == 0 {
		t.Errorf("the write was not made exactly once, directly")
	}
}

func TestPeerThatIsTurnedAwayRelaysNothing(t *testing.T) {
	p := newPair(t)
	p.turnAway(t)
	p.b.SetDown(true)
	if _, err := p.host.Commit(t.Context(), insert()); !failure.IsKind(err, failure.StoreUnavailable) {
		t.Errorf("error %v, want StoreUnavailable", err)
	}
}

// A peer that was suspended after it received a call makes it only if its caller still
// waits.
func TestCallOfACallerThatGaveUpIsNotMade(t *testing.T) {
	p := newPair(t)
	body, err := msgpack.Marshal(request{Left: 0, Tx: insert()})
	if err != nil {
		t.Fatal(err)
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI(pathCommit)
	ctx.Request.SetBody(body)
	p.server.Serve(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusServiceUnavailable || p.rows.Commits() != 0 {
		t.Errorf("status %d and %d commits, want 503 and none", ctx.Response.StatusCode(), p.rows.Commits())
	}
}

func TestCancelledCallsDoNotTurnAway(t *testing.T) {
	p := newPair(t)
	p.a.SetDown(true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 * turnedAwayFailures {
		_, _ = p.host.Read(ctx, platform.RowRange{Table: "t"})
	}
	if !p.host.Served() {
		t.Error("calls that their callers cancelled count as refused")
	}
}
