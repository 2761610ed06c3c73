package rollout

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
)

var measure = flag.Bool("measure", false, "compare all ways of running steps, at full size")

// Parameters of the simulated engines. They batch as the stand-in engine does: rates are in
// tokens per second, of a replica and of one rollout.
const (
	simSlots        = 16
	simTokenRate    = 2000.0
	simSequenceRate = 250.0
	simTick         = 20 * time.Millisecond
	simMaxTokens    = 640
)

// simEngines divide each replica's token rate among the rollouts that run on it. A slow replica
// has a tenth of the rate.
type simEngines struct {
	*fakeEngines
	queues []chan struct{}
	active []int
	slow   map[string]bool
	tokens float64
}

func newSimEngines(n, slow int) *simEngines {
	s := &simEngines{fakeEngines: newFakeEngines(n), active: make([]int, n), slow: map[string]bool{}}
	s.slots = simSlots
	for i := range n {
		s.queues = append(s.queues, make(chan struct{}, simSlots))
		if i < slow {
			s.slow[s.replicas[i].ID] = true
		}
	}
	return s
}

func (s *simEngines) index(id string) int {
	for i, u := range s.replicas {
		if u.ID == id {
			return i
		}
	}
	return -1
}

func (s *simEngines) enter(i, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[i] += by
}

// rate returns the current speed of one rollout on a replica, in tokens per second, and its
// weight version.
func (s *simEngines) rate(i int) (perSecond float64, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.replicas[i].ID
	perSecond = min(simSequenceRate, simTokenRate/float64(max(1, s.active[i])))
	if s.slow[id] {
		perSecond /= 10
	}
	return perSecond, s.versions[id]
}

func (s *simEngines) Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
	i := s.index(target.ID)
	select {
	case s.queues[i] <- struct{}{}:
	case <-ctx.Done():
		return upstream.Generation{}, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "cancelled")
	}
	defer func() { <-s.queues[i] }()
	s.enter(i, 1)
	defer s.enter(i, -1)
	total := min(s.length(req), req.PriorTokens+req.MaxTokens)
	var g upstream.Generation
	credit := 0.0
	for produced := req.PriorTokens; produced < total; {
		if !pause.For(ctx, simTick) {
			return g, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "cancelled")
		}
		perSecond, version := s.rate(i)
		credit += perSecond * simTick.Seconds()
		tokens := min(int(credit), total-produced)
		if tokens == 0 {
			continue
		}
		credit -= float64(tokens)
		produced += tokens
		s.mu.Lock()
		s.tokens += float64(tokens)
		s.mu.Unlock()
		g.Tokens += tokens
		g.Text += "x"
		g.Segments = appendSegment(g.Segments, engineapi.Segment{WeightVersion: version, Tokens: tokens})
		chunk := engineapi.ChatChunk{WeightVersion: version, Tokens: tokens, Choices: []engineapi.ChunkChoice{{Delta: engineapi.Message{Content: "x"}}}}
		if err := onChunk(chunk); err != nil {
			return g, err
		}
	}
	g.FinishReason = engineapi.FinishStop
	return g, nil
}

// naturalLength returns a length in tokens from a heavy-tailed distribution: its logarithm is
// normal, and one rollout in 64 is ten times longer. The fraction byPrompt of the variance is
// common to all rollouts of a prompt.
func naturalLength(prompt string, seed int64, byPrompt float64) int {
	const median, spread, oneIn = 48, 0.7, 64
	common := rand.New(rand.NewPCG(uint64(len(prompt)), hashOf(prompt)))
	own := rand.New(rand.NewPCG(uint64(seed), hashOf(prompt)))
	normal := math.Sqrt(byPrompt)*common.NormFloat64() + math.Sqrt(1-byPrompt)*own.NormFloat64()
	length := median * math.Exp(spread*normal)
	straggler := own
	if byPrompt > 0 {
		straggler = common
	}
	if straggler.IntN(oneIn) == 0 {
		length *= 10
	}
	return max(1, min(int(length), simMaxTokens))
}

func hashOf(s string) uint64 {
	return promptID(trainerapi.GroupRequest{Messages: []engineapi.Message{{Content: s}}})
}

// simRun is one configuration of how steps are run.
type simRun struct {
	name     string
	barrier  bool
	policy   Policy
	ahead    int
	spares   float64
	weigh    deployment.SchedulingGoal
	inFlight int
	hints    bool
}

// simSize is the size of a simulation.
type simSize struct {
	replicas, slow, groups, groupSize, steps int
	train                                    time.Duration
	byPrompt                                 float64
}

