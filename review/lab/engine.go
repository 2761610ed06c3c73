package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// engineConfig describes an engine.
type engineConfig struct {
	id, service, model string
	slots              int
	// events is the number of events of each run, pace the time between two of them,
	// and loadTime the time to load a version of the weights.
	events   int
	pace     time.Duration
	loadTime time.Duration
}

// arrival is a request for tokens that an engine began to run.
type arrival struct {
	item, engine string
	after        int
	at           time.Time
}

// engine is a stand-in of a model engine: it queues requests, resumes streams, and
// finishes its runs before it carries out an order of mode block.
type engine struct {
	engineConfig
	l      *lab
	server *http.Server
	born   int64
	addr   string
	stop   context.CancelFunc

	mu      sync.Mutex
	changed chan struct{}
	running int
	waiting int
	version uint64
	orders  uint64
	fence   uint64
	// loading is true from the acceptance of an order until it is complete.
	loading  bool
	arrivals []arrival
	beats    int
	crashed  bool
}

// addEngine starts an engine with version 1 of its model and registers it.
func (l *lab) addEngine(c engineConfig) (*engine, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &engine{engineConfig: c, l: l, born: time.Now().UnixMilli(), addr: listener.Addr().String(), stop: stop, version: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/sapphirehatch/report", e.serveReport)
	mux.HandleFunc("/sapphirehatch/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRun)
	e.server = &http.Server{Handler: e.checked(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	go e.checkIn(ctx)
	l.closers = append(l.closers, func() { stop(); _ = e.server.Close() })
	return e, nil
}

// checkIn writes the engine's entry until ctx ends.
func (e *engine) checkIn(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.register()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *engine) row() platform.RowID { return platform.RowID{Table: "servers", Key: e.id} }

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	value, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0, "seq": e.beats,
		"born": e.born, "phase": "both", "models": e.models(),
	})
	if err == nil {
		e.l.store.Rows.Put(e.row(), value)
	}
}

// models returns the engine's models in the wire format. The caller holds mu.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
}

// crash ends the engine for good: its connections break, and its entry is removed after
// three check-in intervals.
func (e *engine) crash() {
	e.l.rec.add("engine %s: crashes for good", e.id)
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	e.stop()
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() {
		e.l.store.Rows.Delete(e.row())
		e.l.rec.add("engine %s: its entry is removed", e.id)
	})
}

// notify wakes the requests that wait. The caller holds mu.
func (e *engine) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// checked sets the headers that all answers have and refuses requests for other replicas.
func (e *engine) checked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Sapphirehatch-Replica-Id", e.id)
		w.Header().Set("Sapphirehatch-Attempt-Id", r.Header.Get("Sapphirehatch-Attempt-Id"))
		if want := r.Header.Get("Sapphirehatch-Expect-Replica"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "both", "models": e.models(), "busy": e.loading, "seq": e.orders, "num_waiting": e.waiting, "num_running": e.running,
		"kv_in_use": 0, "kv_capacity_total": 90000, "handles": 0,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op          string  `json:"op"`
		Version     uint64  `json:"version"`
		Mode        string  `json:"mode"`
		Holder      string  `json:"holder"`
		Fence       uint64  `json:"fence"`
		ExpectedRev *uint64 `json:"expected_rev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "version" || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case order.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.loading || order.ExpectedRev != nil && *order.ExpectedRev != e.orders:
		status = http.StatusConflict
	case e.version == order.Version:
		status = http.StatusOK
	default:
		e.fence, e.loading = order.Fence, true
		e.orders++
		e.notify()
		go e.load(order.Version, order.Mode == "block")
	}
	e.l.rec.add("engine %s: order of %s for version %d, mode %s, fence %d: status %d", e.id, order.Holder, order.Version, order.Mode, order.Fence, status)
	w.WriteHeader(status)
}

// load carries out an order, in mode block after the runs in progress have finished.
func (e *engine) load(version uint64, block bool) {
	e.mu.Lock()
	for block && e.running > 0 {
		changed := e.changed
		e.mu.Unlock()
		<-changed
		e.mu.Lock()
	}
	e.mu.Unlock()
	time.Sleep(e.loadTime)
	e.mu.Lock()
	e.version, e.loading = version, false
	e.notify()
	crashed := e.crashed
	e.mu.Unlock()
	if !crashed {
		e.l.rec.add("engine %s: has version %d", e.id, version)
		e.register()
	}
}

// queueLimit is the number of requests that an engine queues.
const queueLimit = 24

// admit waits for a slot. It returns the status of the refusal, or 0 once the request
// may run.
func (e *engine) admit(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting >= queueLimit {
		return http.StatusServiceUnavailable
	}
	e.waiting++
	defer func() { e.waiting-- }()
	for {
		if want := r.Header.Get("Sapphirehatch-Expect-Version"); want != "" && want != strconv.FormatUint(e.version, 10) {
			return http.StatusMisdirectedRequest
		}
		if e.loading {
			return http.StatusServiceUnavailable
		}
		if e.running < e.slots {
			e.running++
			return 0
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		e.mu.Lock()
		if r.Context().Err() != nil {
			return http.StatusServiceUnavailable
		}
	}
}

func (e *engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.notify()
}

func (e *engine) loadHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
}

func (e *engine) serveRun(w http.ResponseWriter, r *http.Request) {
	item := r.Header.Get("Sapphirehatch-Attempt-Id")
	if status := e.admit(r); status != 0 {
		w.Header().Set("Sapphirehatch-Not-Executed", "1")
		w.Header().Set("Sapphirehatch-Replica-Load", e.loadHeader())
		w.WriteHeader(status)
		return
	}
	defer e.release()
	// A missing header starts with the first event.
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{item: item, engine: e.id, after: after, at: time.Now()})
	version := e.version
	e.mu.Unlock()
	e.l.rec.add("engine %s: runs %s after event %d with version %d", e.id, item, after, version)
	w.Header().Set("Sapphirehatch-Replica-Load", e.loadHeader())
	w.Header().Set("Sapphirehatch-Replica-Stamp", e.id+"."+item)
	w.Header().Set("Sapphirehatch-Weight-Versions", strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		if n > after+1 {
			time.Sleep(e.pace)
		}
		if now := e.currentVersion(); now != version {
			version = now
			_, _ = fmt.Fprintf(w, "sapphirehatch-weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", n, item, n)
		if flush.Flush() != nil || r.Context().Err() != nil {
			e.l.rec.add("engine %s: %s is cut off after event %d", e.id, item, n)
			return
		}
	}
	e.l.rec.add("engine %s: %s is finished", e.id, item)
}

func (e *engine) currentVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// runsOf returns the runs that an engine began.
func (e *engine) runsOf() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
