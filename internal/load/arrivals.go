package load

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryclient"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

const entryTimeout = time.Second

// source sends one caller's requests at random times that do not wait for answers.
type source struct {
	caller  Caller
	runID   string
	random  *rand.Rand
	http    *fasthttp.Client
	clients []func() []entryapi.EntryHost
	slots   chan struct{}
	tally   *tally
}

func (a *arm) newSource(caller Caller, start time.Time) *source {
	s := &source{
		caller: caller,
		runID:  a.runID,
		random: seeded(a.experiment.Settings.Seed, caller.Name),
		http:   newHTTPClient(caller.AttemptTimeout),
		slots:  a.slots,
		tally:  newTally(caller, start, start.Add(a.experiment.Settings.Warmup)),
	}
	if caller.Via == ViaDirect {
		s.clients = append(s.clients, inTurn(a.experiment.pool(caller.Pool)))
		return s
	}
	entryHTTP := jsonhttp.NewClient(entryTimeout, nil)
	if caller.Token != "" {
		entryHTTP.WithHeader(fasthttp.HeaderAuthorization, "Bearer "+caller.Token)
	}
	seeds := a.experiment.Settings.Hosts
	for i := range caller.Clients {
		rotated := append(append([]string{}, seeds[i%len(seeds):]...), seeds[:i%len(seeds)]...)
		s.clients = append(s.clients, entryclient.New(entryHTTP, caller.FailureDomain, rotated).Hosts)
	}
	return s
}

// seeded returns a generator that differs for each name.
func seeded(seed int64, name string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return rand.New(rand.NewPCG(uint64(seed), hash.Sum64()))
}

// inTurn returns the addresses with another one first at each call.
func inTurn(addresses []string) func() []entryapi.EntryHost {
	var mu sync.Mutex
	next := 0
	return func() []entryapi.EntryHost {
		mu.Lock()
		defer mu.Unlock()
		start := next % len(addresses)
		next++
		order := append(append([]string{}, addresses[start:]...), addresses[:start]...)
		return lo.Map(order, func(a string, _ int) entryapi.EntryHost { return entryapi.EntryHost{Address: a} })
	}
}

// run sends requests from the caller's start to its stop, then waits for the outstanding ones.
func (s *source) run(ctx context.Context, start time.Time, duration time.Duration) {
	if s.caller.Rate <= 0 {
		return
	}
	stop := duration
	if s.caller.Stop > 0 {
		stop = min(stop, s.caller.Stop)
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	at := s.caller.Start
	for number := 0; ; number++ {
		at += time.Duration(s.random.ExpFloat64() / s.caller.Rate * float64(time.Second))
		if at >= stop || !pause.For(ctx, time.Until(start.Add(at))) {
			return
		}
		r := &request{caller: s.caller, scheduled: start.Add(at), refusals: map[failure.Kind]int{}}
		if !s.prepare(r, number) {
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			s.tally.addOverrun()
			continue
		}
		wait.Go(func() {
			defer func() { <-s.slots }()
			r.run(ctx, s.clients[number%len(s.clients)])
			s.tally.add(r)
		})
	}
}

// prepare builds what the request asks for.
func (s *source) prepare(r *request, number int) bool {
	id := s.runID + "-" + s.caller.Name + "-" + strconv.Itoa(number)
	if s.caller.Kind != ChatCall {
		r.call = newServiceCall(s.caller, s.http, id, number, s.random)
		return true
	}
	chat, err := newChatCall(s.caller, s.http, s.runID, id, number, s.random)
	if err != nil {
		s.tally.addOverrun()
		return false
	}
	r.call = chat
	return true
}
