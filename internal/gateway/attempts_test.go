package gateway

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestAttemptLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := attemptLog{began: time.Now()}
		log.begin("a")
		time.Sleep(3 * time.Millisecond)
		log.end("a", "queue_full")
		log.begin("b")
		log.begin("a")
		time.Sleep(5 * time.Millisecond)
		log.end("a", "200")
		if got, want := log.String(), "a@0s:queue_full@3ms b@3ms:silent a@3ms:200@8ms"; got != want {
			t.Errorf("attempt log is %q, want %q", got, want)
		}
		for range 2 * maxLoggedAttempts {
			log.begin("c")
		}
		if got := log.String(); !strings.HasSuffix(got, " and 15 more") {
			t.Errorf("long attempt log is %q", got)
		}
	})
}
