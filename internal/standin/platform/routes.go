package platform

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	maxScanRows      = 10000   // rows per response
	weightChunkBytes = 1 << 16 // bytes per write
)

func (s *Standin) route(ctx *fasthttp.RequestCtx) {
	s.Faults().WaitThawed(s.Context())
	path := string(ctx.Path())
	switch {
	case path == platform.PathTableRead:
		s.read(ctx)
	case path == platform.PathTableScan:
		s.scan(ctx)
	case path == platform.PathTableTransact:
		s.transact(ctx)
	case path == platform.PathRowsRead || path == platform.PathRowsParts || path == platform.PathRowsChanges:
		s.readRows(ctx, path)
	case path == platform.PathRowsCommit:
		s.commitRows(ctx)
	case strings.HasPrefix(path, platform.PathObjects):
		s.handleObject(ctx, strings.TrimPrefix(path, platform.PathObjects))
	case path == platform.PathMembers || strings.HasPrefix(path, platform.PathMembers+"/"):
		s.handleMembers(ctx, strings.TrimPrefix(path, platform.PathMembers+"/"))
	case strings.HasPrefix(path, platform.PathWeights):
		s.handleWeights(ctx, strings.TrimPrefix(path, platform.PathWeights))
	case strings.HasPrefix(path, platform.PathWeightData):
		s.weightData(ctx, strings.TrimPrefix(path, platform.PathWeightData))
	default:
		notFound(ctx, "path %s", path)
	}
}

// notFound writes a NotFound error. format names what does not exist.
func notFound(ctx *fasthttp.RequestCtx, format string, args ...any) {
	jsonhttp.WriteError(ctx, failure.New(failure.NotFound, failure.NotRun, format+" does not exist", args...))
}

// read handles a read of the table by keys.
func (s *Standin) read(ctx *fasthttp.RequestCtx) {
	var req platform.ReadRequest
	if !jsonhttp.ReadJSON(ctx, &req) || s.readRate.Wait(s.Context()) != nil {
		return
	}
	s.counters.reads.Add(1)
	s.counters.rowsRead.Add(uint64(len(req.Keys)))
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, platform.RowsResponse{Rows: s.table.read(req.Keys)})
}

// scan handles a scan of the table.
func (s *Standin) scan(ctx *fasthttp.RequestCtx) {
	var req platform.ScanRequest
	if !jsonhttp.ReadJSON(ctx, &req) || s.readRate.Wait(s.Context()) != nil {
		return
	}
	if req.Limit <= 0 || req.Limit > maxScanRows {
		req.Limit = maxScanRows
	}
	rows := s.table.scan(req.Prefix, req.After, req.Limit)
	s.counters.reads.Add(1)
	s.counters.rowsRead.Add(uint64(len(rows)))
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, platform.RowsResponse{Rows: rows})
}

