package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// deadlyHosts and deadlyReplicas are the numbers of hosts and of replicas of the plain service.
	deadlyHosts    = 12
	deadlyReplicas = 3
	// runsFor is how long a replica runs the deadly request before it crashes, and backAfter how
	// long the replica is away then.
	runsFor   = 300 * time.Millisecond
	backAfter = 3 * time.Second
	// entryGone is how long after a crash the entry of the replica is removed.
	entryGone = 3600 * time.Millisecond
	// leavesAfter is when the caller of the deadly request leaves: half the objective of the route.
	leavesAfter = 75 * time.Millisecond
	// comesAgain is the pause between two deadly requests, and deadlyRequests their number.
	comesAgain     = 5 * time.Second
	deadlyRequests = 13
	// ordinaryPause is the pause between two ordinary requests of all callers together.
	ordinaryPause = 250 * time.Millisecond
	// deadlyBody is the body of the deadly request.
	deadlyBody = "deadly"
	// allowedRetries is the number of retries that may reach replicas later than stableWindow after
	// the third crash.
	allowedRetries = 3
	stableWindow   = 3 * time.Second
)

// deadly is the service with replicas that a request crashes.
type deadly struct {
	lab *lab

	mu sync.Mutex
	// crashes holds the times at which replicas crashed, and retries the number of deadly requests
	// that reached a replica later than stableWindow after the third.
	crashes []time.Time
	retries int
	// served and failed count the ordinary requests.
	served, failed int
}

// crashingReplica is one start of a replica.
type crashingReplica struct {
	d       *deadly
	id      string
	address string
	server  *http.Server
	once    sync.Once
}

// start starts a replica at an address under an id of its own.
func (d *deadly) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r := &crashingReplica{d: d, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: listener.Addr().String()}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	entry, err := json.Marshal(map[string]any{
		"service": "app", "address": r.address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	go func() { _ = r.server.Serve(listener) }()
	d.lab.rows.Put(platform.RowID{Table: "servers", Key: r.id}, entry)
	d.lab.note("replica %s starts at %s", r.id, r.address)
	return nil
}

// ServeHTTP runs a request. The deadly one is run on when its channel is closed.
func (r *crashingReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("Sapphirehatch-Attempt-Id")
	w.Header().Set("Sapphirehatch-Attempt-Id", id)
	if want := req.Header.Get("Sapphirehatch-Expect-Replica"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if string(body) == deadlyBody {
		r.d.reached(r.id, id)
		time.Sleep(runsFor)
		r.crash()
		return
	}
	select {
	case <-time.After(25 * time.Millisecond):
	case <-req.Context().Done():
		return
	}
	w.Header().Set("Sapphirehatch-Replica-Stamp", r.id+"."+id)
	_, _ = io.WriteString(w, "ok")
}

// reached counts a deadly request that reached a replica.
func (d *deadly) reached(replica, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := len(d.crashes) >= 3 && time.Since(d.crashes[2]) > stableWindow
	if late {
		d.retries++
	}
	d.lab.note("deadly request %s reaches %s after %d crashes; later than %s after the third: %t", id, replica, len(d.crashes), stableWindow, late)
}

// crash ends the replica and starts it again later.
func (r *crashingReplica) crash() {
	r.once.Do(func() {
		_ = r.server.Close()
		r.d.mu.Lock()
		r.d.crashes = append(r.d.crashes, time.Now())
		r.d.mu.Unlock()
		r.d.lab.note("replica %s crashes", r.id)
		time.AfterFunc(entryGone, func() { r.d.lab.rows.Delete(platform.RowID{Table: "servers", Key: r.id}) })
		time.AfterFunc(backAfter, func() {
			if err := r.d.start(r.address); err != nil {
				r.d.lab.note("replica at %s can't start: %v", r.address, err)
			}
		})
	})
}

// request makes a request to a host. The caller leaves after a time.
func (d *deadly) request(m *machine, id, body string, leaves time.Duration) (string, bool) {
	ctx, cancel := context.WithTimeout(d.lab.ctx, leaves)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.addr["caller"]+"/plain/order", strings.NewReader(body))
	if err != nil {
		return err.Error(), false
	}
	req.Host = "name.example"
	req.Header.Set("Sapphirehatch-Attempt-Id", id)
	req.Header.Set("Sapphirehatch-Deadline-Ms", "1500")
	resp, err := d.lab.client.Do(req)
	if err != nil {
		return "left without an answer", false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return fmt.Sprintf("status %d, error %v", resp.StatusCode, err), resp.StatusCode == http.StatusOK
}

// ordinary makes the requests of ordinary callers until the lab or ctx ends.
func (d *deadly) ordinary(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		wait.Go(func() {
			_, served := d.request(d.lab.machines[rand.IntN(len(d.lab.machines))], fmt.Sprintf("ordinary-%d", n), fmt.Sprintf("order %d", n), 1500*time.Millisecond)
			d.mu.Lock()
			defer d.mu.Unlock()
			if served {
				d.served++
			} else {
				d.failed++
			}
		})
		d.lab.sleep(ordinaryPause)
	}
}

// deadlyLeaving has a request that crashes each replica that begins to run it, whose caller leaves
// before that.
func deadlyLeaving(l *lab) (int, error) {
	for _, s := range l.services {
		s.Close()
	}
	d := &deadly{lab: l}
	for range deadlyReplicas {
		if err := d.start("127.0.0.1:0"); err != nil {
			return couldNot, err
		}
	}
	if err := l.startMachines(deadlyHosts); err != nil {
		return couldNot, err
	}
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	var ordinary sync.WaitGroup
	ordinary.Go(func() { d.ordinary(ctx) })
	l.sleep(stableWindow)
	leaves := 1500 * time.Millisecond
	if l.trouble {
		leaves = leavesAfter
	}
	for n := range deadlyRequests {
		m := l.machines[rand.IntN(len(l.machines))]
		answer, _ := d.request(m, fmt.Sprintf("deadly-%d", n), deadlyBody, leaves)
		l.note("deadly-%d at %s: %s", n, m.id, answer)
		l.sleep(comesAgain)
	}
	cancel()
	ordinary.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	l.note("%d crashes; %d retries reached replicas later than %s after the third; %d ordinary requests were served, %d weren't", len(d.crashes), d.retries, stableWindow, d.served, d.failed)
	if d.retries > allowedRetries {
		return broken, nil
	}
	return held, nil
}