// simResult is what the trainer observed: idle is the mean time per step that it waited for
// samples, ages are in versions.
type simResult struct {
	idle         time.Duration
	meanAge      float64
	maxAge       uint64
	utilisation  float64
	tokensWasted float64
}

// simTrainer runs the steps of a simulation.
type simTrainer struct {
	size    simSize
	run     simRun
	cluster *testCluster
	sim     *simEngines
	host    *testHost
	results map[int]chan []trainerapi.Sample
	useful  float64
	ages    float64
	samples int
	out     simResult
}

func (st *simTrainer) request(n int) trainerapi.StepRequest {
	spares := int(math.Ceil(st.run.spares * float64(st.size.groups)))
	req := trainerapi.StepRequest{GroupSize: st.size.groupSize, MaxTokens: simMaxTokens, GroupsNeeded: st.size.groups}
	for g := range st.size.groups + spares {
		prompt := fmt.Sprintf("step %d prompt %d", n, g)
		group := trainerapi.GroupRequest{Messages: []engineapi.Message{{Role: "user", Content: prompt}}}
		if st.run.hints {
			group.ExpectedTokens = naturalLength(prompt, 0, st.size.byPrompt)
		}
		req.Groups = append(req.Groups, group)
	}
	return req
}

// requestStep requests a step's samples without waiting for them.
func (st *simTrainer) requestStep(t *testing.T, n int) {
	if st.results[n] != nil {
		return
	}
	done := make(chan []trainerapi.Sample, 1)
	st.results[n] = done
	req := st.request(n)
	if st.run.barrier {
		go func() { done <- st.runBarrier(n, req) }()
		return
	}
	if status := st.host.do(t, "POST", fmt.Sprintf("advice/steps/%d", n), req, nil); status != 202 {
		t.Errorf("create: status %d", status)
	}
	go func() { done <- st.host.fetch(t, n).Samples }()
}

// runBarrier starts all rollouts at once, round-robin over the replicas, and waits for all of
// them.
func (st *simTrainer) runBarrier(n int, req trainerapi.StepRequest) []trainerapi.Sample {
	count := len(req.Groups) * req.GroupSize
	samples := make(chan trainerapi.Sample, count)
	for i := range count {
		go func() {
			chat := engineapi.ChatRequest{Messages: req.Groups[i/req.GroupSize].Messages, Seed: int64(n*count + i), MaxTokens: req.MaxTokens}
			for try := i; ; try++ {
				target := st.sim.replicas[try%len(st.sim.replicas)]
				g, err := st.sim.Generate(context.Background(), target, chat, func(engineapi.ChatChunk) error { return nil })
				if err == nil {
					samples <- trainerapi.Sample{Segments: g.Segments}
					return
				}
			}
		}()
	}
	all := make([]trainerapi.Sample, 0, count)
	for range count {
		all = append(all, <-samples)
	}
	return all
}

func (st *simTrainer) train(t *testing.T) {
	started := time.Now()
	for n := 1; n <= st.size.steps; n++ {
		freeAt := time.Now()
		st.requestStep(t, n)
		samples := <-st.results[n]
		st.out.idle += time.Since(freeAt)
		st.record(samples)
		if !st.run.barrier {
			st.host.do(t, "POST", fmt.Sprintf("advice/steps/%d/ack", n), nil, nil)
		}
		for next := n + 1; next <= min(n+st.run.ahead, st.size.steps); next++ {
			st.requestStep(t, next)
		}
		time.Sleep(st.size.train)
		st.publish()
	}
	all := time.Since(started).Seconds()
	st.out.idle /= time.Duration(st.size.steps)
	st.out.meanAge = st.ages / float64(st.samples)
	st.out.utilisation = st.sim.tokens / (all * simTokenRate * float64(st.size.replicas))
	st.out.tokensWasted = 1 - st.useful/st.sim.tokens
}

func (st *simTrainer) record(samples []trainerapi.Sample) {
	newest := st.cluster.versions.Newest("")
	for _, s := range samples {
		oldest, _ := oldestOf(s.Segments)
		st.ages += float64(age(newest, oldest))
		st.out.maxAge = max(st.out.maxAge, age(newest, oldest))
		for _, segment := range s.Segments {
			st.useful += float64(segment.Tokens)
		}
	}
	st.samples += len(samples)
}

// publish publishes a new version and loads it on one replica after the other.
func (st *simTrainer) publish() {
	version := st.cluster.versions.Newest("") + 1
	st.cluster.versions.publish(version)
	go func() {
		for _, u := range st.sim.replicas {
			time.Sleep(800 * time.Millisecond / time.Duration(st.size.replicas))
			st.sim.mu.Lock()
			st.sim.versions[u.ID] = version
			st.sim.mu.Unlock()
		}
	}()
}

