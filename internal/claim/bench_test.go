package claim

import (
	"context"
	"strconv"
	"testing"
	"time"
)

// BenchmarkClaim measures Begin and Finish without the latency of a real table,
// which is added to each caller-made key.
func BenchmarkClaim(b *testing.B) {
	for name, prefix := range map[string]string{"caller-made": "order-", "home-bound": KeyPrefix("a1", time.Now())} {
		b.Run(name, func(b *testing.B) {
			c := newCluster()
			host := c.host("a", "a1")
			resp := answerWith("booked")
			b.ReportAllocs()
			for i := range b.N {
				key, err := ParseKey(prefix + strconv.Itoa(i))
				if err != nil {
					b.Fatal(err)
				}
				claim, _, err := host.Begin(context.Background(), Request{Tenant: "depot", Key: key})
				if err != nil {
					b.Fatal(err)
				}
				claim.Finish(nil, resp)
				for host.unwritten.Len() > 0 {
					<-host.unwritten.Items()
				}
				if len(host.records.byNonce) == maxRecords {
					b.StopTimer()
					host.records = newRecordStore()
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(c.table.writes)/float64(b.N), "writes/op")
		})
	}
}
