package claim

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
)

const retention = time.Hour

// cluster is a set of hosts that share a table and a peer network.
type cluster struct {
	network   *peertest.Network
	table     *fakeTable
	exchanges map[string]*peertest.Exchange
}

func newCluster() *cluster {
	return &cluster{network: peertest.NewNetwork(), table: newFakeTable(), exchanges: make(map[string]*peertest.Exchange)}
}

func (c *cluster) host(id, incarnation string) *Registry {
	exchange := c.network.Join(peer.Host{ID: id, Incarnation: incarnation})
	c.exchanges[id] = exchange
	return New(exchange, c.table, logr.Discard(), retention)
}

func request(t *testing.T, key string) Request {
	t.Helper()
	parsed, err := ParseKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return Request{Tenant: "depot", Key: parsed}
}

func answerWith(body string) *fasthttp.Response {
	resp := new(fasthttp.Response)
	resp.SetBodyString(body)
	return resp
}

// describe returns the result of Begin as text: "claim", the answer's body, or the
// kind and outcome of the error.
func describe(claim *Claim, res *Result, err error) string {
	if claim != nil {
		return "claim"
	}
	if err == nil {
		if res.Answer != nil {
			return string(res.Answer.Body)
		}
		err = res.Failure
	}
	e := failure.As(err)
	return string(e.Kind) + " " + string(e.Outcome)
}

func begin(t *testing.T, c *Registry, req Request) (*Claim, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	claim, res, err := c.Begin(ctx, req)
	return claim, describe(claim, res, err)
}

func expect(t *testing.T, c *Registry, req Request, want string) *Claim {
	t.Helper()
	claim, got := begin(t, c, req)
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	return claim
}

func TestRepeatGetsAnswerOnAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a, b := c.host("a", "a1"), c.host("b", "b1")
		req := request(t, "order-17")
		claim := expect(t, a, req, "claim")
		expect(t, a, req, "deadline_exceeded unknown")
		expect(t, b, req, "outcome_unknown unknown")
		claim.Finish(nil, answerWith("booked"))
		expect(t, a, req, "booked")
		expect(t, b, req, "booked")
	})
}

func TestRepeatAfterHolderStopped(t *testing.T) {
	for name, written := range map[string]bool{"booked": true, "outcome_unknown unknown": false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster()
			a, b := c.host("a", "a1"), c.host("b", "b1")
			req := request(t, "order-17")
			expect(t, a, req, "claim").Finish(nil, answerWith("booked"))
			if written {
				if err := a.writeOnce(t.Context(), a.collectBatch(<-a.unwritten.Items())); err != nil {
					t.Fatal(err)
				}
			}
			c.host("a", "a2")
			expect(t, b, req, name)
		})
	}
}

func TestUnreachableHolderKeepsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a, b := c.host("a", "a1"), c.host("b", "b1")
		req := request(t, "order-17")
		expect(t, a, req, "claim")
		c.exchanges["a"].SetPartitioned(true)
		for range 3 {
			time.Sleep(time.Hour)
			expect(t, b, req, "outcome_unknown unknown")
		}
	})
}

func TestAbandonedClaimIsTakenOver(t *testing.T) {
	notRun := failure.New(failure.NoUpstream, failure.NotRun, "none")
	for _, holder := range []string{"alive", "stopped"} {
		t.Run(holder, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				a, b := c.host("a", "a1"), c.host("b", "b1")
				req := request(t, "order-17")
				expect(t, a, req, "claim").Finish(notRun, nil)
				if holder == "stopped" {
					if err := a.writeOnce(t.Context(), a.collectBatch(<-a.unwritten.Items())); err != nil {
						t.Fatal(err)
					}
					c.exchanges["a"].SetState(peer.StateDead)
				}
				expect(t, b, req, "claim")
			})
		})
	}
}

func TestStoreFaults(t *testing.T) {
	tests := []struct {
		name          string
		writes, reads []fault
		want          string
	}{
		{"down", []fault{down}, nil, "store_unavailable unknown"},
		{"reply lost", []fault{replyLost}, nil, "claim"},
		{"no effect", []fault{noEffect}, nil, "claim"},
		{"late", []fault{late}, nil, "claim"},
		{"reply lost and read back fails", []fault{replyLost}, []fault{down}, "store_unavailable unknown"},
		{"always in doubt", []fault{noEffect, noEffect, noEffect, noEffect}, nil, "conflict unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				c.table.faults, c.table.reads = test.writes, test.reads
				a, b := c.host("a", "a1"), c.host("b", "b1")
				req := request(t, "order-17")
				claim, got := begin(t, a, req)
				if got != test.want {
					t.Fatalf("got %q, want %q", got, test.want)
				}
				_, other := begin(t, b, req)
				if (claim != nil) == (other == "claim") {
					t.Errorf("host a: %q, host b: %q", got, other)
				}
			})
		})
	}
}

func TestHomeBoundKeyNeedsNoTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.table.faults = []fault{down, down, down, down}
		a := c.host("a", "a1")
		req := request(t, KeyPrefix("a1", time.Now())+"r4nd")
		if _, unused, _ := a.Lookup(req); !unused {
			t.Error("an unused key counts as used")
		}
		expect(t, a, req, "claim").Finish(nil, answerWith("booked"))
		expect(t, a, req, "booked")
		other := req
		other.Fingerprint[0] = 1
		expect(t, a, other, "idempotency_key_reused not-run")
		if c.table.writes != 0 {
			t.Errorf("%d writes", c.table.writes)
		}
	})
}

func TestExpiredKeysAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		home := request(t, KeyPrefix("a1", time.Now())+"r")
		dated := request(t, uuid.Must(uuid.NewV7()).String())
		// The UUID library reads the real clock instead of the fake one of synctest.
		dated.Key.Issued = time.Now()
		undated := request(t, "order-17")
		for _, req := range []Request{home, dated, undated} {
			expect(t, a, req, "claim").Finish(nil, answerWith("booked"))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go a.runEviction(ctx)
		go a.writeResults(ctx)
		time.Sleep(HomeRetention - time.Minute)
		expect(t, a, home, "booked")
		time.Sleep(maxClockSkew + 2*time.Minute)
		expect(t, a, home, "idempotency_key_expired unknown")
		expect(t, a, dated, "booked")
		time.Sleep(retention)
		expect(t, a, dated, "idempotency_key_expired unknown")
		if n, err := a.sweepOnce(ctx); n != 0 || err != nil {
			t.Errorf("swept %d too early, %v", n, err)
		}
		time.Sleep(sweepMargin + time.Hour)
		if n, err := a.sweepOnce(ctx); n != 1 || err != nil {
			t.Errorf("swept %d, %v", n, err)
		}
		expect(t, a, dated, "idempotency_key_expired unknown")
		expect(t, a, undated, "booked")
		time.Sleep(2 * writtenKeyRetention)
		cancel()
		synctest.Wait()
		if left := len(a.records.byNonce); left != 0 {
			t.Errorf("%d records are still in memory", left)
		}
	})
}

func TestRecordsInMemoryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster().host("a", "a1")
		prefix := KeyPrefix("a1", time.Now())
		small, large := answerWith("booked"), answerWith(strings.Repeat("x", maxStoredAnswerBytes-100))
		for i := range maxRecords {
			answer := small
			if i%64 == 0 {
				answer = large
			}
			expect(t, a, request(t, prefix+uuid.NewString()), "claim").Finish(nil, answer)
			if a.records.answerBytes > maxAnswerBytes {
				t.Fatalf("%d bytes after %d answers", a.records.answerBytes, i)
			}
		}
		expect(t, a, request(t, prefix+"one-more"), "queue_full not-run")
		expect(t, a, request(t, "caller-made"), "queue_full unknown")
	})
}

// A caller may put any time into a key. Keys with a time in the far future must
// not sort before expired ones, where they would fill the page that a sweep reads.
func TestKeysFromFarFutureDoNotBlockSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		for i := range sweepBatchSize {
			expect(t, a, request(t, fmt.Sprintf("ffffffff-ffff-7fff-bfff-%012d", i)), "claim")
		}
		dated := request(t, uuid.Must(uuid.NewV7()).String())
		dated.Key.Issued = time.Now()
		expect(t, a, dated, "claim")
		time.Sleep(retention + sweepMargin + 2*time.Hour)
		if n, err := a.sweepOnce(t.Context()); n != 1 || err != nil {
			t.Errorf("swept %d, %v", n, err)
		}
	})
}

// The store is down while a full batch is to be deleted. A sweep that fails must not be
// repeated before the next one is due.
func TestFailedSweepWaitsForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		for range sweepBatchSize {
			dated := request(t, uuid.Must(uuid.NewV7()).String())
			dated.Key.Issued = time.Now()
			expect(t, a, dated, "claim")
		}
		time.Sleep(retention + sweepMargin + 2*time.Hour)
		for range 20 {
			c.table.faults = append(c.table.faults, down)
		}
		before := c.table.writes
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = a.runSweep(ctx) }()
		time.Sleep(3 * sweepInterval)
		if n := c.table.writes - before; n < 1 || n > 6 {
			t.Errorf("%d writes in %s while the store is down, want one for each sweep", n, 3*sweepInterval)
		}
		time.Sleep(40 * sweepInterval)
		if n, err := a.sweepOnce(t.Context()); n != 0 || err != nil {
			t.Errorf("%d rows are left, %v", n, err)
		}
	})
}

// bookingsPerSecond is the rate of requests with home-bound keys that one host must sustain.
const bookingsPerSecond = 100

func TestRecordsInMemorySufficeForSustainedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster().host("a", "a1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.runEviction(ctx)
		answer := answerWith(strings.Repeat("x", 1000))
		refused := failure.New(failure.NoUpstream, failure.NotRun, "none")
		past := int((HomeRetention + maxClockSkew + time.Minute).Seconds())
		recent := make([]string, past)
		for second := range past {
			prefix := KeyPrefix("a1", time.Now())
			recent[second] = prefix + "0"
			for i := range bookingsPerSecond {
				expect(t, a, request(t, prefix+strconv.Itoa(i)), "claim").Finish(nil, answer)
				if i%4 == 0 {
					expect(t, a, request(t, prefix+"none"), "claim").Finish(refused, nil)
				}
			}
			time.Sleep(time.Second)
		}
		expect(t, a, request(t, recent[past-1]), string(answer.Body()))
		expect(t, a, request(t, recent[past-600]), "outcome_unknown ran")
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster().host("a", "a1")
		req := request(t, "order-17")
		expect(t, a, req, "claim").Finish(nil, answerWith(strings.Repeat("x", maxStoredAnswerBytes+1)))
		expect(t, a, req, "outcome_unknown ran")
	})
}

func TestParseKeyRejects(t *testing.T) {
	for _, key := range []string{strings.Repeat("k", maxKeyLength+1), "a b", "a/b", "home-x", "home-x.y.z", "home-.1.z", "home-x.1."} {
		if _, err := ParseKey(key); !failure.IsKind(err, failure.InvalidRequest) {
			t.Errorf("%q: %v", key, err)
		}
	}
}
