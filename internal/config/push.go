package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// pushMethod is the peer call that puts an accepted version in force on another host.
	pushMethod = "config.push"
	// pushCopies is the number of hosts to which an accepted version is pushed before the operator gets an answer.
	pushCopies  = 3
	pushTimeout = time.Second // bounds all calls that push one version
)

// pusher pushes an accepted version to a few other hosts. An accepted version is
// thus not lost if the committing host and the store fail right after.
type pusher struct {
	log      logr.Logger
	exchange peer.Exchange
}

// pushToPeers calls the chosen hosts in parallel and returns how many of them
// confirmed that this or a higher version is in force.
func (p *pusher) pushToPeers(ctx context.Context, record Record) int {
	payload, err := msgpack.Marshal(record)
	if err != nil {
		p.log.Error(err, "accepted version cannot be encoded", "version", record.Version)
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	confirmed := 0
	for _, host := range p.chooseHosts() {
		calls.Go(func() {
			if _, err := p.exchange.Call(ctx, host.ID, pushMethod, payload); err != nil {
				p.log.Info("accepted version not pushed", "version", record.Version, "peer", host.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed++
		})
	}
	calls.Wait()
	return confirmed
}

// chooseHosts returns up to pushCopies live hosts that are not draining, in random
// order. Hosts whose failure domain differs from this host's and from those of the
// hosts before them come first.
func (p *pusher) chooseHosts() []peer.Host {
	self := p.exchange.Self()
	hosts := lo.Filter(p.exchange.Hosts(), func(h peer.Host, _ int) bool {
		return h.ID != self.ID && h.State == peer.StateAlive && !h.Draining
	})
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	taken := map[string]bool{self.FailureDomain: true}
	var first, rest []peer.Host
	for _, h := range hosts {
		if taken[h.FailureDomain] {
			rest = append(rest, h)
			continue
		}
		taken[h.FailureDomain] = true
		first = append(first, h)
	}
	first = append(first, rest...)
	return first[:min(pushCopies, len(first))]
}

// pushHandler serves pushMethod.
type pushHandler struct{ source *Source }

func (h *pushHandler) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var record Record
	if err := msgpack.Unmarshal(payload, &record); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "", "pushed version cannot be decoded")
	}
	return nil, h.source.apply(record, originPeer)
}
