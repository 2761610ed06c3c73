package rollout

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/lease"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/routing"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
	"github.com/sapphirehatch/sapphirehatch/internal/upstream"
	"github.com/sapphirehatch/sapphirehatch/internal/weights"
)

// fakeStore is an in-memory table and object store.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	next    uint64
	down    bool
	// transactOutcome returns the outcome of each transaction; nil means that all succeed.
	transactOutcome func(tx platform.Transaction) callOutcome
}

// callOutcome is the outcome of a store call.
type callOutcome int

const (
	succeeds callOutcome = iota
	replyLost
	requestLost
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func (f *fakeStore) unavailable() error {
	if f.down {
		return failure.New(failure.StoreUnavailable, failure.NotRun, "down")
	}
	return nil
}

func (f *fakeStore) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.unavailable(); err != nil {
		return nil, err
	}
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (f *fakeStore) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.unavailable(); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeStore) Transact(_ context.Context, tx platform.Transaction) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.unavailable(); err != nil {
		return err
	}
	outcome := succeeds
	if f.transactOutcome != nil {
		outcome = f.transactOutcome(tx)
	}
	if outcome == requestLost {
		return failure.New(failure.StoreInDoubt, failure.Unknown, "lost")
	}
	err := f.apply(tx)
	if outcome == replyLost {
		return failure.New(failure.StoreInDoubt, failure.Unknown, "lost")
	}
	return err
}

func (f *fakeStore) apply(tx platform.Transaction) error {
	for _, check := range tx.Checks {
		if f.rows[check.Key].Version != check.Version {
			return failure.New(failure.Conflict, failure.NotRun, "conflict on %s", check.Key)
		}
	}
	for _, write := range tx.Writes {
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		f.next++
		f.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: f.next}
	}
	return nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[key] = value
	return f.unavailable()
}

func (f *fakeStore) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, ok := f.objects[key]
	if !ok {
		return nil, failure.New(failure.NotFound, failure.NotRun, "no object %s", key)
	}
	return value, f.unavailable()
}

func (f *fakeStore) Delete(_ context.Context, key string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.objects, key)
	return f.unavailable()
}

func (f *fakeStore) count() (rows, objects int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows), len(f.objects)
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// fakeEngines is a router and an engine client in one. Each engine generates one token per
// tokenTime on the fake clock.
type fakeEngines struct {
	mu       sync.Mutex
	replicas []membership.Upstream
	inFlight map[string]int
	versions map[string]uint64
	// length returns the length of a rollout, in tokens.
	length func(req engineapi.ChatRequest) int
	// tokenTime returns the time for one token on an engine.
	tokenTime func(engineID string) time.Duration
	// breakAt is the token at which an engine, by id, fails a generation; zero means never.
	breakAt  map[string]int
	requests []engineapi.ChatRequest
	slots    int
	busy     time.Duration
}

func newFakeEngines(n int) *fakeEngines {
	f := &fakeEngines{
		inFlight:  map[string]int{},
		versions:  map[string]uint64{},
		breakAt:   map[string]int{},
		length:    func(engineapi.ChatRequest) int { return 10 },
		tokenTime: func(string) time.Duration { return 10 * time.Millisecond },
		slots:     4,
	}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		f.replicas = append(f.replicas, membership.Upstream{ID: id, Kind: platform.EngineMember, Pool: "pool"})
		f.versions[id] = 1
	}
	return f
}

// count returns the number of generations that were started.
func (f *fakeEngines) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func (f *fakeEngines) setVersion(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.versions {
		f.versions[id] = version
	}
}

type fakeReservation struct {
	engines *fakeEngines
	target  membership.Upstream
}

func (p fakeReservation) Upstream() membership.Upstream { return p.target }

func (p fakeReservation) Done(routing.Result) {
	p.engines.mu.Lock()
	defer p.engines.mu.Unlock()
	p.engines.inFlight[p.target.ID]--
}

// Reserve picks the replica with the fewest rollouts in flight and waits for a slot on it.
func (f *fakeEngines) Reserve(ctx context.Context, req routing.Request) (routing.Reservation, error) {
	for {
		if reservation, ok := f.tryReserve(req); ok {
			return reservation, nil
		}
		if !pause.For(ctx, 5*time.Millisecond) {
			return nil, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.NotRun, "no free slot")
		}
	}
}

func (f *fakeEngines) tryReserve(req routing.Request) (routing.Reservation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := -1
	for i, u := range f.replicas {
		if slices.Contains(req.Avoid, u.ID) && len(req.Avoid) < len(f.replicas) {
			continue
		}
		if best < 0 || f.inFlight[u.ID] < f.inFlight[f.replicas[best].ID] {
			best = i
		}
	}
	if best < 0 || f.inFlight[f.replicas[best].ID] >= f.slots {
		return nil, false
	}
	f.inFlight[f.replicas[best].ID]++
	return fakeReservation{engines: f, target: f.replicas[best]}, true
}

