package weights

import (
	"testing"
	"time"
)

func TestPublishRate(t *testing.T) {
	start := time.Unix(0, 0)
	p := PublishRate{}.update(1, start).update(1, start.Add(10*time.Second)).update(2, start.Add(30*time.Second))
	if p.Interval != 10*time.Second {
		t.Fatalf("interval %s, want 10s", p.Interval)
	}
	for _, test := range []struct {
		sinceLast, after time.Duration
		want             uint64
	}{
		{0, 9 * time.Second, 0},
		{0, 10 * time.Second, 1},
		{6 * time.Second, 5 * time.Second, 1},
		{6 * time.Second, 15 * time.Second, 2},
		{time.Minute, time.Second, 1},
	} {
		if got := p.Expected(p.Last.Add(test.sinceLast), test.after); got != test.want {
			t.Errorf("%s after the last version, %d versions are expected within %s, want %d", test.sinceLast, got, test.after, test.want)
		}
	}
	if got := p.UntilNext(p.Last.Add(4 * time.Second)); got != 6*time.Second {
		t.Errorf("next version in %s, want 6s", got)
	}
	if got := p.UntilNext(p.Last.Add(11 * time.Second)); got != 250*time.Millisecond {
		t.Errorf("a version late by 1s is expected for %s, want 250ms", got)
	}
	if got := p.UntilNext(p.Last.Add(12 * time.Second)); got != 0 {
		t.Errorf("a version late by 2s is expected for %s, want 0s", got)
	}
	if got := (PublishRate{}).Expected(start, time.Hour); got != 0 {
		t.Errorf("%d versions are expected without a known interval", got)
	}
}
