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
	pushMethod = "config.push"
	// pushCopies is the number of hosts that get an accepted version before the operator is answered.
	pushCopies  = 3
	pushTimeout = time.Second
)

// pusher hands an accepted version to a few other hosts. With it, a version that
// an operator was told of outlives its host even if the store goes down at once.
type pusher struct {
	log      logr.Logger
	exchange peer.Exchange
}

// push calls the chosen hosts at once and returns how many have the version in force.
func (p *pusher) push(ctx context.Context, record Record) int {
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
	for _, host := range p.choose() {
		calls.Go(func() {
			if _, err := p.exchange.Call(ctx, host.ID, pushMethod, payload); err != nil {
				p.log.Info("accepted version not handed over", "version", record.Version, "peer", host.ID, "error", err.Error())
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

// choose returns live hosts, those of other failure domains first and one of each domain before a second.
func (p *pusher) choose() []peer.Host {
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

// pushHandler puts a version in force that another host accepted.
type pushHandler struct{ source *Source }

func (h *pushHandler) handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var record Record
	if err := msgpack.Unmarshal(payload, &record); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "", "pushed version cannot be read")
	}
	return nil, h.source.apply(record, viaPeer)
}
