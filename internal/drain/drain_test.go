package drain

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

type announcer struct{}

func (announcer) SetDraining() {}

// A stream is accepted right before the host refuses new requests, and its answer is
// handed to a writer right after that. The host must wait for the writer.
func TestStopWaitsForAStreamThatBeganRightBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(announcer{}, func() time.Duration { return time.Second }, logr.Discard(), 10*time.Second)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			d.Stop()
		}()
		time.Sleep(1900 * time.Millisecond)
		if !d.Begin() {
			t.Fatal("a request within the time to live is refused")
		}
		time.Sleep(200 * time.Millisecond)
		if d.Begin() {
			t.Fatal("a request after the time to live is accepted")
		}
		d.Extend()
		d.End()
		time.Sleep(3 * time.Second)
		if n := d.InFlight(); n != 1 {
			t.Errorf("%d requests are in flight while one stream is written", n)
		}
		select {
		case <-stopped:
			t.Error("the host stopped while a stream was written")
		default:
		}
		d.End()
		synctest.Wait()
		select {
		case <-stopped:
		default:
			t.Error("the host goes on after its last stream")
		}
	})
}
