package config

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
	"github.com/sapphirehatch/sapphirehatch/internal/platform/platformtest"
)

// inForceBound is the time within which an accepted version must be in force on every host.
const inForceBound = 7 * time.Second

func startHosts(t *testing.T, n int, table *platformtest.Table, network *peertest.Network) []*testHost {
	hosts := make([]*testHost, n)
	for i := range hosts {
		hosts[i] = newTestHost(fmt.Sprint("h", i), table, network)
		hosts[i].start(t.Context())
	}
	return hosts
}

func versions(hosts []*testHost) []uint64 {
	got := make([]uint64, len(hosts))
	for i, host := range hosts {
		got[i] = host.source.Record().Version
	}
	return got
}

func wantVersions(t *testing.T, hosts []*testHost, want uint64) {
	t.Helper()
	for _, got := range versions(hosts) {
		if got != want {
			t.Errorf("in force are %v, want %d everywhere", versions(hosts), want)
			return
		}
	}
}

func TestVersionPropagatesByPeersWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		network := peertest.NewNetwork()
		hosts := startHosts(t, 4, table, network)
		if _, err := hosts[0].committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
			t.Fatal(err)
		}
		table.FailAll(platformtest.Down)
		time.Sleep(inForceBound)
		wantVersions(t, hosts, 1)
		newcomer := newTestHost("new", table, network)
		newcomer.start(t.Context())
		time.Sleep(inForceBound)
		wantVersions(t, []*testHost{newcomer}, 1)
	})
}

// The committing host and the store both fail right after a change was accepted.
func TestAcceptedVersionSurvivesLossOfHostAndStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		network := peertest.NewNetwork()
		network.SetDelay(time.Second)
		hosts := startHosts(t, 8, table, network)
		if _, err := hosts[0].committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
			t.Fatal(err)
		}
		table.FailAll(platformtest.Down)
		hosts[0].exchange.SetPartitioned(true)
		time.Sleep(inForceBound)
		wantVersions(t, hosts, 1)
	})
}

func TestPushPrefersOtherFailureDomains(t *testing.T) {
	network := peertest.NewNetwork()
	self := network.Join(peer.Host{ID: "a", FailureDomain: "x"})
	for _, h := range []peer.Host{
		{ID: "b", FailureDomain: "x"}, {ID: "c", FailureDomain: "y"}, {ID: "d", FailureDomain: "y"}, {ID: "e", FailureDomain: "z"},
		{ID: "dead", FailureDomain: "w", State: peer.StateDead}, {ID: "leaving", FailureDomain: "v", Draining: true},
	} {
		network.Join(h)
	}
	for range 20 {
		chosen := (&pusher{exchange: self}).chooseHosts()
		if len(chosen) != pushCopies || chosen[0].FailureDomain == chosen[1].FailureDomain ||
			chosen[0].FailureDomain == "x" || chosen[1].FailureDomain == "x" || chosen[2].State == peer.StateDead || chosen[2].Draining {
			t.Fatalf("chosen are %+v", chosen)
		}
	}
}

func TestVersionPropagatesByStoreWhilePeersAreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := startHosts(t, 4, platformtest.NewTable(), peertest.NewNetwork())
		for _, host := range hosts {
			host.exchange.SetPartitioned(true)
		}
		if _, err := hosts[0].committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceBound)
		wantVersions(t, hosts, 1)
	})
}

func TestStoreWithOlderVersionIsRestoredAndNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		hosts := startHosts(t, 3, table, peertest.NewNetwork())
		if _, err := hosts[0].committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
			t.Fatal(err)
		}
		old := table.Snapshot()
		if _, err := hosts[0].committer.Commit(t.Context(), change("c2", 1, 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceBound)
		table.Restore(old)
		time.Sleep(inForceBound)
		wantVersions(t, hosts, 2)
		head, _, err := hosts[1].poller.store.head(t.Context())
		if err != nil || head.Version != 2 || head.ChangeID != "c2" {
			t.Errorf("the store has %+v, error %v, want version 2", head, err)
		}
	})
}

func TestTwoLongOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		hosts := startHosts(t, 4, table, peertest.NewNetwork())
		if _, err := hosts[0].committer.Commit(t.Context(), change("c0", 0, 1)); err != nil {
			t.Fatal(err)
		}
		for outage := range uint64(2) {
			id := fmt.Sprint("c", outage+1)
			table.FailAll(platformtest.Down)
			time.Sleep(10 * time.Minute)
			wantVersions(t, hosts, outage+1)
			for _, host := range hosts {
				if host.isolation.Isolated() {
					t.Error("a host in contact with its peers is isolated")
				}
			}
			if _, err := hosts[1].committer.Commit(t.Context(), change(id, outage+1, 2)); !failure.IsKind(err, failure.StoreUnavailable) {
				t.Errorf("change during the outage: %v", err)
			}
			table.FailAll(platformtest.None)
			if _, err := hosts[2].committer.Commit(t.Context(), change(id, outage+1, 2)); err != nil {
				t.Errorf("the same change after the outage: %v", err)
			}
			time.Sleep(inForceBound)
			wantVersions(t, hosts, outage+2)
		}
	})
}

