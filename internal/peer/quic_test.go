package peer

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/hostkeys"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// quicNode returns a node on a free loopback port, with a certificate signed by the CA in directory authority.
func quicNode(t *testing.T, authority, id string, seeds ...string) *Node {
	t.Helper()
	if err := hostkeys.Write(authority, id); err != nil {
		t.Fatal(err)
	}
	transport, err := ListenQUIC("127.0.0.1:0", settings.TLS{
		CA:          filepath.Join(authority, hostkeys.AuthorityFile),
		Certificate: filepath.Join(authority, id+hostkeys.CertificateSuffix),
		Key:         filepath.Join(authority, id+hostkeys.KeySuffix),
	})
	if err != nil {
		t.Fatal(err)
	}
	address := transport.(*quicTransport).socket.LocalAddr().(*net.UDPAddr).String()
	timing := settings.DefaultTiming()
	timing.PeerRound = 50 * time.Millisecond
	return NewNode(Options{
		Host:      settings.Host{ID: id, PeerAddress: address, SeedPeers: seeds},
		Timing:    timing,
		Transport: transport,
		Log:       logr.Discard(),
		Epoch:     1,
	})
}

func runNodes(t *testing.T, nodes ...*Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	for _, n := range nodes {
		go func() {
			_ = n.Run(ctx)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range nodes {
			<-done
		}
	})
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within 20 s", what)
}

func TestQUICExchange(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("nodes", func(t *testing.T) {
		authority := t.TempDir()
		first := quicNode(t, authority, "h00")
		nodes := make([]*Node, 0, 5)
		nodes = append(nodes, first)
		for i := range 4 {
			nodes = append(nodes, quicNode(t, authority, fmt.Sprintf("h%02d", i+1), first.record.PeerAddress))
		}
		nodes[4].Handle("size", func(_ context.Context, from string, payload []byte) ([]byte, error) {
			return fmt.Appendf(nil, "%s %d", from, len(payload)), nil
		})
		runNodes(t, nodes...)
		for _, n := range nodes {
			waitFor(t, "join of "+n.record.ID, func() bool { return aliveCount(n) == len(nodes) })
		}
		nodes[2].Publish(TopicConfig, "version", []byte("1"), time.Minute)
		for _, n := range nodes {
			waitFor(t, "entry at "+n.record.ID, func() bool { return hasEntry(n, TopicConfig, "version", "1") })
		}
		reply, err := first.Call(t.Context(), "h04", "size", make([]byte, 3<<20))
		if err != nil || string(reply) != "h00 3145728" {
			t.Fatalf("got %q, %v", reply, err)
		}
	})
}

func TestQUICRejectsOtherAuthorities(t *testing.T) {
	mine := quicNode(t, t.TempDir(), "h00")
	stranger := quicNode(t, t.TempDir(), "h01", mine.record.PeerAddress)
	runNodes(t, mine, stranger)
	time.Sleep(time.Second)
	if aliveCount(mine) != 1 || aliveCount(stranger) != 1 {
		t.Error("hosts of different authorities joined")
	}
	_, err := stranger.Call(t.Context(), mine.record.PeerAddress, methodProbe, nil)
	if e := failure.As(err); err == nil || e.Outcome != failure.NotRun {
		t.Errorf("got %v", err)
	}
}
