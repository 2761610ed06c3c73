// Package member keeps a stand-in registered on the platform's membership list.
package member

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
)

const (
	renewPeriod = time.Second
	checkPeriod = 100 * time.Millisecond
	callTimeout = time.Second
)

// Registration announces one upstream.
type Registration struct {
	// Platform is the platform's ip:port; empty announces nothing.
	Platform string
	// Member is announced; its kind, address, incarnation and state are filled in.
	Member platform.Member
	// Dial opens connections to the platform; nil dials TCP.
	Dial jsonhttp.DialFunc
}

// Duty returns the duty of a stand-in that keeps it registered as a member of
// a kind under the incarnation of its process.
func (r Registration) Duty(server *control.Server, kind platform.MemberKind, incarnation string) func(context.Context) error {
	r.Member.Kind = kind
	r.Member.Incarnation = incarnation
	return func(ctx context.Context) error { return r.run(ctx, server) }
}

// run renews the registration until ctx ends, announces that the upstream
// leaves as soon as the server does, and at last removes it. It does nothing
// while the server is down or frozen, as a dead process would not either.
func (r Registration) run(ctx context.Context, server *control.Server) error {
	if r.Platform == "" {
		return nil
	}
	client := jsonhttp.NewClient(callTimeout, r.Dial)
	defer client.CloseIdle()
	url := "http://" + r.Platform + platform.PathMembers
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	var renewed time.Time
	announced := platform.MemberState("")
	for {
		state := platform.MemberLive
		if server.Leaving() {
			state = platform.MemberLeaving
		}
		due := time.Since(renewed) >= renewPeriod || state != announced
		if due && server.Reachable() {
			m := r.Member
			m.Address = server.Address()
			m.State = state
			if _, err := client.Do(fasthttp.MethodPost, url, m, nil); err == nil {
				renewed, announced = time.Now(), state
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if announced == platform.MemberLeaving {
				_, _ = client.Do(fasthttp.MethodDelete, url+"/"+r.Member.ID, nil, nil)
			}
			return nil
		}
	}
}
