package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
)

type source struct{ doc *deployment.Document }

func (s source) Current() *deployment.Document { return s.doc }
func (s source) Changed() <-chan struct{}      { return nil }

type demands map[string]float64

func (d demands) DemandByHost() map[string]float64 { return d }

type fixture struct {
	exchanges map[string]*peertest.Exchange
	selector  *HostSelector
}

// newFixture joins hosts a1, a2 and b1 of region north, and c1 of region south; a1 answers.
func newFixture(d demands) *fixture {
	network := peertest.NewNetwork()
	f := &fixture{exchanges: make(map[string]*peertest.Exchange)}
	for id, region := range map[string]string{"a1": "north", "a2": "north", "b1": "north", "c1": "south"} {
		f.exchanges[id] = network.Join(peer.Host{ID: id, Incarnation: id + "x", CallerAddress: id + ":80", FailureDomain: id[:1], Region: region})
	}
	doc := &deployment.Document{Deployment: deployment.Deployment{EntryTTL: time.Hour}}
	f.selector = New(f.exchanges["a1"], source{doc}, d, rand.New(rand.NewPCG(1, 2)))
	return f
}

func (f *fixture) order(t *testing.T, domain string) []string {
	t.Helper()
	answer, err := f.selector.Select(domain, time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	return lo.Map(answer.Hosts, func(h entryapi.EntryHost, _ int) string { return h.ID })
}

func TestOwnFailureDomainComesFirstThenTheRegion(t *testing.T) {
	f := newFixture(nil)
	for range 20 {
		if got := f.order(t, "b"); got[0] != "b1" || got[3] != "c1" {
			t.Error(got)
		}
		if got := f.order(t, "c"); got[0] != "c1" {
			t.Error(got)
		}
	}
}

func TestDrainingAndUnreachableHostsAreExcluded(t *testing.T) {
	f := newFixture(nil)
	f.exchanges["a2"].SetDraining()
	f.exchanges["b1"].SetState(peer.StateDead)
	f.exchanges["c1"].SetState(peer.StateSuspect)
	if diff := cmp.Diff([]string{"a1"}, f.order(t, "a")); diff != "" {
		t.Error(diff)
	}
	f.exchanges["a1"].SetDraining()
	if _, err := f.selector.Select("a", time.Now()); !failure.IsKind(err, failure.Draining) {
		t.Error(err)
	}
}

func TestCallersAreSpreadAwayFromBusyHosts(t *testing.T) {
	f := newFixture(demands{"a1": 9})
	first := 0
	const rounds = 1000
	for range rounds {
		if slices.Index(f.order(t, "a"), "a1") == 0 {
			first++
		}
	}
	// The busy host has a tenth of the idle one's weight.
	if first < rounds/20 || first > rounds/6 {
		t.Errorf("the busy host was first in %d of %d answers, want about a tenth of its group", first, rounds)
	}
}

// Keys made with an answer age from the time of the answer, so its time to live is
// limited whatever the document sets.
func TestTimeToLiveIsLimitedAndKeyPrefixHasTheTime(t *testing.T) {
	answer, err := newFixture(nil).selector.Select("a", time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	if answer.TTLMillis != entryapi.MaxTTL.Milliseconds() || answer.Hosts[0].KeyPrefix != "home-"+answer.Hosts[0].ID+"x.1000." {
		t.Errorf("%+v", answer)
	}
}

func TestShortenedAnswerCoversAllFailureDomains(t *testing.T) {
	network := peertest.NewNetwork()
	var self *peertest.Exchange
	for domain := range 6 {
		for i := range 60 {
			letter := string(rune('a' + domain))
			id := fmt.Sprintf("%s%d", letter, i)
			self = network.Join(peer.Host{ID: id, CallerAddress: id + ":80", FailureDomain: letter})
		}
	}
	doc := &deployment.Document{Deployment: deployment.Deployment{EntryTTL: time.Second}}
	answer, err := New(self, source{doc}, demands{}, rand.New(rand.NewPCG(1, 2))).Select("a", time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	domains := lo.CountValuesBy(answer.Hosts, func(h entryapi.EntryHost) string { return h.FailureDomain })
	if want := map[string]int{"a": 8, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1}; !cmp.Equal(want, domains) {
		t.Errorf("hosts by failure domain: %v, want %v", domains, want)
	}
}
