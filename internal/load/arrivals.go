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

const entryRequestTimeout = time.Second

// requestGenerator sends one caller's requests as a Poisson process, without
// waiting for earlier answers (open loop).
type requestGenerator struct {
	caller    Caller
	runID     string
	random    *rand.Rand
	http      *fasthttp.Client
	hostLists []func() []entryapi.EntryHost
	slots     chan struct{}
	stats     *callerStats
}

func (a *armRun) newGenerator(caller Caller, start time.Time) *requestGenerator {
	s := &requestGenerator{
		caller: caller,
		runID:  a.runID,
		random: newRandom(a.experiment.Settings.Seed, caller.Name),
		http:   newHTTPClient(caller.AttemptTimeout),
		slots:  a.slots,
		stats:  newCallerStats(caller, start, start.Add(a.experiment.Settings.Warmup)),
	}
	if caller.Via == ViaDirect {
		s.hostLists = append(s.hostLists, roundRobin(a.experiment.poolAddresses(caller.Pool)))
		return s
	}
	entryHTTP := jsonhttp.NewClient(entryRequestTimeout, nil)
	if caller.Token != "" {
		entryHTTP.WithHeader(fasthttp.HeaderAuthorization, "Bearer "+caller.Token)
	}
	seeds := a.experiment.Settings.Hosts
	for i := range caller.Clients {
		rotated := append(append([]string{}, seeds[i%len(seeds):]...), seeds[:i%len(seeds)]...)
		s.hostLists = append(s.hostLists, entryclient.New(entryHTTP, caller.FailureDomain, rotated).Hosts)
	}
	return s
}

// newRandom returns a random generator seeded by seed and name.
func newRandom(seed int64, name string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return rand.New(rand.NewPCG(uint64(seed), hash.Sum64()))
}

// roundRobin returns a function that lists addresses, starting one further at
// each call.
func roundRobin(addresses []string) func() []entryapi.EntryHost {
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

// run sends requests from the caller's start time to its stop time, then waits
// for the outstanding ones. Both times count from start.
func (s *requestGenerator) run(ctx context.Context, start time.Time, duration time.Duration) {
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
			s.stats.addOverrun()
			continue
		}
		wait.Go(func() {
			defer func() { <-s.slots }()
			r.run(ctx, s.hostLists[number%len(s.hostLists)])
			s.stats.add(r)
		})
	}
}

// prepare builds the call of a request. It reports false if the call cannot be
// built; the arrival then counts as overrun.
func (s *requestGenerator) prepare(r *request, number int) bool {
	id := s.runID + "-" + s.caller.Name + "-" + strconv.Itoa(number)
	if s.caller.Kind != ChatCall {
		r.call = newServiceCall(s.caller, s.http, id, number, s.random)
		return true
	}
	chat, err := newChatCall(s.caller, s.http, s.runID, id, number, s.random)
	if err != nil {
		s.stats.addOverrun()
		return false
	}
	r.call = chat
	return true
}
