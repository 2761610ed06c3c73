package weights

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
)

// An engine runs one version for longer than an announcement lasts. A host that starts
// then must learn the version too.
func TestRunningVersionIsAnnouncedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		w := NewWatcher(logr.Discard(), nil, nil, network.Join(peer.Host{ID: "a"}), nil)
		for began := time.Now(); time.Since(began) < 3*runningTTL/2; time.Sleep(10 * time.Second) {
			w.observe("e1", 4, time.Now())
		}
		late := NewWatcher(logr.Discard(), nil, nil, network.Join(peer.Host{ID: "b"}), nil)
		late.readPeers()
		if version, known := late.Running("e1"); !known || version != 4 {
			t.Errorf("a host that started after %s knows version %d (%t), want 4", 3*runningTTL/2, version, known)
		}
	})
}
