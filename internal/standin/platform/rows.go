package platform

import (
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// readRows handles the read calls to the row store.
func (s *Standin) readRows(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case platform.PathRowsRead:
		var q platform.RowRange
		if s.admitRead(ctx, &q) {
			page, err := s.rows.Read(s.Context(), q)
			writeRowResponse(ctx, page, err)
		}
	case platform.PathRowsParts:
		var q platform.PartsRequest
		if s.admitRead(ctx, &q) {
			page, err := s.rows.Parts(s.Context(), q.Table, q.After)
			writeRowResponse(ctx, page, err)
		}
	default:
		var q platform.ChangesRequest
		if s.admitRead(ctx, &q) {
			page, err := s.rows.Changes(s.Context(), q.Table, q.After, q.Wait)
			writeRowResponse(ctx, page, err)
		}
	}
}

// admitRead decodes a read call into q and waits for the rate limit. It returns
// false if the call is invalid or the stand-in stops.
func (s *Standin) admitRead(ctx *fasthttp.RequestCtx, q any) bool {
	if !jsonhttp.ReadJSON(ctx, q) || s.readRate.Wait(s.Context()) != nil {
		return false
	}
	s.counters.reads.Add(1)
	return true
}

// commitRows handles the commit call to the row store.
func (s *Standin) commitRows(ctx *fasthttp.RequestCtx) {
	var tx platform.RowTransaction
	if !jsonhttp.ReadJSON(ctx, &tx) || s.writeRate.Wait(s.Context()) != nil {
		return
	}
	s.counters.writes.Add(1)
	receipt, err := s.rows.Commit(s.Context(), tx)
	writeRowResponse(ctx, receipt, err)
}

// writeRowResponse writes the result of a call to the row store. A conflict has
// status 409, and lost history has status 410.
func writeRowResponse(ctx *fasthttp.RequestCtx, page any, err error) {
	switch {
	case err == nil:
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, page)
	case failure.IsKind(err, failure.Conflict):
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case failure.IsKind(err, failure.HistoryLost):
		ctx.SetStatusCode(fasthttp.StatusGone)
	default:
		jsonhttp.WriteError(ctx, failure.As(err))
	}
}
