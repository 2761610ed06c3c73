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
			t.Errorf("For returned %s after the start, want 1s, when the context ends", time.Since(began))
		}
		if For(ctx, 0) {
			t.Error("For returned true with an ended context")
		}
	})
}
