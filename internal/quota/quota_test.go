package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
)

type source struct{ doc *deployment.Document }

func (s source) Current() *deployment.Document { return s.doc }
func (s source) Changed() <-chan struct{}      { return nil }

const quotaRate = 100

var tenant = deployment.Tenant{Name: "depot", RequestsPerSecond: quotaRate, Burst: 10}

// fleet runs hosts that share one tenant's quota.
type fleet struct {
	network   *peertest.Network
	quotas    []*Quota
	exchanges []*peertest.Exchange
}

func newFleet(n int) *fleet {
	network := peertest.NewNetwork()
	f := &fleet{network: network}
	src := source{&deployment.Document{Tenants: map[string]deployment.Tenant{"depot": tenant}}}
	for i := range n {
		exchange := network.Join(peer.Host{ID: fmt.Sprintf("h%d", i)})
		f.exchanges = append(f.exchanges, exchange)
		f.quotas = append(f.quotas, New(exchange, src))
	}
	return f
}

// offer sends requests to each host at its rate per second, evenly spaced, for
// some seconds. It returns the number that each host admitted in the last second.
func (f *fleet) offer(seconds int, rates ...int) []int {
	admitted := make([]int, len(f.quotas))
	const steps = 100
	for range seconds {
		clear(admitted)
		for step := range steps {
			time.Sleep(time.Second / steps)
			for i, rate := range rates {
				for range (step+1)*rate/steps - step*rate/steps {
					if f.quotas[i].Admit(tenant) == nil {
						admitted[i]++
					}
				}
			}
		}
		for _, q := range f.quotas {
			q.Tick(time.Now())
		}
	}
	return admitted
}

func sum(admitted []int) int {
	total := 0
	for _, n := range admitted {
		total += n
	}
	return total
}

func TestSharesFollowDemandWithinTheQuota(t *testing.T) {
	tests := []struct {
		name      string
		rates     []int
		low, high int
		first     int
	}{
		{"one busy host", []int{400, 0, 0, 0}, 92, 102, 92},
		{"all busy", []int{400, 400, 400, 400}, 92, 102, 20},
		{"uneven", []int{300, 100, 0, 0}, 92, 102, 60},
		{"below the quota", []int{60, 20, 0, 0}, 80, 80, 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				admitted := newFleet(len(test.rates)).offer(15, test.rates...)
				if total := sum(admitted); total < test.low || total > test.high || admitted[0] < test.first {
					t.Errorf("admitted %v in a second", admitted)
				}
			})
		})
	}
}

// The demand moves from one host to three others within a second.
func TestQuotaHoldsWhileDemandMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.offer(10, 400, 0, 0, 0)
		for second := range 8 {
			// In addition to its rate, each of the four hosts may use its burst of at least one request.
			if total := sum(f.offer(1, 0, 400, 400, 400)); total > quotaRate+len(f.quotas)+tenant.Burst {
				t.Errorf("second %d: %d requests", second, total)
			}
		}
	})
}

// Published demand reaches the other hosts late.
func TestQuotaHoldsWhileDemandIsNotKnownYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.network.SetDelay((propagationTicks - 1) * tickInterval)
		for second := range 10 {
			if total := sum(f.offer(1, 400, 400, 400, 400)); total > quotaRate+len(f.quotas)+tenant.Burst {
				t.Errorf("second %d: %d requests", second, total)
			}
		}
	})
}

func TestIsolatedHostFallsBackToItsEvenShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.offer(10, 400, 400, 400, 400)
		f.exchanges[0].SetPartitioned(true)
		admitted := f.offer(15, 400, 400, 400, 400)
		if total := sum(admitted); total > quotaRate+len(f.quotas) {
			t.Errorf("admitted %v in a second", admitted)
		}
		f.exchanges[0].SetPartitioned(false)
		f.exchanges[0].SetState(peer.StateDead)
		if other := f.quotas[1].otherDemand()[hashOf("depot")]; other < 700 || other > 900 {
			t.Errorf("demand of the other live hosts is %.0f, want about 800", other)
		}
		if admitted = f.offer(15, 0, 400, 400, 400); sum(admitted) > quotaRate*3/4+len(f.quotas) {
			t.Errorf("admitted %v in a second while one host is dead", admitted)
		}
	})
}

func TestPublishedDemandIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		doc := &deployment.Document{Tenants: make(map[string]deployment.Tenant)}
		f.quotas[0].source = source{doc}
		for i := range 2 * maxPublishedTenants {
			busy := deployment.Tenant{Name: fmt.Sprintf("t%d", i)}
			doc.Tenants[busy.Name] = busy
			for range i + 1 {
				_ = f.quotas[0].Admit(busy)
			}
		}
		time.Sleep(tickInterval)
		f.quotas[0].Tick(time.Now())
		entries := f.exchanges[0].Entries(peer.TopicDemand)
		if len(entries) != 1 || len(entries[0].Value) != maxPublishedTenants*encodedDemandBytes {
			t.Fatalf("%d entries, want 1 with the largest number of tenants", len(entries))
		}
		if busiest := decodeDemand(entries[0].Value)[0]; busiest.tenant != hashOf("t127") || busiest.perSecond != 64 {
			t.Errorf("first entry %+v, want tenant t127 with 64 requests per second", busiest)
		}
	})
}

func TestRefusalStatesTheQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newFleet(1).quotas[0]
		var err error
		for range tenant.Burst + 1 {
			err = q.Admit(tenant)
		}
		e := failure.As(err)
		if e.Kind != failure.QuotaExceeded || e.Outcome != failure.NotRun || e.Limit != "100 requests a second over all hosts" || e.RetryAfter == 0 {
			t.Error(err)
		}
		if err := q.Admit(deployment.Tenant{Name: "unlimited"}); err != nil {
			t.Error(err)
		}
	})
}
