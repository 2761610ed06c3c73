package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// askers is the number of requesters that ask for bodies, and askEvery the time between two
	// requests of each: about two a second.
	askers   = 14
	askEvery = 500 * time.Millisecond
	// askedPromptBytes is the size of the body of each item: the submission has 21 MB.
	askedPromptBytes = 15_000
	// askedFor is how long they ask.
	askedFor = 60 * time.Second
	// customers is the number of customers, each with a channel that it keeps, and orderTime how
	// long a request of theirs runs.
	customers = 18
	orderTime = 600 * time.Millisecond
	// smallMemory is the memory of the smallest machines of sheet asl-hatch-grown.
	smallMemory = 184
	// lostAllowed is how many requests of kept channels rule LOST lets a machine cut.
	lostAllowed = 3
)

// bodies lets a trainer have one step open, while requesters ask for the bodies of its items and
// customers send ordinary requests.
func bodies(rec *record, trouble bool) (bool, error) {
	s := newStore()
	c, err := startSmall(rec, s, smallMemory, 8, 700*time.Millisecond, orderTime)
	defer c.stop()
	if err != nil {
		return false, err
	}
	memory := watchMemory(c)
	defer func() {
		close(memory.stop)
		memory.done.Wait()
	}()
	time.Sleep(2 * time.Second)
	const id = "step-0"
	body, err := largeSubmission(id, modelName, 0, askedPromptBytes)
	if err != nil {
		return false, err
	}
	if status := c.submit(c.hosts[0], id, body); status != 202 {
		return false, fmt.Errorf("submission answered %d", status)
	}
	time.Sleep(3 * time.Second)
	memory.note("before")
	cut := &cutRequests{byHost: map[string][]string{}}
	end := time.Now().Add(askedFor)
	var wait sync.WaitGroup
	for n := range customers {
		wait.Go(func() { c.customer(n, end, cut) })
	}
	if trouble {
		rec.note("%d requesters ask for a body each %s", askers, askEvery)
		for range askers {
			wait.Go(func() { c.askBodies(id, end) })
		}
	}
	wait.Wait()
	memory.note("at the end")
	return cut.check(c), nil
}

// askBodies asks for bodies of a step at any host until end.
func (c *cluster) askBodies(id string, end time.Time) {
	answers := map[int]int{}
	for next := time.Now().Add(rand.N(askEvery)); next.Before(end); next = later(next.Add(askEvery), time.Now()) {
		time.Sleep(time.Until(next))
		h := c.hosts[rand.IntN(len(c.hosts))]
		path := fmt.Sprintf("/sapphirehatch/items/%s?id=%s-%d", id, id, rand.IntN(stepSamples))
		status, _, err := call("GET", h.callers, path, map[string]string{"Host": hostname}, nil, 1500*time.Millisecond)
		if err != nil {
			status = 0
		}
		answers[status]++
	}
	c.record.note("answers to a requester of bodies, by status (0: none): %v", answers)
}

// cutRequests holds the requests whose kept channel was closed without an answer.
type cutRequests struct {
	mu     sync.Mutex
	byHost map[string][]string
}

// customer sends ordinary requests over a kept channel until end.
func (c *cluster) customer(n int, end time.Time, cut *cutRequests) {
	h := c.hosts[n%len(c.hosts)]
	client := &http.Client{Timeout: 5 * time.Second}
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("order-%d-%d", n, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+oncePrefix+"order", strings.NewReader("body of "+id))
		if err != nil {
			return
		}
		req.Host = hostname
		req.Header.Set("Sapphirehatch-Attempt-Id", id)
		req.Header.Set("Sapphirehatch-Deadline-Ms", "4000")
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			cut.mu.Lock()
			cut.byHost[h.id] = append(cut.byHost[h.id], id)
			cut.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// check checks rule LOST: a machine passes a request from a kept channel on to a sound replica and
// closes that channel without an answer, more than lostAllowed times.
func (cut *cutRequests) check(c *cluster) bool {
	cut.mu.Lock()
	defer cut.mu.Unlock()
	held := true
	for host, ids := range cut.byHost {
		passed := 0
		for _, id := range ids {
			if len(c.ledger.of(id)) > 0 {
				passed++
				c.record.note("%s was passed on to a replica by %s, and its channel was closed without an answer", id, host)
			}
		}
		c.record.note("%s closed %d channels without an answer, %d of them of requests that a replica ran", host, len(ids), passed)
		held = held && passed <= lostAllowed
	}
	return held
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
