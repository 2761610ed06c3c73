package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// fakeMembers is a membership list of the platform that can be down.
type fakeMembers struct {
	list []platform.Member
	down bool
}

func (f *fakeMembers) List(context.Context) ([]platform.Member, error) {
	if f.down {
		return nil, failure.New(failure.StoreUnavailable, failure.NotRun, "down")
	}
	return f.list, nil
}
func (f *fakeMembers) Register(context.Context, platform.Member) error { return nil }
func (f *fakeMembers) Deregister(context.Context, string) error        { return nil }

type noSeeds struct{}

func (noSeeds) Seed(string, string) {}

// host is a View with its Poller in a shared peer network.
type host struct {
	*MergedView
	poller  *Poller
	members *fakeMembers
}

func newHost(network *peertest.Network, id string, list ...platform.Member) host {
	exchange := network.Join(peer.Host{ID: id})
	view := NewMergedView(exchange)
	members := &fakeMembers{list: list}
	poller := &Poller{view: view, members: members, peers: exchange, seeds: noSeeds{}, interval: time.Second, timeout: time.Second, log: logr.Discard()}
	exchange.Handle(MethodList, poller.handleList)
	return host{MergedView: view, poller: poller, members: members}
}

// engine returns the member "e1" of the pool "p".
func engine(incarnation string, state platform.MemberState) platform.Member {
	return platform.Member{ID: "e1", Kind: platform.EngineMember, Pool: "p", State: state, Incarnation: incarnation}
}

// leavingByID returns the leaving flag of each upstream of the pool "p".
func (h host) leavingByID() map[string]bool {
	h.Rebuild()
	out := make(map[string]bool)
	for _, u := range h.Upstreams("p") {
		out[u.ID] = u.Leaving
	}
	return out
}

func expect(t *testing.T, what string, h host, want map[string]bool) {
	t.Helper()
	if diff := cmp.Diff(want, h.leavingByID()); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

func TestLeavingIsSeenByAllHostsWhicheverSignalComes(t *testing.T) {
	live, gone := engine("i", platform.MemberLive), engine("i", platform.MemberLeaving)
	signals := map[string]func(a, b host){
		"refusal at another host":  func(a, _ host) { a.MarkLeaving("e1") },
		"platform at another host": func(a, _ host) { a.members.list[0] = gone; a.poller.Poll(context.Background()) },
		"platform":                 func(_, b host) { b.members.list[0] = gone; b.poller.Poll(context.Background()) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := peertest.NewNetwork()
				a, b := newHost(network, "a", live), newHost(network, "b", live)
				a.poller.Poll(t.Context())
				b.poller.Poll(t.Context())
				expect(t, "before", b, map[string]bool{"e1": false})
				time.Sleep(time.Second)
				signal(a, b)
				expect(t, "after", b, map[string]bool{"e1": true})
			})
		})
	}
}

func TestLeavingMarkEndsWithTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(peertest.NewNetwork(), "a", engine("old", platform.MemberLive))
		h.poller.Poll(t.Context())
		h.MarkLeaving("e1")
		expect(t, "marked", h, map[string]bool{"e1": true})
		time.Sleep(time.Second)
		h.members.list = []platform.Member{engine("new", platform.MemberLive)}
		h.poller.Poll(t.Context())
		expect(t, "restarted", h, map[string]bool{"e1": false})
	})
}

// A replica leaves, restarts, and leaves again within half a minute.
func TestNextIncarnationIsMarkedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		a, b := newHost(network, "a", engine("old", platform.MemberLive)), newHost(network, "b", engine("old", platform.MemberLive))
		for _, incarnation := range []string{"old", "new"} {
			for _, h := range []host{a, b} {
				h.members.list = []platform.Member{engine(incarnation, platform.MemberLive)}
				h.poller.Poll(t.Context())
			}
			expect(t, incarnation+" started", b, map[string]bool{"e1": false})
			a.MarkLeaving("e1")
			expect(t, incarnation+" leaves", b, map[string]bool{"e1": true})
			time.Sleep(time.Second)
		}
	})
}

func TestLeavingMarkEndsUnlessSeenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(peertest.NewNetwork(), "a", engine("i", platform.MemberLive))
		h.poller.Poll(t.Context())
		for range 10 {
			h.MarkLeaving("e1")
			time.Sleep(leavingMarkTTL / 3)
			expect(t, "seen again", h, map[string]bool{"e1": true})
		}
		time.Sleep(leavingMarkTTL)
		expect(t, "not seen again", h, map[string]bool{"e1": false})
	})
}

func TestLastListIsKeptDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(peertest.NewNetwork(), "a", engine("i", platform.MemberLive))
		h.poller.Poll(t.Context())
		h.members.down = true
		time.Sleep(time.Hour)
		h.poller.Poll(t.Context())
		expect(t, "down", h, map[string]bool{"e1": false})
	})
}

// After a restart the platform's list is empty until the members renew their
// registrations.
func TestAbsentMemberIsKeptForAWhile(t *testing.T) {
	for name, outage := range map[string]time.Duration{"without an outage": time.Second, "after an outage": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost(peertest.NewNetwork(), "a", engine("i", platform.MemberLive))
				h.poller.Poll(t.Context())
				time.Sleep(outage)
				h.members.list = nil
				h.poller.Poll(t.Context())
				expect(t, "at once", h, map[string]bool{"e1": false})
				time.Sleep(absentGrace)
				h.poller.Poll(t.Context())
				expect(t, "later", h, map[string]bool{})
			})
		})
	}
}

func TestNewHostTakesTheListFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		old := newHost(network, "a", engine("i", platform.MemberLive))
		old.poller.Poll(t.Context())
		fresh := newHost(network, "b")
		fresh.members.down = true
		if fresh.Ready() {
			t.Error("host without a list is ready")
		}
		fresh.poller.Poll(t.Context())
		if !fresh.Ready() {
			t.Error("the peer's list was not used")
		}
		expect(t, "taken", fresh, map[string]bool{"e1": false})
	})
}

func TestPollsOfALongListKeepToTheByteBudget(t *testing.T) {
	a := newHost(peertest.NewNetwork(), "a")
	for _, members := range []int{0, 12, 37, 970} {
		list := make([]platform.Member, members)
		for i := range list {
			list[i] = platform.Member{ID: fmt.Sprint("e", i), Kind: platform.EngineMember, Pool: "p"}
		}
		a.Update(list, time.Now())
		bytesPerSecond := float64(members*memberBytes) / a.poller.nextInterval().Seconds()
		if a.poller.nextInterval() < a.poller.interval || bytesPerSecond > listBytesPerSecond*1.01 {
			t.Errorf("%d members: a poll every %v reads %.0f bytes a second", members, a.poller.nextInterval(), bytesPerSecond)
		}
	}
}
