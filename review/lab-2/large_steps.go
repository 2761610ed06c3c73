package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// stepSamples is the number of samples of a step, and stepPromptBytes the size of each body.
	stepSamples     = 1024
	stepPromptBytes = 15_000
	// openSteps is how many steps each trainer has open.
	openSteps = 5
	// restartDelay is after which time the platform starts a process again that has ended.
	restartDelay = time.Second
	// stepLimit is how long a trainer waits for a step.
	stepLimit = 60 * time.Second
	// lostAfter is the time of rule LOST.
	lostAfter = 5 * time.Second
	// engineSlots is the number of requests that the engines of startSmall run at once.
	engineSlots = 24
)

// platformMemory kills the processes that exceed the memory of their machine, and starts those
// again that have ended, as the platform does.
type platformMemory struct {
	c    *cluster
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int
	// lost holds the machines that are lost for good.
	lost map[string]bool
	stop chan struct{}
	done sync.WaitGroup
}

// anonymousMB returns the memory of a process without its program text, in units of 1,048,576 bytes.
func anonymousMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte("RssAnon:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(string(fields[0]))
	return kb >> 10
}

func watchMemory(c *cluster) *platformMemory {
	p := &platformMemory{c: c, ends: map[string]int{}, peak: map[string]int{}, lost: map[string]bool{}, stop: make(chan struct{})}
	for _, h := range c.hosts {
		p.done.Go(func() { p.watch(h) })
	}
	return p
}

func (p *platformMemory) watch(h *host) {
	ended := make(chan struct{})
	wait := func(process interface{ Wait() error }, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}
	go wait(h.process, ended)
	overLimit := false
	for {
		select {
		case <-p.stop:
			h.end()
			<-ended
			return
		case <-ended:
			p.mu.Lock()
			if overLimit {
				p.ends[h.id]++
			}
			lost := p.lost[h.id]
			p.mu.Unlock()
			p.c.record.note("the process of %s has ended; memory over the limit: %t", h.id, overLimit)
			if lost {
				return
			}
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				p.c.record.note("%s can't start: %v", h.id, err)
				return
			}
			overLimit, ended = false, make(chan struct{})
			go wait(h.process, ended)
		case <-time.After(10 * time.Millisecond):
			used := anonymousMB(h.process.Process.Pid)
			p.mu.Lock()
			p.peak[h.id] = max(p.peak[h.id], used)
			p.mu.Unlock()
			if used > p.c.memoryMB && !overLimit {
				overLimit = true
				p.c.record.note("%s uses %d MB, its machine has %d", h.id, used, p.c.memoryMB)
				h.end()
			}
		}
	}
}

// largeSubmission returns the body of a step of stepSamples samples.
func largeSubmission(id, model string, step, promptBytes int) ([]byte, error) {
	items := make([]any, 0, stepSamples)
	for i := range stepSamples {
		item := fmt.Sprintf("%s-%d", id, i)
		prompt := make([]byte, promptBytes)
		for k := range prompt {
			prompt[k] = byte(rand.IntN(256))
		}
		items = append(items, map[string]any{
			"id": item, "path": jobsPrefix + "run", "num_tokens": 4016, "body": prompt, "group_id": fmt.Sprintf("%s-g%d", id, i/8),
			"headers": map[string]string{
				"Sapphirehatch-Model-Id": model, "Sapphirehatch-Token-Usage": "3750,266",
				"Sapphirehatch-Prompt-Prefix": "9c2e41:3700,5d07b8:50", "Sapphirehatch-Length-Hint": "200",
			},
			"scorer": map[string]any{"id": "score-" + item, "hostname": hostname, "path": scorePrefix + "s", "body": []byte("score " + item)},
		})
	}
	return json.Marshal(map[string]any{"train_step": step, "model_id": model, "min_version": 1, "batch_groups": stepSamples / 8, "requests": items})
}

// openStep is a step that a trainer has submitted and not ended.
type openStep struct {
	id string
	// limit is when the trainer stops waiting for it.
	limit time.Time
}

