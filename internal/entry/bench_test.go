package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
)

// BenchmarkAnswer measures the processor time of one entry answer and its size.
func BenchmarkAnswer(b *testing.B) {
	for _, hosts := range []int{13, 104, 370} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			network := peertest.NewNetwork()
			var self *peertest.Exchange
			for i := range hosts {
				id := fmt.Sprintf("entry-%03d", i)
				self = network.Join(peer.Host{
					ID: id, Incarnation: "0123456789abcdef0123456789abcdef", CallerAddress: "10.20.30.40:8000",
					FailureDomain: fmt.Sprintf("domain-%d", i%6), Region: fmt.Sprintf("region-%d", i%2),
				})
			}
			doc := &deployment.Document{Deployment: deployment.Deployment{EntryTTL: time.Minute}}
			selector := New(self, source{doc}, demands{}, rand.New(rand.NewPCG(1, 2)))
			size := 0
			for b.Loop() {
				answer, err := selector.Select("domain-1", time.Unix(1000, 0))
				if err != nil {
					b.Fatal(err)
				}
				body, err := json.Marshal(answer)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes/answer")
		})
	}
}
