package routing

import "encoding/binary"

const (
	// loadBoundFactor and loadBoundSlack set the load above which a replica
	// scores 0: loadBoundFactor times the average load plus loadBoundSlack.
	loadBoundFactor = 1.25
	loadBoundSlack  = 0.25
	// rendezvousBlocks is the number of leading blocks that are hashed to choose
	// the replica of an uncached prompt.
	rendezvousBlocks = 4
	// rendezvousScore is the score of that replica.
	rendezvousScore = 0.25
)

// prefixScorer prefers the replicas with the longest part of the prompt in
// their cache. If no replica has cached any of it, it prefers the one chosen by
// rendezvous hashing, which is the same on all hosts. Replicas with a load far
// above the average score 0, which spreads a popular prefix over several.
type prefixScorer struct{}

func (prefixScorer) Name() string { return "prefix" }

func (prefixScorer) Score(req *Request, in []*Candidate, out []float64) {
	clear(out)
	if len(req.Prefix) == 0 {
		return
	}
	bound := loadBoundFactor*averageLoad(in) + loadBoundSlack
	preferred, highest := -1, uint64(0)
	anyCached := false
	head := headOf(req.Prefix)
	for i, c := range in {
		if c.Load > bound {
			continue
		}
		out[i] = float64(c.CachedBlocks) / float64(len(req.Prefix))
		anyCached = anyCached || c.CachedBlocks > 0
		if weight := rendezvousWeight(head, c.ID); preferred < 0 || weight > highest {
			preferred, highest = i, weight
		}
	}
	if !anyCached && preferred >= 0 {
		out[preferred] = rendezvousScore
	}
}

func averageLoad(in []*Candidate) float64 {
	sum := 0.0
	for _, c := range in {
		sum += c.Load
	}
	return sum / float64(len(in))
}

// headOf returns the hash key of the beginning of a prompt.
func headOf(prefix []uint64) string {
	block := prefix[min(len(prefix), rendezvousBlocks)-1]
	return string(binary.LittleEndian.AppendUint64(nil, block))
}
