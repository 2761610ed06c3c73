package chain

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

// A key that names its home host is only served there, or not at all while that
// host cannot be reached or has restarted.
func TestHomeBoundKeyIsServedByItsHomeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		c.table.down = true
		first, second := claim.KeyPrefix("a1", time.Now())+"x", claim.KeyPrefix("a1", time.Now())+"y"
		want(t, b.book(t, first, "van"), "booked van")
		want(t, a.book(t, first, "van"), "booked van")
		want(t, b.book(t, first, "other"), "idempotency_key_reused not-run")
		a.exchange.SetPartitioned(true)
		want(t, b.book(t, first, "van"), "outcome_unknown unknown")
		want(t, b.book(t, second, "van"), "outcome_unknown unknown")
		c.node(t, "a", "a2")
		want(t, b.book(t, second, "van"), "outcome_unknown unknown")
		if diff := cmp.Diff([]string{"van"}, c.service.runs); diff != "" {
			t.Error(diff)
		}
	})
}

// A home host that refuses new requests must not report NotRun for a key whose
// request may have run earlier.
func TestRefusingHomeReportsEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		prefix := claim.KeyPrefix("a1", time.Now())
		want(t, b.book(t, prefix+"x", "van"), "booked van")
		a.health.state = health.Isolated
		want(t, b.book(t, prefix+"x", "van"), "booked van")
		want(t, b.book(t, prefix+"y", "van"), "isolated not-run")
		a.health.state = health.Ready
		c.service.fail = failure.New(failure.UpstreamFailed, failure.Unknown, "reset")
		want(t, b.book(t, prefix+"z", "van"), "upstream_failed unknown")
		a.health.state = health.Isolated
		want(t, b.book(t, prefix+"z", "van"), "upstream_failed unknown")
	})
}

// The upstream gets the same bytes whether or not the request is forwarded to
// another host.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	const raw = "POST /bookings/a%2Fb//c?x=%2f HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n" +
		"Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 80\r\nExpect: 100-continue\r\nIdempotency-Key: KEY\r\n\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"z\"\r\nX-Part: 1\r\n\r\n2\r\n--b\r\n\r\n1\r\n--b--\r\n"
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		prefix := claim.KeyPrefix("a1", time.Now())
		seen := make(map[string]bool)
		for i, n := range []*node{a, b} {
			n.answer(t.Context(), n.parsed(t, strings.Replace(raw, "KEY", prefix+strconv.Itoa(i), 1)))
			seen[strings.Replace(c.service.last, prefix+strconv.Itoa(i), "KEY", 1)] = true
			want(t, b.answer(t.Context(), b.parsed(t, strings.Replace(raw, "KEY", prefix+strconv.Itoa(i), 1)))[:6], "booked")
		}
		if len(seen) != 1 || len(c.service.runs) != 2 || !strings.HasPrefix(c.service.last, "POST /bookings/a%2Fb//c?x=%2f ") {
			t.Errorf("%d runs with the requests %v, want 2 runs of the same request", len(c.service.runs), seen)
		}
	})
}

// A home host that was paused must not run a request whose caller has got an
// error meanwhile.
func TestResumedHomeDoesNotRunExpiredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		prefix := claim.KeyPrefix("a1", time.Now())
		want(t, b.book(t, prefix+"x", "van"), "booked van")
		time.Sleep(10 * time.Second)
		thaw := a.exchange.Freeze()
		want(t, b.book(t, prefix+"y", "lorry"), "outcome_unknown unknown")
		thaw()
		synctest.Wait()
		if diff := cmp.Diff([]string{"van"}, c.service.runs); diff != "" {
			t.Error(diff)
		}
		want(t, b.book(t, prefix+"z", "bus"), "booked bus")
	})
}

func TestKeyWithoutHomeWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		want(t, a.book(t, "order-17", "van"), "booked van")
		c.table.down = true
		want(t, b.book(t, "order-17", "van"), "store_unavailable unknown")
		want(t, a.book(t, "order-17", "van"), "booked van")
		c.table.down = false
		want(t, b.book(t, "order-17", "van"), "booked van")
		if len(c.service.runs) != 1 {
			t.Error(c.service.runs)
		}
	})
}

// A request with a key whose outcome is unknown is never dispatched again.
func TestRequestWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		keys := []string{"order-17", claim.KeyPrefix("a1", time.Now()) + "x"}
		c.service.fail = failure.New(failure.UpstreamFailed, failure.Unknown, "reset")
		for _, key := range keys {
			want(t, a.book(t, key, key), "upstream_failed unknown")
		}
		c.service.fail = nil
		for _, key := range keys {
			want(t, b.book(t, key, key), "upstream_failed unknown")
			want(t, a.book(t, key, key), "upstream_failed unknown")
		}
		if diff := cmp.Diff(keys, c.service.runs); diff != "" {
			t.Error(diff)
		}
	})
}

// A refusal reports NotRun only if no request with the key has run.
func TestRefusalOutcomeCoversAllUsesOfTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		tenant := c.doc.Tenants["depot"]
		tenant.RequestsPerSecond = 0.001
		c.doc.Tenants["depot"] = tenant
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		prefix := claim.KeyPrefix("a1", time.Now())
		want(t, a.book(t, "order-17", "van"), "booked van")
		want(t, b.book(t, prefix+"x", "van"), "booked van")
		want(t, b.book(t, "order-17", "van"), "quota_exceeded unknown")
		want(t, b.book(t, prefix+"x", "van"), "quota_exceeded unknown")
		want(t, a.book(t, prefix+"y", "van"), "quota_exceeded not-run")
		want(t, a.book(t, "order-18", "van"), "quota_exceeded unknown")
		want(t, a.book(t, "order-17", "van"), "booked van")
	})
}

func TestRefusedDialReleasesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		c.service.fail = failure.New(failure.UpstreamUnreachable, failure.NotRun, "refused")
		want(t, a.book(t, "order-17", "van"), "upstream_unreachable not-run")
		c.service.fail = nil
		want(t, b.book(t, "order-17", "van"), "booked van")
		want(t, a.book(t, "order-17", "van"), "booked van")
		if len(c.service.runs) != 1 {
			t.Error(c.service.runs)
		}
	})
}

func TestStoppingHomeAnswersRepeatsFromMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.node(t, "a", "a1"), c.node(t, "b", "b1")
		prefix := claim.KeyPrefix("a1", time.Now())
		want(t, a.book(t, prefix+"x", "van"), "booked van")
		a.drain.Stop()
		want(t, b.book(t, prefix+"x", "van"), "booked van")
		want(t, b.book(t, prefix+"y", "van"), "draining not-run")
		if len(c.service.runs) != 1 {
			t.Error(c.service.runs)
		}
	})
}
