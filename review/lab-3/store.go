package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

const (
	// maxPageBytes and maxTxBytes are the limits of a page of rows and of a transaction, in bytes.
	maxPageBytes = 1 << 20
	maxTxBytes   = 1 << 20
	// maxTxEntries is the largest number of entries of a transaction.
	maxTxEntries = 100
	// readTime and commitTime are how long the store takes for an answer.
	readTime   = 4 * time.Millisecond
	commitTime = 8 * time.Millisecond
)

// rowStore serves the rows of the platform's store over HTTP, within the limits that the
// users' pages name.
type rowStore struct {
	rows    *platformtest.RowsClient
	address string
}

type wireRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

type wireTx struct {
	ExpectedRev []wireRow `json:"expected_rev"`
	Put         []wireRow `json:"put"`
	Remove      []wireRow `json:"remove"`
}

type wireReply struct {
	Rows      []wireRow `json:"rows,omitempty"`
	Parts     []string  `json:"parts,omitempty"`
	MorePages bool      `json:"more_pages"`
	Ver       uint64    `json:"ver"`
	NowMS     int64     `json:"now_ms"`
}

// startStore serves rows on a free loopback port.
func startStore(rows *platformtest.Rows) (*rowStore, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &rowStore{rows: rows.Client(), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sapphirehatch/rows-get", s.get)
	mux.HandleFunc("GET /sapphirehatch/rows-feed", s.feed)
	mux.HandleFunc("GET /sapphirehatch/rows-parts", s.parts)
	mux.HandleFunc("POST /sapphirehatch/rows-tx", s.commit)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *rowStore) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	// A missing limit is zero, which sets none.
	limit, _ := strconv.Atoi(q.Get("limit"))
	page, err := s.rows.Read(r.Context(), platform.RowRange{Table: q.Get("table"), Part: q.Get("part"), From: q.Get("from"), To: q.Get("to"), Limit: limit})
	answer(w, pageReply(page), err)
}

func (s *rowStore) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	page, err := s.rows.Changes(context.WithoutCancel(r.Context()), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	answer(w, pageReply(page), err)
}

func (s *rowStore) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	page, err := s.rows.Parts(r.Context(), r.URL.Query().Get("table"), r.URL.Query().Get("after"))
	answer(w, wireReply{Parts: page.Parts, MorePages: page.More, Ver: page.Version, NowMS: page.Now.Milliseconds()}, err)
}

func (s *rowStore) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*maxTxBytes))
	var in wireTx
	if err != nil || json.Unmarshal(body, &in) != nil || len(body) > maxTxBytes || len(in.ExpectedRev)+len(in.Put)+len(in.Remove) > maxTxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(commitTime)
	var tx platform.RowTransaction
	for _, row := range in.ExpectedRev {
		check := platform.RowCheck{RowID: row.id()}
		if row.Ver != nil {
			check.Version = *row.Ver
		}
		tx.Checks = append(tx.Checks, check)
	}
	for _, row := range in.Put {
		tx.Writes = append(tx.Writes, platform.RowWrite{RowID: row.id(), Value: row.Value})
	}
	for _, row := range in.Remove {
		tx.Writes = append(tx.Writes, platform.RowWrite{RowID: row.id(), Delete: true})
	}
	result, err := s.rows.Commit(context.WithoutCancel(r.Context()), tx)
	answer(w, wireReply{Ver: result.Version, NowMS: result.Now.Milliseconds()}, err)
}

func (r wireRow) id() platform.RowID {
	return platform.RowID{Table: r.Table, Part: r.Part, Key: r.Key}
}

// pageReply returns the reply with the rows of a page, cut where it would become too large.
func pageReply(page platform.RowPage) wireReply {
	out := wireReply{MorePages: page.More, Ver: page.Version, NowMS: page.Now.Milliseconds()}
	size := 0
	for _, row := range page.Rows {
		if size += len(row.Value) * 4 / 3; size > maxPageBytes && len(out.Rows) > 0 {
			out.MorePages, out.Ver = true, out.lastVersion(page.Version)
			break
		}
		version := row.Version
		out.Rows = append(out.Rows, wireRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value, Ver: &version, Deleted: row.Deleted})
	}
	return out
}

// lastVersion returns the version of the last row, from which a feed goes on.
func (r wireReply) lastVersion(otherwise uint64) uint64 {
	if len(r.Rows) == 0 {
		return otherwise
	}
	return *r.Rows[len(r.Rows)-1].Ver
}

func answer(w http.ResponseWriter, reply wireReply, err error) {
	switch {
	case failure.IsKind(err, failure.Conflict):
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case failure.IsKind(err, failure.HistoryLost):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that has left gets no reply.
	_ = json.NewEncoder(w).Encode(reply)
}
