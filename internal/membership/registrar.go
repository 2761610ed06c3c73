package membership

import (
	"context"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// pollsPerRenewal is the number of poll intervals between two registrations of this
// host.
const pollsPerRenewal = 2

// deregisterTimeout bounds the deregistration at a stop.
const deregisterTimeout = 500 * time.Millisecond

// Registrar registers this host in the platform's membership list and renews the
// registration.
type Registrar struct {
	members  platform.Members
	peers    peer.Exchange
	host     settings.Host
	interval time.Duration
	timeout  time.Duration
}

// Run registers this host repeatedly until ctx ends, then deregisters it.
func (r *Registrar) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.renew(ctx)
			timer.Reset(jittered(r.interval))
		case <-ctx.Done():
			r.deregister()
			return nil
		}
	}
}

// renew registers this host. A failure is not logged, because the poller logs
// outages of the platform and the next renewal tries again.
func (r *Registrar) renew(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	_ = r.members.Register(callCtx, r.member())
}

func (r *Registrar) member() platform.Member {
	self := r.peers.Self()
	state := platform.MemberLive
	if self.Draining {
		state = platform.MemberLeaving
	}
	return platform.Member{
		ID:            r.host.ID,
		Kind:          platform.HostMember,
		Address:       r.host.CallerAddress,
		PeerAddress:   r.host.PeerAddress,
		FailureDomain: r.host.FailureDomain,
		Region:        r.host.Region,
		State:         state,
		Incarnation:   self.Incarnation,
	}
}

func (r *Registrar) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	_ = r.members.Deregister(ctx, r.host.ID)
}