// largeSteps lets two trainers have several steps open, and removes the machine that
// owns those of one.
func largeSteps(rec *record, trouble bool) (bool, error) {
	s := newStore()
	c, err := startSmall(rec, s, usualMemory, 8, 100*time.Millisecond, scoreTime)
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
	steps, err := c.submitLargeSteps()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	memory.note("before the loss")
	if trouble {
		owner := s.owner(steps[0].id)
		h := c.host(owner)
		if h == nil {
			return false, errors.New("the step has no owner")
		}
		rec.note("%s, the owner of %s, is lost for good", owner, steps[0].id)
		memory.lose(h)
	}
	held := true
	for _, step := range steps {
		time.Sleep(time.Until(step.limit))
		if !c.checkStep(step) {
			held = false
		}
		c.endStep(step)
	}
	memory.note("at the end")
	return held, nil
}

// submitLargeSteps submits openSteps steps of each trainer.
func (c *cluster) submitLargeSteps() ([]openStep, error) {
	var steps []openStep
	for n := range openSteps {
		for _, model := range []string{modelName, "model-d"} {
			id := fmt.Sprintf("%s-step-%d", model, n)
			body, err := largeSubmission(id, model, n, stepPromptBytes)
			if err != nil {
				return nil, err
			}
			if len(steps) == 0 {
				c.record.note("a submission has %d bytes", len(body))
			}
			began, status := time.Now(), 0
			for try := 0; try < 5 && status != 202; try++ {
				if try > 0 {
					time.Sleep(time.Second)
				}
				status = c.submit(c.hosts[(n+try)%len(c.hosts)], id, body)
			}
			if status != 202 {
				return nil, fmt.Errorf("submission %s answered %d", id, status)
			}
			steps = append(steps, openStep{id: id, limit: began.Add(stepLimit)})
			time.Sleep(time.Second)
		}
	}
	return steps, nil
}

// checkStep checks rule LOST at the time limit of a step: it is broken if no replica has
// finished or failed an item, which has been at no replica for lostAfter, though others of the step
// had begun and the replicas were under half full all the while.
func (c *cluster) checkStep(step openStep) bool {
	now := time.Now()
	since := now.Add(-lostAfter)
	finished, lastAt, busy := map[string]bool{}, map[string]time.Time{}, 0
	for _, r := range c.ledger.of("") {
		running := r.status == 0
		if running || r.ended.After(since) {
			busy++
		}
		lastAt[r.id] = r.ended
		if running {
			lastAt[r.id] = now
		}
		if r.status > 0 {
			finished[r.id] = true
		}
	}
	done, begun, lost := 0, 0, 0
	for i := range stepSamples {
		item := fmt.Sprintf("%s-%d", step.id, i)
		at, seen := lastAt[item]
		switch {
		case finished[item]:
			done++
		case seen:
			begun++
		}
		if !finished[item] && at.Before(since) {
			lost++
		}
	}
	c.record.note("step %s is out of time: replicas finished %d of its %d items and had begun %d others; %d unfinished ones were at no replica for %s, in which replicas had %d requests in all, of %d at once",
		step.id, done, stepSamples, begun, lost, lostAfter, busy, engineSlots)
	return lost == 0 || done+begun == 0 || busy >= engineSlots/2
}

// endStep ends a step as its trainer does, at any host that answers.
func (c *cluster) endStep(step openStep) {
	for _, h := range c.hosts {
		if status, _, err := call("DELETE", h.callers, "/sapphirehatch/lots/"+step.id, map[string]string{"Host": hostname}, nil, 4*time.Second); err == nil && status == 200 {
			c.record.note("step %s is ended at %s", step.id, h.id)
			return
		}
	}
	c.record.note("no host has ended step %s", step.id)
}

// note records the ends and the memory so far.
func (p *platformMemory) note(when string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.record.note("%s: ends by memory over the limit, by machine: %v; memory at its peak, in MB: %v", when, p.ends, p.peak)
}

// lose kills the process of a machine that is lost for good.
func (p *platformMemory) lose(h *host) {
	p.mu.Lock()
	p.lost[h.id] = true
	p.mu.Unlock()
	h.end()
}
