package gateway

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestTrail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := attemptLog{began: time.Now()}
		tr.begin("a")
		time.Sleep(3 * time.Millisecond)
		tr.end("a", "queue_full")
		tr.begin("b")
		tr.begin("a")
		time.Sleep(5 * time.Millisecond)
		tr.end("a", "200")
		if got, want := tr.String(), "a@0s:queue_full@3ms b@3ms:silent a@3ms:200@8ms"; got != want {
			t.Errorf("trail is %q, want %q", got, want)
		}
		for range 2 * maxLoggedAttempts {
			tr.begin("c")
		}
		if got := tr.String(); !strings.HasSuffix(got, " and 15 more") {
			t.Errorf("long trail is %q", got)
		}
	})
}
