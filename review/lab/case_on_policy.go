package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["on-policy"] = onPolicy }

const (
	onPolicyRoute = `{"name":"pure","hostname":"name.example","path_prefix":"/pure/","route_kind":"rollout","on_policy":true,"timeout_ms":10000,"target_latency_ms":500,"priority":0,"service":"llm","max_attempts":3,"run_deadline_ms":7500,"item_ttl_s":40}`
	onPolicyItems = 24
	// onPolicyEngines is the number of engines; one of six is lost.
	onPolicyEngines = 6
	// timeLimit is how long the trainer waits for its step.
	timeLimit = 12 * time.Second
	// steadyAfter is stable_window_ms, and idleLimit how long an item of a step that runs
	// out of time may be at no replica in steady state.
	steadyAfter = 3 * time.Second
	idleLimit   = 5 * time.Second
	// nameAfter is when the next version is named, and crashAfter when an engine
	// crashes, counted from the acceptance.
	nameAfter  = 50 * time.Millisecond
	crashAfter = 3500 * time.Millisecond
)

// onPolicy runs a step of an on-policy trainer that was asked ahead. The next version is
// named meanwhile, which the step allows, too. The trouble is that one engine is lost for
// good.
func onPolicy(l *lab, trouble bool) (bool, error) {
	l.configure(1, onPolicyRoute)
	var engines []*engine
	for n := range onPolicyEngines {
		e, err := l.addEngine(engineConfig{id: fmt.Sprintf("e%d", n+1), service: "llm", model: "m1", slots: 4, events: 60, pace: 80 * time.Millisecond, loadTime: 900 * time.Millisecond})
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	var hosts []*host
	for _, name := range []string{"one", "two"} {
		h, err := l.addHost(name, 0.8, 120)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	time.Sleep(2 * settleTime)
	b := batch{l: l, id: "batch-1", path: "/pure/", model: "m1", step: 2, minVersion: 1, items: onPolicyItems}
	if err := b.submit(hosts[0]); err != nil {
		return false, err
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(nameAfter)))
	l.nameVersion("m1", 2)
	time.Sleep(time.Until(accepted.Add(crashAfter)))
	if trouble {
		if len(engines[0].runsOf()) == 0 {
			return false, errors.New("no item runs at the engine that is to crash")
		}
		engines[0].crash()
	}
	all := b.readAll(hosts[1], time.Until(accepted.Add(timeLimit)))
	l.copyLogs("rollout sent", "run of a rollout ended early", "order given", "rollout given up")
	return checkIdle(l, b, engines[1:], all, accepted.Add(crashAfter+steadyAfter)), nil
}

// checkIdle reports whether an item that is not listed when the step runs out of time was
// at no replica for idleLimit of steady state, while the engines that were not lost ran
// under half of their slots.
func checkIdle(l *lab, b batch, live []*engine, listed []result, steady time.Time) bool {
	done := map[string]bool{}
	for _, r := range listed {
		done[r.ID] = true
	}
	lastRun := map[string]time.Time{}
	loads := make([]string, 0, len(live))
	for _, e := range live {
		loads = append(loads, e.id+" "+e.loadHeader())
		for _, run := range e.runsOf() {
			lastRun[run.item] = run.at
		}
	}
	broken := false
	for n := range b.items {
		item := b.item(n)
		if done[item] {
			continue
		}
		idleSince := steady
		if lastRun[item].After(steady) {
			idleSince = lastRun[item]
		}
		idle := time.Since(idleSince)
		l.rec.add("check: the step runs out of time, and item %s is not listed; it was at no replica for the last %s of steady state; running, waiting and slots of the engines: %s",
			item, idle.Round(time.Millisecond), strings.Join(loads, "; "))
		broken = broken || idle > idleLimit
	}
	return broken
}
