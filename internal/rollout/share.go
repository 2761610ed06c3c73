package rollout

import (
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

const (
	// demandInterval is the time between two announcements of a trainer's demand.
	demandInterval = time.Second
	// demandTTL is how long an announced demand counts if it is not renewed.
	demandTTL = 5 * time.Second
)

// demand is the value of a peer.TopicRollout entry. The key is the trainer's name.
type demand struct {
	// Rollouts is the number of rollouts in flight or ready to be started, plus capacity for
	// hedges.
	Rollouts int `json:"rollouts"`
}

// peerTopics is the part of peer.Exchange that a fairShare uses.
type peerTopics interface {
	Publish(topic peer.Topic, key string, value []byte, ttl time.Duration)
	Entries(topic peer.Topic) []peer.Entry
}

// fairShare divides the rollouts in flight on an engine pool among the trainers that use it.
type fairShare struct {
	docs  deployment.Source
	peers peerTopics

	mu        sync.Mutex
	announced map[string]time.Time
}

func newFairShare(docs deployment.Source, peers peerTopics) *fairShare {
	return &fairShare{docs: docs, peers: peers, announced: map[string]time.Time{}}
}

// allowed returns how many rollouts a trainer may have in flight. It also announces the
// trainer's demand.
func (sh *fairShare) allowed(trainer string, inFlight, waiting int) int {
	doc := sh.docs.Current()
	if doc == nil {
		return 0
	}
	cfg, ok := doc.Trainers[trainer]
	if !ok {
		return 0
	}
	// The demand includes capacity for hedges.
	own := inFlight + waiting
	own += 1 + int(math.Ceil(float64(own)*hedgeBudgetRatio))
	sh.announce(trainer, own)
	demands := map[string]int{trainer: own}
	for _, entry := range sh.peers.Entries(peer.TopicRollout) {
		other, ok := doc.Trainers[entry.Key]
		var d demand
		if !ok || entry.Key == trainer || other.EnginePool != cfg.EnginePool || json.Unmarshal(entry.Value, &d) != nil {
			continue
		}
		demands[entry.Key] = max(demands[entry.Key], d.Rollouts)
	}
	return divide(doc.Trainers, demands)[trainer]
}

func (sh *fairShare) announce(trainer string, rollouts int) {
	sh.mu.Lock()
	due := time.Since(sh.announced[trainer]) >= demandInterval
	if due {
		sh.announced[trainer] = time.Now()
	}
	sh.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(demand{Rollouts: rollouts})
	if err != nil {
		return
	}
	sh.peers.Publish(peer.TopicRollout, trainer, value, demandTTL)
}

// divide divides the capacity of one engine pool, in rollouts in flight, among the trainers with
// demand, in proportion to their Share (at least 1). The capacity is the largest MaxInFlight of
// these trainers. What a trainer cannot use goes to the others. Each gets at least one.
func divide(trainers map[string]deployment.Trainer, demands map[string]int) map[string]int {
	shares := map[string]int{}
	unsatisfied := map[string]int{}
	capacity := 0
	for name, wanted := range demands {
		cfg := trainers[name]
		if wanted > 0 {
			unsatisfied[name] = min(wanted, cfg.MaxInFlight)
			capacity = max(capacity, cfg.MaxInFlight)
		}
	}
	for len(unsatisfied) > 0 {
		weights := 0
		for name := range unsatisfied {
			weights += max(1, trainers[name].Share)
		}
		satisfied := false
		for name, wanted := range unsatisfied {
			share := capacity * max(1, trainers[name].Share) / weights
			if wanted <= share {
				shares[name] = wanted
				satisfied = true
			}
		}
		if !satisfied {
			for name := range unsatisfied {
				shares[name] = max(1, capacity*max(1, trainers[name].Share)/weights)
			}
			return shares
		}
		for name := range unsatisfied {
			if share, ok := shares[name]; ok {
				capacity -= share
				delete(unsatisfied, name)
			}
		}
	}
	return shares
}