func simulate(t *testing.T, size simSize, run simRun) (result simResult) {
	synctest.Test(t, func(t *testing.T) {
		cfg := advice
		cfg.MaxInFlight = run.inFlight
		cfg.SpareGroupRatio = run.spares
		cfg.SchedulingGoal = run.weigh
		b := newTestCluster(1, cfg)
		sim := newSimEngines(size.replicas, size.slow)
		sim.length = func(req engineapi.ChatRequest) int {
			return naturalLength(req.Messages[0].Content, req.Seed, size.byPrompt)
		}
		b.engines = sim.fakeEngines
		b.generator = sim
		st := &simTrainer{size: size, run: run, cluster: b, sim: sim, results: map[int]chan []trainerapi.Sample{}}
		if !run.barrier {
			st.host = b.startHost(t, run.policy)
		}
		st.train(t)
		if !run.barrier {
			st.host.stop()
		}
		time.Sleep(time.Minute)
		result = st.out
	})
	return result
}

func policyWith(change func(*Policy)) Policy {
	p := defaultPolicy()
	change(&p)
	return p
}

// TestStepsAgainstABarrier compares ways of running steps with a plain barrier on a simulated
// pool. With -measure it prints the whole table.
func TestStepsAgainstABarrier(t *testing.T) {
	full := defaultPolicy()
	runs := []simRun{
		{name: "barrier", barrier: true},
		{name: "hosts", policy: full},
		{name: "hosts, 1 step ahead", policy: full, ahead: 1},
	}
	sizes := map[string]simSize{"8 replicas, 16x8": {replicas: 8, groups: 16, groupSize: 8, steps: 6, train: 2 * time.Second}}
	if *measure {
		runs = append(runs, measuredRuns()...)
		sizes = measuredSizes()
	}
	for name, size := range sizes {
		results := map[string]simResult{}
		for _, run := range runs {
			if run.weigh == "" {
				run.weigh = deployment.MinimizeIdle
			}
			if run.inFlight == 0 {
				run.inFlight = size.replicas * simSlots
			}
			r := simulate(t, size, run)
			results[run.name] = r
			t.Logf("%-28s %-34s idle %7.2fs  mean age %.2f  max age %d  busy %3.0f%%  wasted %4.1f%%",
				name, run.name, r.idle.Seconds(), r.meanAge, r.maxAge, r.utilisation*100, r.tokensWasted*100)
		}
		if ahead, barrier := results["hosts, 1 step ahead"], results["barrier"]; ahead.idle > barrier.idle/2 {
			t.Errorf("%s: idle %s with a step ahead, want at most half of the barrier's %s", name, ahead.idle, barrier.idle)
		}
	}
}

func measuredRuns() []simRun {
	full := defaultPolicy()
	return []simRun{
		{name: "ahead, no order", policy: policyWith(func(p *Policy) { p.Order = false }), ahead: 1},
		{name: "no order", policy: policyWith(func(p *Policy) { p.Order = false })},
		{name: "no hedge", policy: policyWith(func(p *Policy) { p.Hedge = false })},
		{name: "no resume", policy: policyWith(func(p *Policy) { p.Resume = false })},
		{name: "hints", policy: full, hints: true},
		{name: "hints, no order", policy: policyWith(func(p *Policy) { p.Order = false }), hints: true},
		{name: "spares 12.5%", policy: full, spares: 0.125},
		{name: "spares 25%", policy: full, spares: 0.25},
		{name: "spares 25%, ahead", policy: full, spares: 0.25, ahead: 1},
		{name: "half in flight", policy: full, inFlight: 64},
		{name: "staleness rule", policy: full, weigh: deployment.MinimizeStaleness},
		{name: "staleness rule, ahead", policy: full, weigh: deployment.MinimizeStaleness, ahead: 1},
	}
}

func measuredSizes() map[string]simSize {
	return map[string]simSize{
		"8 replicas, 16x8":            {replicas: 8, groups: 16, groupSize: 8, steps: 20, train: 2 * time.Second},
		"9 replicas, 16x8":            {replicas: 9, groups: 16, groupSize: 8, steps: 20, train: 2 * time.Second},
		"8 replicas, 1 slow, 16x8":    {replicas: 8, slow: 1, groups: 16, groupSize: 8, steps: 20, train: 2 * time.Second},
		"8 replicas, 128x8":           {replicas: 8, groups: 128, groupSize: 8, steps: 10, train: 5 * time.Second},
		"8 replicas, 128x8 by prompt": {replicas: 8, groups: 128, groupSize: 8, steps: 10, train: 5 * time.Second, byPrompt: 0.8},
	}
}
