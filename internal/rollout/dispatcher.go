package rollout

import (
	"context"
	"sync"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// peerHosts is the part of peer.Exchange that a dispatcher uses.
type peerHosts interface {
	peerCaller
	Self() peer.Host
	Hosts() []peer.Host
}

// dispatcher distributes jobs over the hosts. This bounds the streams of a step on one host,
// and lets the hosts together reach all replicas of a pool. assigned holds the number of running
// jobs that this dispatcher assigned, by host id.
type dispatcher struct {
	peers peerHosts
	local *localRunner

	mu       sync.Mutex
	assigned map[string]int
	remotes  map[string]*remoteRunner
}

func newDispatcher(peers peerHosts, local *localRunner) *dispatcher {
	return &dispatcher{peers: peers, local: local, assigned: map[string]int{}, remotes: map[string]*remoteRunner{}}
}

// newJobRunner returns the jobRunner for a policy.
func newJobRunner(policy Policy, peers peerHosts, local *localRunner) jobRunner {
	if policy.Spread {
		return newDispatcher(peers, local)
	}
	return local
}

// run runs a job on the host with the fewest assigned jobs. If another host refuses the job
// without running it, the job runs on this host.
func (d *dispatcher) run(ctx context.Context, j job, p *progress) outcome {
	hostID := d.assign()
	defer d.release(hostID)
	if hostID == d.peers.Self().ID {
		return d.local.run(ctx, j, p)
	}
	end := d.remote(hostID).run(ctx, j, p)
	if end.Err != nil && end.Err.Kind == failure.PeerUnreachable && end.Err.Outcome == failure.NotRun && ctx.Err() == nil {
		return d.local.run(ctx, j, p)
	}
	return end
}

// assign picks the alive host that is not draining and has the fewest assigned jobs, and counts
// the job there. This host wins a tie, and may be picked even while it is draining.
func (d *dispatcher) assign() string {
	self := d.peers.Self().ID
	hosts := d.peers.Hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	best := self
	for _, h := range hosts {
		if h.State == peer.StateAlive && !h.Draining && d.assigned[h.ID] < d.assigned[best] {
			best = h.ID
		}
	}
	d.assigned[best]++
	return best
}

func (d *dispatcher) release(hostID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assigned[hostID]--
	if d.assigned[hostID] == 0 {
		delete(d.assigned, hostID)
	}
}

func (d *dispatcher) remote(hostID string) *remoteRunner {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.remotes[hostID]
	if !ok {
		r = &remoteRunner{hostID: hostID, peers: d.peers, jobs: map[string]*remoteJob{}}
		d.remotes[hostID] = r
	}
	return r
}
