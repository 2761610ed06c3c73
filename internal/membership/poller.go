package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// MethodList is the peer method that returns a host's membership list.
const MethodList = "membership.list"

// askPeersAfter is the age of this host's list from which a peer is asked for its list.
const askPeersAfter = 5 * time.Second

const (
	// memberBytes is the approximate size of one member on the wire.
	memberBytes = 200
	// listBytesPerSecond bounds the average rate at which one host reads the list.
	// With a long list each host polls rarely, but all hosts together poll often,
	// and each tells the others which upstreams are leaving.
	listBytesPerSecond = 4 << 10
)

// listReply is the reply to MethodList.
type listReply struct {
	// AgeMillis is the age of the list, in milliseconds; negative if the host has none.
	AgeMillis int64
	Members   []platform.Member
}

// Poller updates a MergedView from the platform, or from peers while the platform
// does not answer.
type Poller struct {
	view     *MergedView
	members  platform.Members
	peers    peer.Exchange
	seeds    peer.Seeder
	interval time.Duration
	timeout  time.Duration
	log      logr.Logger

	failing bool
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			p.Poll(ctx)
			timer.Reset(jittered(p.nextInterval()))
		}
	}
}

// nextInterval returns the time until the next poll. It grows with the length of
// the list.
func (p *Poller) nextInterval() time.Duration {
	list, _ := p.view.List()
	budgeted := time.Duration(len(list)*memberBytes) * time.Second / listBytesPerSecond
	return max(p.interval, budgeted)
}

// jittered returns interval changed by up to ±10 %, which spreads the polls of
// many hosts.
func jittered(interval time.Duration) time.Duration {
	tenth := int64(interval) / 10
	return interval + time.Duration(rand.Int64N(2*tenth+1)-tenth)
}

// Poll updates the view from the platform's list. If the platform does not answer
// and the view has no list or one older than askPeersAfter, Poll asks a random peer.
func (p *Poller) Poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, p.timeout)
	list, err := p.members.List(callCtx)
	cancel()
	if err == nil {
		p.logRecovered()
		p.view.Update(list, time.Now())
		p.seedHosts(list)
		return
	}
	p.logFailed(err)
	if _, listed := p.view.List(); time.Since(listed) > askPeersAfter {
		p.askPeer(ctx)
	}
}

func (p *Poller) logRecovered() {
	if p.failing {
		p.log.Info("membership list answers again")
	}
	p.failing = false
}

func (p *Poller) logFailed(err error) {
	if !p.failing {
		p.log.Info("membership list does not answer; the last one stays in force", "error", err.Error())
	}
	p.failing = true
}

// askPeer updates the view from the list of a random live host. The view ignores a
// list that is not newer than its own.
func (p *Poller) askPeer(ctx context.Context) {
	self := p.peers.Self().ID
	alive := lo.Filter(p.peers.Hosts(), func(h peer.Host, _ int) bool { return h.ID != self && h.State == peer.StateAlive })
	if len(alive) == 0 {
		return
	}
	host := alive[rand.IntN(len(alive))]
	callCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	payload, err := p.peers.Call(callCtx, host.ID, MethodList, nil)
	if err != nil {
		return
	}
	var reply listReply
	if err = msgpack.Unmarshal(payload, &reply); err != nil || reply.AgeMillis < 0 {
		return
	}
	p.view.Update(reply.Members, time.Now().Add(-time.Duration(reply.AgeMillis)*time.Millisecond))
	p.seedHosts(reply.Members)
}

// seedHosts passes the peer addresses of the listed hosts to the peer exchange.
func (p *Poller) seedHosts(list []platform.Member) {
	for _, m := range list {
		if m.Kind == platform.HostMember && m.PeerAddress != "" {
			p.seeds.Seed(m.ID, m.PeerAddress)
		}
	}
}

// handleList is the peer.Handler of MethodList.
func (p *Poller) handleList(_ context.Context, _ string, _ []byte) ([]byte, error) {
	list, listed := p.view.List()
	reply := listReply{AgeMillis: -1, Members: list}
	if !listed.IsZero() {
		reply.AgeMillis = time.Since(listed).Milliseconds()
	}
	payload, err := msgpack.Marshal(&reply)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "can't encode the membership list")
	}
	return payload, nil
}
