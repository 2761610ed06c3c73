package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirehatch/sapphirehatch/platform/standin"
)

const (
	// openSteps is the number of steps that each trainer has open, and stepItems the number of
	// items of a step, each with a body of itemBytes.
	openSteps = 2
	stepItems = 1024
	itemBytes = 22 << 10
	// stepLimit is how long a trainer waits for a step.
	stepLimit = 60 * time.Second
	// runTime is longer than any run of an item takes at an engine.
	runTime = 1500 * time.Millisecond
	// idleTime is how long an item must have been at no replica, and quietTime how long no item
	// must have begun.
	idleTime  = 5 * time.Second
	quietTime = 3 * time.Second
	// powerOff is how long the killed host is away.
	powerOff = 3 * time.Second
)

// step is a batch submission of a trainer.
type step struct {
	id    string
	asked time.Time
}

// takeover kills the host that runs the jobs, while each trainer has some steps open whose
// submissions are nearly as large as the operator's limit allows.
func takeover(l *lab) (int, error) {
	if err := l.startMachines(3); err != nil {
		return couldNot, err
	}
	var steps []step
	for n := range openSteps {
		for i, model := range models {
			s := step{id: fmt.Sprintf("%08x", rand.Uint32()), asked: time.Now()}
			body, err := batch(s.id, model, n, stepItems, itemBytes)
			if err != nil {
				return couldNot, err
			}
			if err := l.submit(s.id, body, n+i); err != nil {
				return couldNot, err
			}
			steps = append(steps, s)
		}
	}
	l.sleep(time.Second)
	l.noteMemory()
	if l.trouble {
		l.largest().kill(powerOff)
	}
	code := held
	for _, s := range steps {
		l.sleep(time.Until(s.asked.Add(stepLimit)))
		if l.stepLost(s) {
			code = broken
		}
	}
	l.noteMemory()
	return code, nil
}

// stepLost looks at a step at its time limit, by the rule LOST.
func (l *lab) stepLost(s step) bool {
	now := time.Now()
	begun, lastBegun, running := l.runs(s.id, now)
	total := 0
	for _, n := range begun {
		total += n
	}
	listed := l.listed(s.id)
	never := stepItems - len(begun)
	l.note("step %s at its time limit: %d of %d results listed; %d items had begun, %d never reached a replica; the last run of any item began %s before; at most %d of %d slots were taken in the last %s",
		s.id, listed, stepItems, len(begun), never, now.Sub(lastBegun).Round(time.Millisecond), running, 8*len(l.engines), idleTime)
	ranOut := listed < stepItems*9/10
	return ranOut && never > 0 && len(begun) > 0 && now.Sub(lastBegun) >= quietTime && 2*running < 8*len(l.engines)
}

// runs returns how often each item of a step has begun at the engines, when the last run of any
// item began, and the most runs that can have been in progress at a moment of the last idleTime.
func (l *lab) runs(id string, now time.Time) (begun map[string]int, last time.Time, most int) {
	begun = map[string]int{}
	var late []standin.Run
	for _, e := range l.engines {
		for _, run := range e.Runs() {
			if len(run.ID) > len(id) && run.ID[:len(id)] == id {
				begun[run.ID]++
			}
			if run.At.After(last) {
				last = run.At
			}
			if now.Sub(run.At) < idleTime+runTime {
				late = append(late, run)
			}
		}
	}
	for _, run := range late {
		n := 0
		for _, other := range late {
			if before := run.At.Sub(other.At); before >= 0 && before < runTime {
				n++
			}
		}
		most = max(most, n)
	}
	return begun, last, most
}

// noteMemory notes the memory of all hosts.
func (l *lab) noteMemory() {
	for _, m := range l.machines {
		m.mu.Lock()
		l.note("%s: at most %d MB of memory, %d processes killed for it", m.id, m.peakMB, m.overMemory)
		m.mu.Unlock()
	}
}

// largest returns the machine whose process has the most memory.
func (l *lab) largest() *machine {
	found, most := l.machines[0], -1
	for _, m := range l.machines {
		m.mu.Lock()
		p := m.process
		m.mu.Unlock()
		if p == nil {
			continue
		}
		if mb := residentMB(p.Pid); mb > most {
			found, most = m, mb
		}
	}
	return found
}
