package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if !For(ctx, 400*time.Millisecond) || time.Since(began) != 400*time.Millisecond {
			t.Errorf("waited %s", time.Since(began))
		}
		if For(ctx, time.Minute) || time.Since(began) != time.Second {
			t.Errorf("an ended context was waited for until %s", time.Since(began))
		}
		if For(ctx, 0) {
			t.Error("no wait after an ended context counts as whole")
		}
	})
}
