package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// lateEvents is the number of events of each item, latePace the time between two.
	lateEvents = 140
	latePace   = 100 * time.Millisecond
	// scoreTime is how long the plain service takes.
	scoreTime = 30 * time.Millisecond
	// lateBy is after which time the lost write is done: the pages say 1 to 6 s.
	lateBy = 3 * time.Second
)

// lateText loses the answer of one write, which is done 3 s later, and then kills the owner of a
// batch submission, and the next owner.
func lateText(rec *record, trouble bool) (bool, error) {
	const id = "step-1"
	s := newStore()
	var once sync.Once
	s.onCommit = func(host string, tx transaction) (l late) {
		if trouble && len(tx.Put) > 0 && tx.Put[0].Table == "job_texts" {
			once.Do(func() {
				rec.note("a write of %s to %s gets no answer and is done %s later", host, tx.Put[0].Table, lateBy)
				l.after = lateBy
			})
		}
		return l
	}
	c, err := startSmall(rec, s, usualMemory, lateEvents, latePace, scoreTime)
	defer c.stop()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if status := c.submit(c.hosts[0], id, submission(id, 4, 1, 1, 7000)); status != 202 {
		return false, fmt.Errorf("submission answered %d", status)
	}
	if trouble {
		time.Sleep(5 * time.Second)
		c.killOwner(id)
		time.Sleep(6 * time.Second)
		c.killOwner(id)
	}
	results := c.readAll(id, 50*time.Second)
	return c.checkTexts(id, 4, results)
}

// killOwner kills the process of the host that owns a batch submission.
func (c *cluster) killOwner(id string) {
	owner := c.store.owner(id)
	c.record.note("kill %s, the owner of %s", owner, id)
	c.host(owner).kill()
}

// checkTexts checks rule ORDER: no event of a text is missing or stands twice, and where it goes
// on with another run after event n, that run was asked with Last-Event-Id n.
func (c *cluster) checkTexts(id string, items int, results []result) (bool, error) {
	if len(results) != items {
		return false, fmt.Errorf("%d of %d results of %s were listed", len(results), items, id)
	}
	for _, r := range c.ledger.of("") {
		c.record.note("run %d of %s at %s began at %.3f with Last-Event-Id %d", r.number, r.id, r.replica, r.at.Sub(c.record.started).Seconds(), r.after)
	}
	held := true
	for _, r := range results {
		if r.State != "completed" {
			continue
		}
		asked := map[int]int{}
		for _, run := range c.ledger.of(r.ID) {
			asked[run.number] = run.after
		}
		before := 0
		for i, line := range strings.Split(r.Text, "\n") {
			var n, number int
			if _, err := fmt.Sscanf(line, "event=%d run=%d", &n, &number); err != nil || n != i+1 {
				c.record.note("item %s: line %d of its text is %q", r.ID, i+1, line)
				held = false
				break
			}
			if number != before && asked[number] != n-1 {
				c.record.note("item %s: after event %d of run %d the text goes on with run %d, which was asked with Last-Event-Id %d", r.ID, n-1, before, number, asked[number])
				held = false
			}
			before = number
		}
	}
	return held, nil
}
