package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

type noLeaving struct{}

func (noLeaving) MarkLeaving(string) {}

// An exchange that was paused past its dispatch time, here while dialing, must
// not send its request.
func TestNothingIsSentAfterDispatchBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		received := 0
		go func() {
			buffer := make([]byte, 1024)
			for {
				n, err := far.Read(buffer)
				received += n
				if err != nil {
					return
				}
			}
		}()
		timing := settings.DefaultTiming()
		timing.DialTimeout = time.Minute
		paused := func(context.Context, string) (net.Conn, error) {
			time.Sleep(2 * time.Second)
			return near, nil
		}
		client := NewClient(paused, timing, noLeaving{})
		ctx := WithDispatchBy(t.Context(), time.Now().Add(time.Second))
		req, resp := new(fasthttp.Request), new(fasthttp.Response)
		req.SetRequestURI("/bookings")
		err := client.Do(ctx, membership.Upstream{ID: "u1", Address: "127.0.0.1:1"}, req, resp)
		if e := failure.As(err); e.Outcome != failure.NotRun {
			t.Error(err)
		}
		synctest.Wait()
		if received != 0 {
			t.Errorf("the upstream received %d bytes, want 0", received)
		}
	})
}
