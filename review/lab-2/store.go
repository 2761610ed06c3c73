package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct{ table, part, key string }

// row is a row in the encoding of the platform's pages.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// transaction is the body of rows-tx.
type transaction struct {
	ExpectedRev []row `json:"expected_rev"`
	Put         []row `json:"put"`
	Remove      []row `json:"remove"`
}

// reply is the body of an answer of the store.
type reply struct {
	Rows      []row    `json:"rows"`
	Parts     []string `json:"parts,omitempty"`
	MorePages bool     `json:"more_pages"`
	Ver       uint64   `json:"ver"`
	NowMS     int64    `json:"now_ms"`
}

const (
	// readTime and writeTime are what a sound store takes.
	readTime  = 4 * time.Millisecond
	writeTime = 8 * time.Millisecond
	// maxRows and maxBytes are the largest number of rows of an answer and of the bytes of their
	// values.
	maxRows  = 500
	maxBytes = 1 << 20
	// clockStart makes the store clock start above zero.
	clockStart = time.Hour
)

// late tells what happens to a transaction: nothing unusual if after is zero, else it gets no
// answer and is carried out after that time, if its conditions hold then.
type late struct{ after time.Duration }

// store is a row store.
type store struct {
	started time.Time
	// onCommit is asked about each transaction of a host before it is carried out; it may be nil.
	onCommit func(host string, tx transaction) late

	mu      sync.Mutex
	rows    map[rowID]row
	changes []row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

func (s *store) now() int64 { return (clockStart + time.Since(s.started)).Milliseconds() }

// put writes a row as an operator, a trainer or a replica does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Put: []row{{Table: table, Key: key, Value: encoded}}})
}

// applyLocked carries out a transaction if its conditions hold. The caller holds mu.
func (s *store) applyLocked(tx transaction) bool {
	for _, check := range tx.ExpectedRev {
		var want, has uint64
		if check.Ver != nil {
			want = *check.Ver
		}
		if current, found := s.rows[check.id()]; found {
			has = *current.Ver
		}
		if want != has {
			return false
		}
	}
	s.version++
	version := s.version
	for _, r := range tx.Put {
		r.Ver = &version
		s.rows[r.id()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Remove {
		delete(s.rows, r.id())
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: &version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// listen serves one host at an address of its own, so that the store can tell the hosts apart.
func (s *store) listen(host string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sapphirehatch/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.commit(host, w, r) })
	mux.HandleFunc("GET /sapphirehatch/rows-get", s.get)
	mux.HandleFunc("GET /sapphirehatch/rows-parts", s.parts)
	mux.HandleFunc("GET /sapphirehatch/rows-feed", s.feed)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (s *store) commit(host string, w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.onCommit != nil {
		if l := s.onCommit(host, tx); l.after > 0 {
			time.AfterFunc(l.after, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.applyLocked(tx)
			})
			// Nothing further arrives on this channel; the host gives up by a time limit of its own.
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(writeTime)
	s.mu.Lock()
	applied := s.applyLocked(tx)
	out := reply{Ver: s.version, NowMS: s.now()}
	if !applied {
		for _, check := range tx.ExpectedRev {
			if current, found := s.rows[check.id()]; found {
				out.Rows = append(out.Rows, current)
			}
		}
	}
	s.mu.Unlock()
	status := http.StatusOK
	if !applied {
		status = http.StatusPreconditionFailed
	}
	write(w, status, out)
}

func write(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left gets nothing.
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	out := reply{Ver: s.version, NowMS: s.now()}
	for id, found := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			out.Rows = append(out.Rows, found)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, found := range out.Rows {
		if size += base64.StdEncoding.EncodedLen(len(found.Value)); i > 0 && (i == limit || size > maxBytes) {
			out.Rows, out.MorePages = out.Rows[:i], true
			break
		}
	}
	write(w, http.StatusOK, out)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	s.mu.Lock()
	out := reply{Ver: s.version, NowMS: s.now()}
	for id := range s.rows {
		if id.table == q.Get("table") && id.part > q.Get("after") && !slices.Contains(out.Parts, id.part) {
			out.Parts = append(out.Parts, id.part)
		}
	}
	s.mu.Unlock()
	slices.Sort(out.Parts)
	write(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := reply{Ver: s.version, NowMS: s.now()}
		for _, change := range s.changes {
			if change.Table == q.Get("table") && *change.Ver > after {
				out.Rows = append(out.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			write(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			write(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// owner reads the host that the store names as the owner of a batch submission.
func (s *store) owner(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var owner struct {
		Host string `json:"host"`
	}
	_ = json.Unmarshal(s.rows[rowID{"jobs", id, "owner"}].Value, &owner)
	return owner.Host
}
