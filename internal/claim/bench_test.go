package claim

import (
	"context"
	"strconv"
	"testing"
	"time"
)

// BenchmarkClaim measures the claim of a key and the recording of its answer,
// without the table's own time, which a caller-made key adds.
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
				ticket, _, err := host.Begin(context.Background(), Request{Tenant: "depot", Key: key})
				if err != nil {
					b.Fatal(err)
				}
				ticket.Finish(nil, resp)
				for host.ended.Len() > 0 {
					<-host.ended.Items()
				}
				if len(host.book.byNonce) == maxRecords {
					b.StopTimer()
					host.book = newBook()
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(c.table.writes)/float64(b.N), "writes/op")
		})
	}
}
