package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

func newTestTransport(address string, timeout time.Duration) *transport {
	return newTransport(&settings.Settings{
		Platform: settings.Platform{Address: address, Timeout: timeout},
		Timing:   settings.DefaultTiming(),
	})
}

func newTestServer(t *testing.T, handler http.HandlerFunc) *transport {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newTestTransport(server.Listener.Addr().String(), 5*time.Second)
}

func TestFailuresAreClassified(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closed.Addr().String()
	closed.Close()

	loseReply := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	}
	cutReply := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
		conn.Close()
	}
	serverError := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	conflict := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(ConflictResponse{Key: "k", Version: 7})
	}
	tests := []struct {
		name        string
		transport   *transport
		read, write failure.Kind
	}{
		{"dial refused", newTestTransport(refusing, time.Second), failure.StoreUnavailable, failure.StoreUnavailable},
		{"reply lost", newTestServer(t, loseReply), failure.StoreUnavailable, failure.StoreInDoubt},
		{"reply cut", newTestServer(t, cutReply), failure.StoreUnavailable, failure.StoreInDoubt},
		{"server error", newTestServer(t, serverError), failure.StoreUnavailable, failure.StoreInDoubt},
		{"conflict", newTestServer(t, conflict), failure.Internal, failure.Conflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := &httpTable{transport: test.transport}
			if _, err := table.Read(context.Background(), "k"); !failure.IsKind(err, test.read) {
				t.Errorf("read: %v, want %s", err, test.read)
			}
			if err := table.Transact(context.Background(), Transaction{}); !failure.IsKind(err, test.write) {
				t.Errorf("write: %v, want %s", err, test.write)
			}
		})
	}
}

// A request on a pooled connection that the platform has closed gets no answer.
// The HTTP client must not retry it, because the platform may have executed it.
func TestNoCallIsRepeated(t *testing.T) {
	var calls atomic.Int32
	transport := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	})
	table := &httpTable{transport: transport}
	objects := &httpObjects{transport: transport}
	table.Transact(context.Background(), Transaction{})
	objects.Put(context.Background(), "k", nil)
	objects.Get(context.Background(), "k")
	if got := calls.Load(); got != 3 {
		t.Errorf("%d calls reached the platform, want 3", got)
	}
}

func isNotSent(err error) bool {
	var unsent *notSentError
	return errors.As(err, &unsent)
}

func TestCountedConnTellsWhetherAnythingWasSent(t *testing.T) {
	ours, theirs := net.Pipe()
	conn := &countedConn{Conn: ours}
	go bufio.NewReader(theirs).ReadByte()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	if _, err := conn.Write([]byte("y")); err == nil {
		t.Fatal("write on a closed pipe succeeded")
	} else if isNotSent(err) {
		t.Error("failure after the first byte counts as not sent")
	}
	fresh := &countedConn{Conn: ours}
	if _, err := fresh.Write([]byte("z")); err == nil {
		t.Fatal("write on a closed pipe succeeded")
	} else if !isNotSent(err) {
		t.Error("failure before the first byte counts as sent")
	}
}

func TestReadKeepsTheOrderOfKeys(t *testing.T) {
	transport := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(RowsResponse{Rows: []Row{{Key: "b", Value: []byte("2"), Version: 9}}})
	})
	got, err := (&httpTable{transport: transport}).Read(context.Background(), "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	want := []Row{{Key: "a"}, {Key: "b", Value: []byte("2"), Version: 9}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestObjectPathEscapesParts(t *testing.T) {
	if got, want := objectPath("steps/a b/1?"), PathObjects+"steps/a%20b/1%3F"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

func TestAnswersOfTheRowService(t *testing.T) {
	answers := map[int]failure.Kind{
		http.StatusConflict: failure.Conflict, http.StatusGone: failure.HistoryLost,
		http.StatusServiceUnavailable: failure.StoreInDoubt, http.StatusBadRequest: failure.Internal,
	}
	for status, want := range answers {
		rows := &httpRows{newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })}
		if _, err := rows.Commit(t.Context(), RowTransaction{}); !failure.IsKind(err, want) {
			t.Errorf("commit answered with status %d: %v", status, err)
		}
	}
	page := RowPage{Rows: []VersionedRow{{RowID: RowID{Table: "t", Part: "p", Key: "k"}, Value: []byte("v"), Version: 3}}, More: true, Version: 4, Now: time.Minute}
	var asked ChangesRequest
	rows := &httpRows{newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
			t.Error(err)
		}
		json.NewEncoder(w).Encode(page)
	})}
	got, err := rows.Changes(t.Context(), "t", 2, time.Hour)
	if diff := cmp.Diff(page, got); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
	if want := (ChangesRequest{Table: "t", After: 2, Wait: 2500 * time.Millisecond}); asked != want {
		t.Errorf("request is %+v, want wait to be half of the call's timeout", asked)
	}
}
