package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["end-race"] = endRace }

const (
	endRaceBatches = 8
	endRaceItems   = 12
	// slowFactor is how many times as long the store's answers take, slowFor for how long.
	slowFactor = 60
	slowFor    = 4500 * time.Millisecond
	txTime     = 8 * time.Millisecond
	readTime   = 4 * time.Millisecond
	// firstEnd is when the first trainer ends its batch, counted from the death of the
	// owner, and endStep the time between two ends.
	firstEnd = 1700 * time.Millisecond
	endStep  = 200 * time.Millisecond
	// cancelTime is cancel_ms.
	cancelTime = 3 * time.Second
	watchFor   = 25 * time.Second
	// darkFor is how long a killed host is away.
	darkFor = 3500 * time.Millisecond
)

// endRace ends batches while they change their owner. The trouble is that the owner is
// killed while the store is slow.
func endRace(l *lab, trouble bool) (bool, error) {
	l.configure(1, firstRoute)
	l.store.Rows.SetWriteTime(txTime)
	e, err := l.addEngine(engineConfig{id: "e1", service: "llm", model: "m1", slots: 4, events: 40, pace: 50 * time.Millisecond, loadTime: time.Second})
	if err != nil {
		return false, err
	}
	hosts, err := endRaceHosts(l)
	if err != nil {
		return false, err
	}
	owner, other := hosts[0], hosts[2]
	time.Sleep(settleTime)
	batches := make([]batch, endRaceBatches)
	for n := range batches {
		batches[n] = batch{l: l, id: fmt.Sprintf("batch-%d", n), path: "/first/", model: "m1", step: n, minVersion: 1, items: endRaceItems}
		if err := batches[n].submit(other); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	if trouble {
		l.rec.add("trouble: the store's answers take %d times as long for %s", slowFactor, slowFor)
		setSlow(l, hosts, slowFactor)
		time.AfterFunc(slowFor, func() {
			setSlow(l, hosts, 1)
			l.rec.add("the store is as fast as before")
		})
		l.rec.add("trouble: host %s is killed", owner.name)
		owner.kill()
		time.AfterFunc(darkFor, func() { l.restart(owner) })
	}
	acked := endInTurn(batches, other, began)
	time.Sleep(watchFor)
	l.copyLogs("job taken over", "run of the job ends")
	return lateRuns(l, e, batches, acked, began.Add(slowFor+steadyAfter)), nil
}

// endRaceHosts starts the owner of all batches, the host that is next, and one that the
// trainers use.
func endRaceHosts(l *lab) ([]*host, error) {
	var hosts []*host
	for _, h := range []struct {
		name  string
		share float64
	}{{"owner", 0.8}, {"next", 0.39}, {"other", 0.19}} {
		started, err := l.addHost(h.name, h.share, 120)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, started)
	}
	return hosts, nil
}

func setSlow(l *lab, hosts []*host, factor int) {
	l.store.Rows.SetWriteTime(time.Duration(factor) * txTime)
	for _, h := range hosts {
		h.front.readDelay.Store(int64(time.Duration(factor-1) * readTime))
	}
}

// endInTurn ends the batches one after the other and returns when each end was
// acknowledged.
func endInTurn(batches []batch, h *host, began time.Time) []time.Time {
	acked := make([]time.Time, len(batches))
	var wait sync.WaitGroup
	for n, b := range batches {
		wait.Go(func() {
			time.Sleep(time.Until(began.Add(firstEnd + time.Duration(n)*endStep)))
			for {
				at, err := b.end(h)
				if err == nil {
					acked[n] = at
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return acked
}

// lateRuns reports whether an item ran that reached the engine later than cancelTime
// after the end of its batch was acknowledged, in steady state.
func lateRuns(l *lab, e *engine, batches []batch, acked []time.Time, steady time.Time) bool {
	broken := false
	for n, b := range batches {
		late := 0
		for _, run := range e.runsOf() {
			if strings.HasPrefix(run.item, b.id+"-") && run.at.After(acked[n].Add(cancelTime)) && run.at.After(steady) {
				late++
			}
		}
		if late > 0 {
			l.rec.add("check: %d items of %s ran that reached the engine later than %s after the acknowledged end of their batch, in steady state", late, b.id, cancelTime)
			broken = true
		}
	}
	return broken
}
