package main

import (
	"errors"
	"time"
)

func init() { cases["new-route"] = newRoute }

const (
	trainService = `{"name":"llm","health_path":"/healthz","max_conns":150,"backend":{"slots":4,"kv_capacity":100000,"models":[{"name":"m1"}]}}`
	// itemTTL is the time before which no item may be given up, as in the routes below.
	itemTTL      = 40 * time.Second
	firstRoute   = `{"name":"first","hostname":"name.example","path_prefix":"/first/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":0,"service":"llm","max_attempts":3,"run_deadline_ms":7500,"item_ttl_s":40}`
	addedRoute   = `{"name":"added","hostname":"name.example","path_prefix":"/added/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":0,"service":"llm","max_attempts":3,"run_deadline_ms":7500,"item_ttl_s":40}`
	settleTime   = 3 * time.Second
	readWithin   = 15 * time.Second
	newRouteSize = 8
	// submitAfter is how long after the acknowledgement of a manifest a trainer uses it.
	submitAfter = 200 * time.Millisecond
)

// newRoute adds a route for a trainer and submits a batch on it. The trouble is that the
// connection on which the owner of the batch waits for changes of the manifest goes
// silent just before.
func newRoute(l *lab, trouble bool) (bool, error) {
	l.configure(1, firstRoute)
	if _, err := l.addEngine(engineConfig{id: "e1", service: "llm", model: "m1", slots: 4, events: 10, pace: 30 * time.Millisecond, loadTime: time.Second}); err != nil {
		return false, err
	}
	// The host with the larger share of a core owns the batches.
	owner, err := l.addHost("owner", 0.8, 120)
	if err != nil {
		return false, err
	}
	other, err := l.addHost("other", 0.3, 120)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	first := batch{l: l, id: "batch-1", path: "/first/", model: "m1", step: 0, minVersion: 1, items: newRouteSize}
	if err := first.submit(other); err != nil {
		return false, err
	}
	if all := first.readAll(other, readWithin); countState(all, "completed") != newRouteSize {
		return false, errors.New("the batch before the trouble was not completed")
	}
	if trouble {
		if err := silenceFeed(l, owner); err != nil {
			return false, err
		}
	}
	l.configure(2, firstRoute+","+addedRoute)
	time.Sleep(submitAfter)
	second := batch{l: l, id: "batch-2", path: "/added/", model: "m1", step: 1, minVersion: 1, items: newRouteSize}
	if err := second.submit(other); err != nil {
		return false, err
	}
	accepted := time.Now()
	all := second.readAll(other, readWithin)
	early := countState(all, "dead")
	l.copyLogs("configuration in force", "rollout given up", "results listed")
	l.rec.add("check: %d of %d items are listed as dead %s after the 202, before item_ttl_s (%s), without any answer 500 or 422, while the batch and its route exist",
		early, newRouteSize, time.Since(accepted).Round(time.Millisecond), itemTTL)
	return early > 0, nil
}

// silenceFeed makes the connection silent on which a host waits for changes of the
// manifest.
func silenceFeed(l *lab, h *host) error {
	for range 200 {
		if n := h.front.silence("table=op&"); n > 0 {
			l.rec.add("trouble: %d open connections of host %s to the store go silent", n, h.name)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("no connection waits for the manifest")
}

func countState(all []result, state string) int {
	n := 0
	for _, r := range all {
		if r.State == state {
			n++
		}
	}
	return n
}