func TestRestoreDoesNotOverwriteAnotherDeployment(t *testing.T) {
	table := platformtest.NewTable()
	host := newTestHost("a", table, peertest.NewNetwork())
	other := Change{ID: "x", Operator: "ole", Text: []byte("[deployment]\nname = other\n")}
	if _, err := newTestHost("b", table, peertest.NewNetwork()).committer.Commit(t.Context(), other); err != nil {
		t.Fatal(err)
	}
	text := string(documentText(1))
	host.source.apply(Record{VersionInfo: VersionInfo{Version: 5, Hash: HashText([]byte(text))}, Text: text}, originPeer)
	if err := host.poller.pollOnce(t.Context()); err == nil {
		t.Error("a host wrote into the store of another deployment")
	}
	if head, _, _ := host.poller.store.head(t.Context()); head.Version != 1 {
		t.Errorf("the store has version %d, want 1", head.Version)
	}
}

func TestApplyRejectsDocumentWithWrongHash(t *testing.T) {
	host := newTestHost("a", platformtest.NewTable(), peertest.NewNetwork())
	record := Record{VersionInfo: VersionInfo{Version: 1, Hash: HashText(documentText(1))}, Text: string(documentText(2))}
	if err := host.source.apply(record, originPeer); err == nil || host.source.Current() != nil {
		t.Errorf("error %v, in force %v", err, host.source.Current())
	}
}

func TestIsolation(t *testing.T) {
	bound := newTestHost("x", platformtest.NewTable(), peertest.NewNetwork()).isolation.isolationBound
	tests := []struct {
		name      string
		cut, down bool
		isolated  bool
	}{
		{"store and peers answer", false, false, false},
		{"only peers answer", false, true, false},
		{"only the store answers", true, false, false},
		{"nobody answers", true, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := platformtest.NewTable()
				host := startHosts(t, 2, table, peertest.NewNetwork())[0]
				time.Sleep(bound)
				if test.down {
					table.FailAll(platformtest.Down)
				}
				host.exchange.SetPartitioned(test.cut)
				time.Sleep(bound)
				if test.isolated && host.isolation.Isolated() {
					t.Error("isolated before the bound")
				}
				time.Sleep(time.Second)
				if got := host.isolation.Isolated(); got != test.isolated {
					t.Errorf("isolated is %v, want %v", got, test.isolated)
				}
				table.FailAll(platformtest.None)
				time.Sleep(bound)
				if host.isolation.Isolated() {
					t.Error("still isolated after the store came back")
				}
			})
		})
	}
}

func TestStatusShowsOutdatedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		network.SetDelay(time.Second)
		hosts := startHosts(t, 3, platformtest.NewTable(), network)
		if _, err := hosts[0].committer.Commit(t.Context(), change("c1", 0, 1)); err != nil {
			t.Fatal(err)
		}
		if hosts[0].reader.Status().Everywhere {
			t.Error("in force everywhere before the other hosts announced it")
		}
		time.Sleep(inForceBound)
		status := hosts[0].reader.Status()
		if !status.Everywhere || len(status.Hosts) != 3 || status.Hosts[2].Version != 1 {
			t.Errorf("status %+v", status)
		}
		network.SetDelay(0)
		hosts[2].exchange.Withdraw(peer.TopicConfig, announcementKey)
		hosts[2].exchange.SetState(peer.StateSuspect)
		if hosts[0].reader.Status().Everywhere {
			t.Error("a suspected host without an announcement counts as current")
		}
		hosts[2].exchange.SetState(peer.StateDead)
		if !hosts[0].reader.Status().Everywhere {
			t.Error("a dead host is expected to have the version")
		}
	})
}

func TestApplyNeverLowersVersion(t *testing.T) {
	host := newTestHost("a", platformtest.NewTable(), peertest.NewNetwork())
	for _, version := range []uint64{3, 2, 3, 1, 4} {
		text := documentText(int(version))
		before := host.source.Record().Version
		if err := host.source.apply(Record{VersionInfo: VersionInfo{Version: version, Hash: HashText(text)}, Text: string(text)}, originPeer); err != nil {
			t.Fatal(err)
		}
		if got := host.source.Current().Version; got != max(before, version) {
			t.Errorf("version %d is in force after %d and %d", got, before, version)
		}
	}
}
