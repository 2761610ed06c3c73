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

// TestMain fixes the seed and the length of the model's run unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "1000"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		_ = flag.Set(name, value)
	}
	m.Run()
}

// model runs several hosts against one table and checks what callers are told
// against what was dispatched.
type model struct {
	cluster *cluster
	hosts   map[string]*Registry
	// incarnations counts the processes that each host has been.
	incarnations map[string]int
	keys         []Request
	tickets      []*heldTicket
	// dispatched counts dispatches of each key; answers holds what each was answered.
	dispatched map[string]int
	answers    map[string]string
}

// heldTicket is a ticket whose host has not finished it yet, for example because it is paused.
type heldTicket struct {
	*Ticket
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

// use sends a request with a key to a host and checks what it is told.
func (m *model) use(t *rapid.T) {
	id := m.drawHost(t)
	u := rapid.SampledFrom(m.keys).Draw(t, "key")
	host := m.hosts[id]
	if u.Key.Home != "" && !host.IsHome(u.Key) {
		return
	}
	m.cluster.table.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{healthy, healthy, down, replyLost, noEffect, late}), 0, 3).Draw(t, "faults")
	m.cluster.table.reads = rapid.SliceOfN(rapid.SampledFrom([]fault{healthy, healthy, down}), 0, 2).Draw(t, "reads")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ticket, v, err := host.Begin(ctx, u)
	m.cluster.table.faults, m.cluster.table.reads = nil, nil
	if ticket != nil {
		m.tickets = append(m.tickets, &heldTicket{Ticket: ticket, host: id, key: u.Key.Text})
		return
	}
	m.check(u.Key.Text, result(ticket, v, err))
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

func (m *model) drawTicket(t *rapid.T) *heldTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket is held")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

// dispatch sends a held request to an upstream, unless it is too late.
func (m *model) dispatch(t *rapid.T) {
	held := m.drawTicket(t)
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

// answer ends a held request, with an answer if it was dispatched.
func (m *model) answer(t *rapid.T) {
	held := m.drawTicket(t)
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

func (m *model) end(held *heldTicket, err error, body string) {
	held.Finish(err, answerWith(body))
	m.tickets = slices.DeleteFunc(m.tickets, func(x *heldTicket) bool { return x == held })
}

// restart replaces a host's process; what it held is lost.
func (m *model) restart(t *rapid.T) {
	id := m.drawHost(t)
	m.tickets = slices.DeleteFunc(m.tickets, func(x *heldTicket) bool { return x.host == id })
	m.start(id)
}

// cut takes a host off the peer network or puts it back. It goes on otherwise,
// as a host does that is frozen and thaws.
func (m *model) cut(t *rapid.T) {
	m.cluster.exchanges[m.drawHost(t)].Cut(rapid.Bool().Draw(t, "cut"))
}

// write lets a host record verdicts in the table.
func (m *model) write(t *rapid.T) {
	host := m.hosts[m.drawHost(t)]
	m.cluster.table.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{healthy, down, replyLost, late}), 0, 2).Draw(t, "faults")
	for host.ended.Len() > 0 {
		r := <-host.ended.Items()
		if host.writeOnce(context.Background(), []*record{r}) != nil {
			host.ended.TryPush(r)
			break
		}
	}
	m.cluster.table.faults = nil
}

// land lets a delayed write of the table take effect.
func (m *model) land(t *rapid.T) {
	if n := len(m.cluster.table.delayed); n > 0 {
		m.cluster.table.land(rapid.IntRange(0, n-1).Draw(t, "write"))
	}
}

// pass lets time go by, memory be freed and expired rows be deleted.
func (m *model) pass(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 11 * time.Second, 2 * time.Minute, 5 * time.Hour}).Draw(t, "time"))
	for _, host := range m.hosts {
		host.book.forget(host.now())
		if _, err := host.sweepOnce(context.Background()); err != nil {
			violated("sweep: %v", err)
		}
	}
}

// violation is a broken promise that the model found.
type violation string

// inBubble runs one check of a property with a clock of its own. It returns the
// violation that the check panicked with, if any, and hands other panics on.
func inBubble(t *testing.T, check func()) violation {
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
		found := inBubble(t, func() {
			m := newModel(time.Now())
			rt.Repeat(map[string]func(*rapid.T){
				"use": m.use, "use again": m.use, "dispatch": m.dispatch, "answer": m.answer, "restart": m.restart,
				"cut": m.cut, "write": m.write, "land": m.land, "pass": m.pass,
			})
		})
		if found != "" {
			rt.Fatalf("%s", found)
		}
	})
}

func violated(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }
