package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// failTime is how long an engine works on the item that fails at each run, before it answers
	// with status 500.
	failTime = 1500 * time.Millisecond
	// maxAttempts is that of the route.
	maxAttempts = 3
	// killEvery is the time between two kills, kills their number, and killedFor how long the
	// killed host is away.
	killEvery = 5500 * time.Millisecond
	kills     = 6
	killedFor = 3500 * time.Millisecond
	// inTouchAfter is how long a process must have run to be in touch (stable_window_ms).
	inTouchAfter = 3 * time.Second
	// failingItems is the number of items of the step, of which the first one always fails.
	failingItems = 8
)

// failingEngine runs all items but one.
type failingEngine struct {
	lab *lab
	id  string
	bad string

	mu sync.Mutex
	// answers is the number of answers with status 500 to the bad item, and late that of its
	// arrivals from machines in touch after three times maxAttempts of them.
	answers, late int
}

// startFailingEngine starts an engine and registers it.
func startFailingEngine(l *lab, id, bad string) (*failingEngine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &failingEngine{lab: l, id: id, bad: bad}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	entry, err := json.Marshal(map[string]any{
		"service": "llm", "address": listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"born": time.Now().UnixMilli(), "phase": "both", "models": []map[string]any{{"name": models[0], "version": 1, "adapters": []string{}}},
	})
	if err != nil {
		return nil, err
	}
	l.rows.Put(platform.RowID{Table: "servers", Key: id}, entry)
	return e, nil
}

// ServeHTTP answers a run of an item.
func (e *failingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server sees the close of a channel only once it has read the body.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Sapphirehatch-Attempt-Id")
	w.Header().Set("Sapphirehatch-Attempt-Id", id)
	if want := r.Header.Get("Sapphirehatch-Expect-Replica"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Sapphirehatch-Replica-Stamp", e.id+"."+id)
	w.Header().Set("Sapphirehatch-Weight-Versions", "1")
	if id == e.bad {
		e.fail(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= 10; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
	}
}

// fail answers a run of the bad item, unless its channel is closed before.
func (e *failingEngine) fail(w http.ResponseWriter, r *http.Request) {
	owner, inTouch := e.lab.owner(e.bad)
	e.mu.Lock()
	before := e.answers
	if before >= 3*maxAttempts && inTouch {
		e.late++
	}
	e.mu.Unlock()
	e.lab.note("item %s reaches %s from %s (in touch: %t), after %d answers of 500", e.bad, e.id, owner, inTouch, before)
	select {
	case <-time.After(failTime):
	case <-r.Context().Done():
		e.lab.note("the channel of the run of item %s is closed", e.bad)
		return
	}
	e.mu.Lock()
	e.answers++
	e.mu.Unlock()
	w.WriteHeader(http.StatusInternalServerError)
}

// owner returns the host that the store names as the one that runs the job of an item, and
// whether it is in touch.
func (l *lab) owner(item string) (string, bool) {
	var row struct {
		Host string `json:"host"`
	}
	value := l.rows.Row(platform.RowID{Table: "jobs", Part: item[:8], Key: "owner"}).Value
	if json.Unmarshal(value, &row) != nil {
		return "", false
	}
	for _, m := range l.machines {
		if m.id == row.Host {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.id, m.process != nil && time.Since(m.startedAt) >= inTouchAfter
		}
	}
	return row.Host, false
}

// failing has an item that fails at each run, and kills the host that runs its job some times.
func failing(l *lab) (int, error) {
	if err := l.startMachines(5); err != nil {
		return couldNot, err
	}
	l.sleep(inTouchAfter)
	for _, e := range l.engines {
		e.Close()
	}
	const id = "7c41e09b"
	bad := id + "0000"
	engine, err := startFailingEngine(l, "failing-1", bad)
	if err != nil {
		return couldNot, err
	}
	l.sleep(2 * time.Second)
	body, err := batch(id, models[0], 0, failingItems, 1<<10)
	if err != nil {
		return couldNot, err
	}
	if err := l.submit(id, body, 0); err != nil {
		return couldNot, err
	}
	l.sleep(2*failTime + failTime/2)
	for range kills {
		if name, _ := l.owner(bad); l.trouble {
			for _, m := range l.machines {
				if m.id == name {
					m.kill(killedFor)
				}
			}
		}
		l.sleep(killEvery)
	}
	l.sleep(3 * failTime)
	for _, m := range l.machines {
		status, text, err := l.call(m, http.MethodGet, "/sapphirehatch/lots/"+id, "", nil)
		l.note("results at %s: status %d, %d completed, %d dead, error %v", m.id, status, strings.Count(string(text), `"completed"`), strings.Count(string(text), `"dead"`), err)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	l.note("%d answers of 500 to item %s; it reached a replica %d times from a machine in touch after %d of them", engine.answers, bad, engine.late, 3*maxAttempts)
	if engine.late > 0 {
		return broken, nil
	}
	return held, nil
}
