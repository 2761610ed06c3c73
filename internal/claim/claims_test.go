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

func use(t *testing.T, key string) Request {
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

// result names how Begin ended: "ticket", an answer's body, or a kind and outcome.
func result(ticket *Ticket, v *Verdict, err error) string {
	if ticket != nil {
		return "ticket"
	}
	if err == nil {
		if v.Answer != nil {
			return string(v.Answer.Body)
		}
		err = v.Failure
	}
	e := failure.As(err)
	return string(e.Kind) + " " + string(e.Outcome)
}

func begin(t *testing.T, c *Registry, u Request) (*Ticket, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ticket, v, err := c.Begin(ctx, u)
	return ticket, result(ticket, v, err)
}

func expect(t *testing.T, c *Registry, u Request, want string) *Ticket {
	t.Helper()
	ticket, got := begin(t, c, u)
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	return ticket
}

func TestRepeatIsGivenTheAnswerOnAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a, b := c.host("a", "a1"), c.host("b", "b1")
		u := use(t, "order-17")
		ticket := expect(t, a, u, "ticket")
		expect(t, a, u, "deadline_exceeded unknown")
		expect(t, b, u, "outcome_unknown unknown")
		ticket.Finish(nil, answerWith("booked"))
		expect(t, a, u, "booked")
		expect(t, b, u, "booked")
	})
}

func TestRepeatAfterTheHolderHasGone(t *testing.T) {
	for name, written := range map[string]bool{"booked": true, "outcome_unknown unknown": false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster()
			a, b := c.host("a", "a1"), c.host("b", "b1")
			u := use(t, "order-17")
			expect(t, a, u, "ticket").Finish(nil, answerWith("booked"))
			if written {
				if err := a.writeOnce(t.Context(), a.batch(<-a.ended.Items())); err != nil {
					t.Fatal(err)
				}
			}
			c.host("a", "a2")
			expect(t, b, u, name)
		})
	}
}

func TestSilenceOfTheHolderNeverFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a, b := c.host("a", "a1"), c.host("b", "b1")
		u := use(t, "order-17")
		expect(t, a, u, "ticket")
		c.exchanges["a"].Cut(true)
		for range 3 {
			time.Sleep(time.Hour)
			expect(t, b, u, "outcome_unknown unknown")
		}
	})
}

func TestGivenUpClaimMayBeTakenOver(t *testing.T) {
	notRun := failure.New(failure.NoUpstream, failure.NotRun, "none")
	for _, holder := range []string{"alive", "gone"} {
		t.Run(holder, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				a, b := c.host("a", "a1"), c.host("b", "b1")
				u := use(t, "order-17")
				expect(t, a, u, "ticket").Finish(notRun, nil)
				if holder == "gone" {
					if err := a.writeOnce(t.Context(), a.batch(<-a.ended.Items())); err != nil {
						t.Fatal(err)
					}
					c.exchanges["a"].SetState(peer.Dead)
				}
				expect(t, b, u, "ticket")
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
		{"reply lost", []fault{replyLost}, nil, "ticket"},
		{"no effect", []fault{noEffect}, nil, "ticket"},
		{"late", []fault{late}, nil, "ticket"},
		{"reply lost and read back fails", []fault{replyLost}, []fault{down}, "store_unavailable unknown"},
		{"always in doubt", []fault{noEffect, noEffect, noEffect, noEffect}, nil, "conflict unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				c.table.faults, c.table.reads = test.writes, test.reads
				a, b := c.host("a", "a1"), c.host("b", "b1")
				u := use(t, "order-17")
				ticket, got := begin(t, a, u)
				if got != test.want {
					t.Fatalf("got %q, want %q", got, test.want)
				}
				_, other := begin(t, b, u)
				if (ticket != nil) == (other == "ticket") {
					t.Errorf("host a: %q, host b: %q", got, other)
				}
			})
		})
	}
}

func TestHomeBoundKeyNeedsNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.table.faults = []fault{down, down, down, down}
		a := c.host("a", "a1")
		u := use(t, KeyPrefix("a1", time.Now())+"r4nd")
		if _, unused, _ := a.Lookup(u); !unused {
			t.Error("a fresh key counts as used")
		}
		expect(t, a, u, "ticket").Finish(nil, answerWith("booked"))
		expect(t, a, u, "booked")
		other := u
		other.Fingerprint[0] = 1
		expect(t, a, other, "idempotency_key_reused not-run")
		if c.table.writes != 0 {
			t.Errorf("%d writes", c.table.writes)
		}
	})
}

func TestKeysAreRefusedPastTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		home := use(t, KeyPrefix("a1", time.Now())+"r")
		dated := use(t, uuid.Must(uuid.NewV7()).String())
		// The UUID library reads the real clock, which runs outside the bubble.
		dated.Key.Issued = time.Now()
		undated := use(t, "order-17")
		for _, u := range []Request{home, dated, undated} {
			expect(t, a, u, "ticket").Finish(nil, answerWith("booked"))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go a.forget(ctx)
		go a.writeVerdicts(ctx)
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
		time.Sleep(2 * writtenRetention)
		cancel()
		synctest.Wait()
		if left := len(a.book.byNonce); left != 0 {
			t.Errorf("%d records are still in memory", left)
		}
	})
}

func TestMemoryOfKeysIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster().host("a", "a1")
		prefix := KeyPrefix("a1", time.Now())
		small, large := answerWith("booked"), answerWith(strings.Repeat("x", maxStoredAnswer-100))
		for i := range maxRecords {
			answer := small
			if i%64 == 0 {
				answer = large
			}
			expect(t, a, use(t, prefix+uuid.NewString()), "ticket").Finish(nil, answer)
			if a.book.answerBytes > maxAnswerBytes {
				t.Fatalf("%d bytes after %d answers", a.book.answerBytes, i)
			}
		}
		expect(t, a, use(t, prefix+"one-more"), "queue_full not-run")
		expect(t, a, use(t, "caller-made"), "queue_full unknown")
	})
}

// The rows of dated keys sort by their time, whatever time a caller puts into a key.
func TestKeyOfTheFarFutureDoesNotHoldUpTheSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		a := c.host("a", "a1")
		for i := range sweepPage {
			expect(t, a, use(t, fmt.Sprintf("ffffffff-ffff-7fff-bfff-%012d", i)), "ticket")
		}
		dated := use(t, uuid.Must(uuid.NewV7()).String())
		dated.Key.Issued = time.Now()
		expect(t, a, dated, "ticket")
		time.Sleep(retention + sweepMargin + 2*time.Hour)
		if n, err := a.sweepOnce(t.Context()); n != 1 || err != nil {
			t.Errorf("swept %d, %v", n, err)
		}
	})
}

// bookingsPerSecond is what one host must take, by home-bound keys, for as long as it is asked to.
const bookingsPerSecond = 100

func TestMemoryOfKeysLastsForAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster().host("a", "a1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.forget(ctx)
		answer := answerWith(strings.Repeat("x", 1000))
		refused := failure.New(failure.NoUpstream, failure.NotRun, "none")
		past := int((HomeRetention + maxClockSkew + time.Minute).Seconds())
		recent := make([]string, past)
		for second := range past {
			prefix := KeyPrefix("a1", time.Now())
			recent[second] = prefix + "0"
			for i := range bookingsPerSecond {
				expect(t, a, use(t, prefix+strconv.Itoa(i)), "ticket").Finish(nil, answer)
				if i%4 == 0 {
					expect(t, a, use(t, prefix+"none"), "ticket").Finish(refused, nil)
				}
			}
			time.Sleep(time.Second)
		}
		expect(t, a, use(t, recent[past-1]), string(answer.Body()))
		expect(t, a, use(t, recent[past-600]), "outcome_unknown ran")
	})
}

func TestLargeAnswerIsReportedAsRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCluster().host("a", "a1")
		u := use(t, "order-17")
		expect(t, a, u, "ticket").Finish(nil, answerWith(strings.Repeat("x", maxStoredAnswer+1)))
		expect(t, a, u, "outcome_unknown ran")
	})
}

func TestParseKeyRejects(t *testing.T) {
	for _, key := range []string{strings.Repeat("k", maxKeyLength+1), "a b", "a/b", "home-x", "home-x.y.z", "home-.1.z", "home-x.1."} {
		if _, err := ParseKey(key); !failure.IsKind(err, failure.InvalidRequest) {
			t.Errorf("%q: %v", key, err)
		}
	}
}
