package storelink

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Paths of a Server. Requests and replies are in msgpack.
const (
	pathRead    = "/store/read"
	pathParts   = "/store/parts"
	pathChanges = "/store/changes"
	pathCommit  = "/store/commit"
)

const (
	contentType = "application/msgpack"
	// dialTimeout bounds a new connection to a peer.
	dialTimeout = 200 * time.Millisecond
	// callTimeout bounds a relayed call besides the wait of a long poll.
	callTimeout = 1200 * time.Millisecond
	// maxConnections bounds the connections to one peer, and maxRelayed the calls that
	// one Server makes at a time for others.
	maxConnections = 16
	maxRelayed     = 128
	// idleTimeout is how long an idle connection to a peer is kept.
	idleTimeout = 5 * time.Second
	// maxReplyBytes bounds a reply: a page of rows, or the names of parts.
	maxReplyBytes = 4 << 20
)

// request is a relayed call. Only the fields of its path are set.
type request struct {
	// Left is the time that the caller still waits.
	Left    time.Duration
	Range   platform.RowRange
	Parts   platform.PartsRequest
	Changes platform.ChangesRequest
	Tx      platform.RowTransaction
}

// peerRows is a client of a peer's Server. Errors are those of platform.RowStore;
// StoreUnavailable means that the peer did not make the call or that it had no effect.
type peerRows struct{ http *platform.HTTPClient }

// Connect returns a client of a peer's Server.
func Connect(p Peer) platform.RowStore {
	return &peerRows{platform.NewHTTPClient(platform.HTTPClientConfig{
		Address:        p.Address,
		Dial:           func(address string) (net.Conn, error) { return platform.Dial(address, dialTimeout) },
		MaxConnections: maxConnections,
		ConnectionWait: dialTimeout,
		IdleTimeout:    idleTimeout,
		MaxAnswerBytes: maxReplyBytes,
	})}
}

// Read implements platform.RowStore.
func (p *peerRows) Read(ctx context.Context, r platform.RowRange) (page platform.RowPage, err error) {
	err = p.call(ctx, pathRead, request{Range: r}, &page)
	return page, err
}

// Parts implements platform.RowStore.
func (p *peerRows) Parts(ctx context.Context, table, after string) (page platform.PartPage, err error) {
	err = p.call(ctx, pathParts, request{Parts: platform.PartsRequest{Table: table, After: after}}, &page)
	return page, err
}

// Changes implements platform.RowStore.
func (p *peerRows) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (page platform.RowPage, err error) {
	err = p.call(ctx, pathChanges, request{Changes: platform.ChangesRequest{Table: table, After: after, Wait: wait}}, &page)
	return page, err
}

// Commit implements platform.RowStore.
func (p *peerRows) Commit(ctx context.Context, tx platform.RowTransaction) (result platform.CommitResult, err error) {
	err = p.call(ctx, pathCommit, request{Tx: tx}, &result)
	return result, err
}

func (p *peerRows) call(ctx context.Context, path string, r request, reply any) error {
	deadline := time.Now().Add(callTimeout + r.Changes.Wait)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	r.Left = time.Until(deadline)
	if ctx.Err() != nil || r.Left <= 0 {
		return failure.New(failure.StoreUnavailable, "", "the call was cancelled before it was sent")
	}
	body, err := msgpack.Marshal(r)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "call can't be encoded")
	}
	status, answer, err := p.http.Attempt(fasthttp.MethodPost, path, contentType, body, deadline)
	switch {
	case platform.NotSent(err):
		return failure.Wrap(err, failure.StoreUnavailable, "", "the peer can't be reached")
	case err != nil:
		return failure.Wrap(err, failure.StoreInDoubt, "", "the peer did not answer")
	}
	switch status {
	case fasthttp.StatusOK:
		if err := msgpack.Unmarshal(answer, reply); err != nil {
			return failure.Wrap(err, failure.StoreInDoubt, "", "the peer's reply can't be decoded")
		}
		return nil
	case fasthttp.StatusConflict:
		return failure.New(failure.Conflict, "", "a check of the transaction failed")
	case fasthttp.StatusGone:
		return failure.New(failure.HistoryLost, "", "the store no longer has the requested changes")
	case fasthttp.StatusServiceUnavailable:
		return failure.New(failure.StoreUnavailable, "", "the peer could not make the call")
	}
	return failure.New(failure.StoreInDoubt, "", "the peer answered %d", status)
}

// Server makes calls to the store for other hosts, while the store serves this host.
type Server struct {
	store *Store
	slots chan struct{}
}

// NewServer returns a Server that makes the calls of a Store's direct way.
func NewServer(s *Store) *Server { return &Server{store: s, slots: make(chan struct{}, maxRelayed)} }

// Serve handles a relayed call. The status is 200, 409 for a conflict, 410 for a lost
// history, 503 if the call was not made or had no effect, else 504.
func (s *Server) Serve(ctx *fasthttp.RequestCtx) {
	received := pause.DeadlineAfter(0)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	path := string(ctx.Path())
	if !slices.Contains([]string{pathRead, pathParts, pathChanges, pathCommit}, path) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var r request
	if err := msgpack.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	// A process that was suspended after it received the call must not make it for a
	// caller that has given up.
	deadline := received.Add(r.Left)
	if !s.store.Served() || deadline.Passed() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	callCtx, cancel := context.WithDeadline(context.Background(), deadline.Time())
	defer cancel()
	var reply any
	err := s.store.direct(callCtx, func(rows platform.RowStore) (err error) {
		reply, err = r.make(callCtx, path, rows)
		return err
	})
	switch {
	case err == nil:
		body, err := msgpack.Marshal(reply)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
			return
		}
		ctx.SetContentType(contentType)
		ctx.SetBody(body)
	case failure.IsKind(err, failure.Conflict):
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case failure.IsKind(err, failure.HistoryLost):
		ctx.SetStatusCode(fasthttp.StatusGone)
	case failure.IsKind(err, failure.StoreUnavailable):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// make makes the call of a path.
func (r request) make(ctx context.Context, path string, rows platform.RowStore) (any, error) {
	switch path {
	case pathRead:
		return rows.Read(ctx, r.Range)
	case pathParts:
		return rows.Parts(ctx, r.Parts.Table, r.Parts.After)
	case pathChanges:
		return rows.Changes(ctx, r.Changes.Table, r.Changes.After, r.Changes.Wait)
	}
	return rows.Commit(ctx, r.Tx)
}