func (f *fakeEngines) Generate(ctx context.Context, target membership.Upstream, req engineapi.ChatRequest, onChunk upstream.ChunkFunc) (upstream.Generation, error) {
	f.mu.Lock()
	f.requests = append(f.requests, req)
	total := min(f.length(req), req.PriorTokens+req.MaxTokens)
	f.mu.Unlock()
	var g upstream.Generation
	for token := req.PriorTokens; token < total; token++ {
		f.mu.Lock()
		wait, version, breakAt := f.tokenTime(target.ID), f.versions[target.ID], f.breakAt[target.ID]
		f.mu.Unlock()
		if !pause.For(ctx, wait) {
			return g, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "cancelled")
		}
		if breakAt > 0 && token == breakAt {
			return g, failure.New(failure.IncompleteAnswer, failure.Unknown, "engine failed")
		}
		text := fmt.Sprintf("%d ", token)
		g.Text += text
		g.Tokens++
		g.Segments = appendSegment(g.Segments, engineapi.Segment{WeightVersion: version, Tokens: 1})
		f.mu.Lock()
		f.busy += wait
		f.mu.Unlock()
		chunk := engineapi.ChatChunk{WeightVersion: version, Tokens: 1, Choices: []engineapi.ChunkChoice{{Delta: engineapi.Message{Content: text}}}}
		if err := onChunk(chunk); err != nil {
			return g, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.Tokens > 0 && f.breakAt[target.ID] == total {
		return g, failure.New(failure.IncompleteAnswer, failure.Unknown, "engine failed before its final chunk")
	}
	g.FinishReason = engineapi.FinishStop
	return g, nil
}

func (f *fakeEngines) Cancel(context.Context, membership.Upstream, string) error { return nil }

// fakeScorer is a scoring service that rewards each text with its length.
type fakeScorer struct{}

func (fakeScorer) Do(_ context.Context, _ membership.Upstream, req *fasthttp.Request, resp *fasthttp.Response) error {
	var score trainerapi.ScoreRequest
	if err := decodeJSON(req.Body(), &score); err != nil {
		return err
	}
	var answer trainerapi.ScoreResponse
	for _, text := range score.Texts {
		answer.Rewards = append(answer.Rewards, float64(len(text)))
	}
	body, err := encodeJSON(answer)
	resp.SetBody(body)
	return err
}

// fakeVersions is a weights.Watcher with versions set by the test.
type fakeVersions struct {
	mu     sync.Mutex
	newest uint64
	rate   weights.PublishRate
	// running is the version of each engine, by id. It is set before the test starts.
	running map[string]uint64
}

func (f *fakeVersions) Newest(string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

func (f *fakeVersions) Refresh(context.Context, string, string) (uint64, error) {
	return f.Newest(""), nil
}

func (f *fakeVersions) publish(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = version
}

func (f *fakeVersions) Running(id string) (uint64, bool) {
	version, known := f.running[id]
	return version, known
}

func (f *fakeVersions) PublishRate(string) weights.PublishRate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rate
}

func (f *fakeVersions) setRate(rate weights.PublishRate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// fakeSource is a deployment.Source with a document that a test may replace.
type fakeSource struct {
	doc atomic.Pointer[deployment.Document]
}

func newFakeSource(doc *deployment.Document) *fakeSource {
	f := &fakeSource{}
	f.doc.Store(doc)
	return f
}

func (f *fakeSource) Current() *deployment.Document { return f.doc.Load() }

func (f *fakeSource) Changed() <-chan struct{} { return nil }

// fakeLeases grants every shard while held is true.
type fakeLeases struct {
	mu   sync.Mutex
	held bool
}

func (f *fakeLeases) Held(shard string) (lease.Grant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lease.Grant{Shard: shard, Fence: 1}, f.held
}

func (f *fakeLeases) set(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
}

const testToken = "token"

// tokenSHA256 is the SHA-256 of testToken.
const tokenSHA256 = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"

func testDocument(trainers ...deployment.Trainer) *deployment.Document {
	doc := &deployment.Document{
		Trainers:    map[string]deployment.Trainer{},
		EnginePools: map[string]deployment.EnginePool{"pool": {Name: "pool", Model: "model"}},
	}
	for _, t := range trainers {
		t.TokenSHA256 = tokenSHA256
		t.EnginePool = "pool"
		t.Scorer = "scorer"
		doc.Trainers[t.Name] = t
	}
	return doc
}

// testCluster is one or more hosts with a common store and common engines.
type testCluster struct {
	store    *fakeStore
	engines  *fakeEngines
	versions *fakeVersions
	peers    *peertest.Network
	doc      *deployment.Document
	hosts    int
	// generator replaces the engine client of engines if it is set.
	generator engine
}

func newTestCluster(engines int, trainers ...deployment.Trainer) *testCluster {
	return &testCluster{
		store:    newFakeStore(),
		engines:  newFakeEngines(engines),
		versions: &fakeVersions{newest: 1},
		peers:    peertest.NewNetwork(),
		doc:      testDocument(trainers...),
	}
}

// testHost is one host of a testCluster.
type testHost struct {
	docs   *fakeSource
	api    *API
	owner  *Owner
	worker *worker
	leases *fakeLeases
	peers  *peertest.Exchange
	kill   context.CancelFunc
	done   sync.WaitGroup
}

// startHost starts a host that holds all leases.
func (b *testCluster) startHost(t *testing.T, policy Policy) *testHost {
	t.Helper()
	h := b.startHostWithoutLease(t, policy)
	h.leases.set(true)
	return h
}

// startHostWithoutLease starts a host that holds no lease.
func (b *testCluster) startHostWithoutLease(t *testing.T, policy Policy) *testHost {
	t.Helper()
	source := newFakeSource(b.doc)
	st := newStore(b.store, b.store)
	h := &testHost{docs: source, leases: &fakeLeases{}, peers: b.peers.Join(peer.Host{ID: fmt.Sprintf("h%d", b.hosts)})}
	b.hosts++
	engines := b.generator
	if engines == nil {
		engines = b.engines
	}
	h.worker = newWorker(&localRunner{router: b.engines, engines: engines, versions: b.versions})
	h.peers.Handle(methodStart, h.worker.handleStart)
	h.peers.Handle(methodPoll, h.worker.handlePoll)
	h.api = &API{docs: source, store: st, versions: b.versions, meters: metrics.NewSet(), stopping: func() bool { return false }}
	h.owner = &Owner{
		log:    logr.Discard(),
		docs:   source,
		leases: h.leases,
		deps: dependencies{
			store:     st,
			versions:  b.versions,
			runner:    newJobRunner(policy, h.peers, h.worker.runner),
			scorer:    &scorer{router: b.engines, exchange: fakeScorer{}},
			fairShare: newFairShare(source, h.peers),
			policy:    policy,
			meters:    metrics.NewSet(),
		},
		timing: settings.DefaultTiming(),
		runs:   map[string]*trainerRun{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	h.kill = cancel
	h.done.Go(func() { _ = h.owner.Run(ctx) })
	h.done.Go(func() { _ = h.worker.run(ctx) })
	return h
}

// stop shuts the host down gracefully: it announces that it is draining before its loops end.
func (h *testHost) stop() {
	h.peers.SetDraining()
	h.kill()
	h.done.Wait()
}

// do sends one trainer request to the host and decodes the response into out. It returns the
// status.
func (h *testHost) do(t *testing.T, method, path string, in, out any) int {
	t.Helper()
	var ctx fasthttp.RequestCtx
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI("http://host" + trainerapi.PathTrainers + path)
	req.Header.Set("Authorization", "Bearer "+testToken)
	if in != nil {
		body, err := encodeJSON(in)
		if err != nil {
			t.Fatal(err)
		}
		req.SetBody(body)
	}
	ctx.Init(&req, nil, nil)
	h.api.Handle(&ctx)
	if out != nil {
		if err := decodeJSON(ctx.Response.Body(), out); err != nil {
			t.Fatalf("%s %s: %v: %s", method, path, err, ctx.Response.Body())
		}
	}
	return ctx.Response.StatusCode()
}

// fetch waits for the samples of a step of the trainer "advice".
func (h *testHost) fetch(t *testing.T, step int) trainerapi.StepSamples {
	t.Helper()
	for range 200 {
		var samples trainerapi.StepSamples
		path := fmt.Sprintf("advice/steps/%d/samples?wait=10s", step)
		if h.do(t, "GET", path, nil, &samples) == fasthttp.StatusOK {
			return samples
		}
	}
	t.Fatalf("step %d was not sealed within 200 fetches", step)
	return trainerapi.StepSamples{}
}

// stepRequest returns a request for a number of groups of a given size.
func stepRequest(groups, size int) trainerapi.StepRequest {
	req := trainerapi.StepRequest{GroupSize: size, MaxTokens: 10_000}
	for i := range groups {
		prompt := engineapi.Message{Role: "user", Content: fmt.Sprintf("prompt %d", i)}
		req.Groups = append(req.Groups, trainerapi.GroupRequest{Messages: []engineapi.Message{prompt}})
	}
	return req
}

// defaultPolicy returns the policy of a host whose settings switch nothing off.
func defaultPolicy() Policy { return policyWithout(nil) }
