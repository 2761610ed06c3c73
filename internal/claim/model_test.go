package claim

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// TestMain sets a fixed seed and number of runs for the model unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "1000"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		_ = flag.Set(name, value)
	}
	m.Run()
}

// model runs several hosts on one table and compares what callers are told with
// what was dispatched.
type model struct {
	cluster *cluster
	hosts   map[string]*Registry
	// incarnations counts the processes of each host.
	incarnations map[string]int
	keys         []Request
	claims       []*openClaim
	// dispatched counts the dispatches of each key.
	dispatched map[string]int
	// answers holds the upstream's answer to the request of each key.
	answers map[string]string
}

// openClaim is a claim that is not finished yet, for example because its host is paused.
type openClaim struct {
	*Claim
	host       string
	key        string
	dispatched bool
}

func newModel(now time.Time) *model {
	m := &model{
		cluster: newCluster(), hosts: make(map[string]*Registry), incarnations: make(map[string]int),
		dispatched: make(map[string]int), answers: make(map[string]string),
	}
	for _, id := range []string{"a", "b", "c"} {
		m.start(id)
	}
	m.keys = []Request{
		{Tenant: "depot", Key: Key{Text: "order-17"}},
		{Tenant: "depot", Key: Key{Text: "order-18", Issued: now}},
		{Tenant: "depot", Key: Key{Text: "home-key", Home: "a1", Issued: now}},
	}
	return m
}

func (m *model) start(id string) {
	m.incarnations[id]++
	m.hosts[id] = m.cluster.host(id, fmt.Sprintf("%s%d", id, m.incarnations[id]))
}

func (m *model) drawHost(t *rapid.T) string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.hosts))).Draw(t, "host")
}

// use sends a request with a key to a host and checks the reply.
func (m *model) use(t *rapid.T) {
	id := m.drawHost(t)
	req := rapid.SampledFrom(m.keys).Draw(t, "key")
	host := m.hosts[id]
	if req.Key.Home != "" && !host.IsHome(req.Key) {
		return
	}
	m.cluster.table.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, down, replyLost, noEffect, late}), 0, 3).Draw(t, "faults")
	m.cluster.table.reads = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, down}), 0, 2).Draw(t, "reads")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	claim, res, err := host.Begin(ctx, req)
	m.cluster.table.faults, m.cluster.table.reads = nil, nil
	if claim != nil {
		m.claims = append(m.claims, &openClaim{Claim: claim, host: id, key: req.Key.Text})
		return
	}
	m.check(req.Key.Text, describe(claim, res, err))
}

// check compares what a caller is told with what was dispatched.
func (m *model) check(key, told string) {
	ran := m.dispatched[key]
	switch {
	case told == "deadline_exceeded not-run" || told == "no_upstream not-run":
		if ran > 0 {
			violated("%s: told %q after %d dispatches", key, told, ran)
		}
	case len(told) > 8 && told[len(told)-8:] == " not-run":
		violated("%s: unexpected %q", key, told)
	case len(told) > 8 && told[len(told)-8:] == " unknown":
	case told != m.answers[key]:
		violated("%s: told %q, answered %q", key, told, m.answers[key])
	}
}

func (m *model) drawClaim(t *rapid.T) *openClaim {
	if len(m.claims) == 0 {
		t.Skip("no claim is held")
	}
	return rapid.SampledFrom(m.claims).Draw(t, "claim")
}

// dispatch sends the request of an open claim to an upstream, unless it is too late.
func (m *model) dispatch(t *rapid.T) {
	held := m.drawClaim(t)
	if held.dispatched {
		return
	}
	if !time.Now().Before(held.DispatchBy()) {
		m.end(held, failure.New(failure.DeadlineExceeded, failure.NotRun, "late"), "")
		return
	}
	held.dispatched = true
	m.dispatched[held.key]++
	if m.dispatched[held.key] > 1 {
		violated("%s was dispatched twice", held.key)
	}
}

// answer ends an open claim, with an answer if its request was dispatched.
func (m *model) answer(t *rapid.T) {
	held := m.drawClaim(t)
	switch {
	case !held.dispatched:
		m.end(held, failure.New(failure.NoUpstream, failure.NotRun, "none"), "")
	case rapid.Bool().Draw(t, "broken"):
		m.end(held, failure.New(failure.UpstreamFailed, failure.Unknown, "reset"), "")
	default:
		m.answers[held.key] = "answer of " + held.host
		m.end(held, nil, m.answers[held.key])
	}
}

func (m *model) end(held *openClaim, err error, body string) {
	held.Finish(err, answerWith(body))
	m.claims = slices.DeleteFunc(m.claims, func(x *openClaim) bool { return x == held })
}

// restart replaces a host's process. Its open claims are lost.
func (m *model) restart(t *rapid.T) {
	id := m.drawHost(t)
	m.claims = slices.DeleteFunc(m.claims, func(x *openClaim) bool { return x.host == id })
	m.start(id)
}

// isolate disconnects a host from the peer network or reconnects it. The host
// keeps running, as one that is frozen and resumes later.
func (m *model) isolate(t *rapid.T) {
	m.cluster.exchanges[m.drawHost(t)].SetPartitioned(rapid.Bool().Draw(t, "cut"))
}

// write lets a host write results to the table.
func (m *model) write(t *rapid.T) {
	host := m.hosts[m.drawHost(t)]
	m.cluster.table.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, down, replyLost, late}), 0, 2).Draw(t, "faults")
	for host.unwritten.Len() > 0 {
		r := <-host.unwritten.Items()
		if host.writeOnce(context.Background(), []*record{r}) != nil {
			host.unwritten.TryPush(r)
			break
		}
	}
	m.cluster.table.faults = nil
}

// applyDelayed applies a delayed write of the table.
func (m *model) applyDelayed(t *rapid.T) {
	if n := len(m.cluster.table.delayed); n > 0 {
		m.cluster.table.applyDelayed(rapid.IntRange(0, n-1).Draw(t, "write"))
	}
}

// passTime advances the clock, then evicts expired records and sweeps expired rows.
func (m *model) passTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 11 * time.Second, 2 * time.Minute, 5 * time.Hour}).Draw(t, "time"))
	for _, host := range m.hosts {
		host.records.evictExpired(host.now())
		if _, err := host.sweepOnce(context.Background()); err != nil {
			violated("sweep: %v", err)
		}
	}
}

// violation describes a broken guarantee that the model found.
type violation string

// runInBubble runs one check of a property with a fake clock. It returns the
// violation that the check panicked with, if any, and passes on other panics.
func runInBubble(t *testing.T, check func()) violation {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		check()
	})
	if found, ok := failed.(violation); ok {
		return found
	}
	if failed != nil {
		panic(failed)
	}
	return ""
}

func TestModelRunsEachKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		found := runInBubble(t, func() {
			m := newModel(time.Now())
			rt.Repeat(map[string]func(*rapid.T){
				"use": m.use, "use again": m.use, "dispatch": m.dispatch, "answer": m.answer, "restart": m.restart,
				"cut": m.isolate, "write": m.write, "land": m.applyDelayed, "pass": m.passTime,
			})
		})
		if found != "" {
			rt.Fatalf("%s", found)
		}
	})
}

func violated(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }
