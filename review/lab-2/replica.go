package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	// number is unique among all runs of all replicas.
	number  int
	id      string
	replica string
	// after is the value of Last-Event-Id; zero without the header.
	after int
	path  string
	host  string
	at    time.Time
	ended time.Time
	// status is what the replica answered; zero while it runs.
	status int
}

// ledger records the runs of all replicas.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.at, r.number = time.Now(), len(l.runs)+1
	l.runs = append(l.runs, r)
}

func (l *ledger) end(r *run, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.ended = status, time.Now()
}

// of returns copies of the runs of a request.
func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []run
	for _, r := range l.runs {
		if id == "" || r.id == id {
			found = append(found, *r)
		}
	}
	return found
}

// replica is a replica of a service that follows the platform's pages.
type replica struct {
	id, service string
	// model is empty for a plain service.
	model  string
	slots  int
	events int
	// pace is the time between two events, or that of a plain request.
	pace    time.Duration
	address string
	born    int64
	store   *store
	ledger  *ledger

	mu      sync.Mutex
	running int
	beats   int
}

// heartbeat is how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// start makes the replica listen, and registers it.
func (r *replica) start() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r.address, r.born = listener.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
}

func (r *replica) register() {
	r.mu.Lock()
	r.beats++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "seq": r.beats, "born": r.born,
	}
	r.mu.Unlock()
	if r.model != "" {
		entry["phase"], entry["models"] = "both", r.models()
	}
	r.store.put("servers", r.id, entry)
}

func (r *replica) models() []map[string]any {
	return []map[string]any{{"name": r.model, "version": 1, "adapters": []string{}}}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	id := req.Header.Get("Sapphirehatch-Attempt-Id")
	if id != "" {
		h.Set("Sapphirehatch-Attempt-Id", id)
	}
	if want := req.Header.Get("Sapphirehatch-Expect-Replica"); want != "" && want != r.id {
		h.Set("Sapphirehatch-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/sapphirehatch/report" {
		r.mu.Lock()
		out := map[string]any{"phase": "both", "models": r.models(), "busy": false, "seq": 0, "num_waiting": 0, "num_running": r.running, "handles": 0}
		r.mu.Unlock()
		write(w, http.StatusOK, out)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	h.Set("Sapphirehatch-Replica-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		h.Set("Sapphirehatch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	current := &run{id: id, replica: r.id, after: after, path: req.URL.Path, host: req.Host}
	r.ledger.begin(current)
	h.Set("Sapphirehatch-Replica-Stamp", stamp(r.id, id))
	if r.model == "" {
		time.Sleep(r.pace)
		r.ledger.end(current, http.StatusOK)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	r.stream(w, req, current)
}

// stamp returns the replica's MAC of its answer to a request.
func stamp(replica, id string) string { return replica + ".mac." + id }

// stream answers with the events after the one that the request names. The data of an event
// tell its number and its run.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, current *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Sapphirehatch-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for n := current.after + 1; n <= r.events; n++ {
		select {
		case <-time.After(r.pace):
		case <-req.Context().Done():
			r.ledger.end(current, -1)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(n, current.number)); err != nil {
			r.ledger.end(current, -1)
			return
		}
		flusher.Flush()
	}
	r.ledger.end(current, http.StatusOK)
}

// eventData returns the data of event n of a run.
func eventData(n, number int) string { return fmt.Sprintf("event=%d run=%d", n, number) }