// transact handles a transaction on the table.
func (s *Standin) transact(ctx *fasthttp.RequestCtx) {
	var tx platform.Transaction
	if !jsonhttp.ReadJSON(ctx, &tx) || s.writeRate.Wait(s.Context()) != nil {
		return
	}
	s.counters.writes.Add(1)
	if conflict := s.table.transact(tx); conflict != nil {
		s.counters.conflicts.Add(1)
		jsonhttp.WriteJSON(ctx, fasthttp.StatusConflict, conflict)
		return
	}
	s.counters.rowsWritten.Add(uint64(len(tx.Writes)))
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// handleObject handles the calls of the object store.
func (s *Standin) handleObject(ctx *fasthttp.RequestCtx, key string) {
	if key == "" {
		notFound(ctx, "object without a key")
		return
	}
	s.objectsMu.Lock()
	defer s.objectsMu.Unlock()
	switch {
	case ctx.IsPut():
		s.counters.objectWrites.Add(1)
		s.objects[key] = append([]byte{}, ctx.PostBody()...)
	case ctx.IsGet():
		s.counters.objectReads.Add(1)
		value, ok := s.objects[key]
		if !ok {
			notFound(ctx, "object %s", key)
			return
		}
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(value)
	case ctx.IsDelete():
		s.counters.objectWrites.Add(1)
		delete(s.objects, key)
	default:
		methodNotAllowed(ctx)
	}
}

func methodNotAllowed(ctx *fasthttp.RequestCtx) {
	jsonhttp.WriteError(ctx, failure.New(failure.InvalidRequest, failure.NotRun, "method %s does not apply to %s", ctx.Method(), ctx.Path()).WithField("method"))
}

// handleMembers handles the calls of the membership list. id is used by DELETE only.
func (s *Standin) handleMembers(ctx *fasthttp.RequestCtx, id string) {
	s.counters.memberCalls.Add(1)
	switch {
	case ctx.IsGet():
		lag := s.cfg.MemberLag
		if d, on := s.Faults().Delay(standinapi.FaultReportLag); on {
			lag = d
		}
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, platform.MembersResponse{Members: s.members.list(time.Now(), lag)})
	case ctx.IsPost():
		var m platform.Member
		if !jsonhttp.ReadJSON(ctx, &m) {
			return
		}
		if m.ID == "" || m.Address == "" {
			jsonhttp.WriteError(ctx, failure.New(failure.InvalidRequest, failure.NotRun, "a member needs an id and an address").WithField("id"))
			return
		}
		s.members.register(m, time.Now())
	case ctx.IsDelete():
		s.members.deregister(id, time.Now())
	default:
		methodNotAllowed(ctx)
	}
}

// handleWeights handles the calls that read or publish the newest weight version of a model.
func (s *Standin) handleWeights(ctx *fasthttp.RequestCtx, model string) {
	switch {
	case ctx.IsGet():
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.weightCatalogue.latest(model))
	case ctx.IsPost():
		var v platform.WeightVersion
		if !jsonhttp.ReadJSON(ctx, &v) {
			return
		}
		v.Model = model
		if v.PublishedAt.IsZero() {
			v.PublishedAt = time.Now()
		}
		if !s.weightCatalogue.publish(v) {
			jsonhttp.WriteError(ctx, failure.New(failure.Conflict, failure.NotRun, "model %s has a newer version than %d", model, v.Version).WithField("version"))
		}
	default:
		methodNotAllowed(ctx)
	}
}

// weightData streams the weights of a version at the rate of the weight store.
// modelAndVersion is the path after PathWeightData.
func (s *Standin) weightData(ctx *fasthttp.RequestCtx, modelAndVersion string) {
	slash := strings.LastIndexByte(modelAndVersion, '/')
	version, err := strconv.ParseUint(modelAndVersion[slash+1:], 10, 64)
	if slash < 0 || err != nil {
		notFound(ctx, "weight path %s", modelAndVersion)
		return
	}
	v, ok := s.weightCatalogue.find(modelAndVersion[:slash], version)
	if !ok {
		notFound(ctx, "version %d of model %s", version, modelAndVersion[:slash])
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.sendWeights(w, v.Bytes) })
}

// sendWeights writes bytesLeft bytes of zeros.
func (s *Standin) sendWeights(w *bufio.Writer, bytesLeft int64) {
	chunk := make([]byte, weightChunkBytes)
	for bytesLeft > 0 {
		n := int(min(bytesLeft, weightChunkBytes))
		if s.weightRate.WaitN(s.Context(), n) != nil {
			return
		}
		s.Faults().WaitThawed(s.Context())
		if _, err := w.Write(chunk[:n]); err != nil || w.Flush() != nil {
			return
		}
		bytesLeft -= int64(n)
	}
}

// Publish adds a weight version without an HTTP call. It has no effect if the
// model has a version that is as new or newer.
func (s *Standin) Publish(v platform.WeightVersion) { s.weightCatalogue.publish(v) }
