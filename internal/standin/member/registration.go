// Package member registers a stand-in on the platform's membership list and renews the registration.
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
	// renewPeriod is the time between two renewals. A change of state is announced at once.
	renewPeriod = time.Second
	// checkPeriod is the time between two checks of the state.
	checkPeriod = 100 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = time.Second
)

// Registration describes the entry of one upstream on the membership list.
type Registration struct {
	// Platform is the platform's ip:port. If it is empty, the upstream is not registered.
	Platform string
	// Member is the entry. Kind, Address, Incarnation and State are set by this package.
	Member platform.Member
	// Dial opens connections to the platform. Nil dials TCP.
	Dial jsonhttp.DialFunc
}

// KeepRegistered returns a background task for control.Server.Run that keeps the
// stand-in registered as a member of the given kind. incarnation identifies its
// process.
func (r Registration) KeepRegistered(server *control.Server, kind platform.MemberKind, incarnation string) func(context.Context) error {
	r.Member.Kind = kind
	r.Member.Incarnation = incarnation
	return func(ctx context.Context) error { return r.run(ctx, server) }
}

// run renews the registration until ctx ends. It sets the state to
// platform.MemberLeaving once the server refuses new requests, and removes the
// entry at the end if that state was registered. While the server is down or
// frozen it does nothing, because a dead process would not renew either: the
// entry then expires.
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
