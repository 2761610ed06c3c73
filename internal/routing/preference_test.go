package routing

import (
	"fmt"
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/membership"
)

// manyReplicas returns 600 replicas in 6 failure domains.
func manyReplicas() []membership.Upstream {
	out := make([]membership.Upstream, 0, 600)
	for d := range 6 {
		for i := range 100 {
			out = append(out, membership.Upstream{ID: fmt.Sprintf("e%d-%d", d, i), FailureDomain: fmt.Sprint("d", d)})
		}
	}
	return out
}

func TestPreferenceOrderSpreadsOverFailureDomains(t *testing.T) {
	const size = 16
	subset := preferenceOrder("host-1", "d2", manyReplicas())[:size]
	count := make(map[string]int)
	for _, u := range subset {
		count[u.FailureDomain]++
	}
	if count["d2"] != size/2 {
		t.Errorf("%d of %d replicas are in the host's failure domain, want half", count["d2"], size)
	}
	for d := range 6 {
		if name := fmt.Sprint("d", d); count[name] == 0 {
			t.Errorf("no replica in %s", name)
		}
	}
}

func TestPreferenceOrderBalancesReplicas(t *testing.T) {
	const hosts, size = 370, 16
	used := make(map[string]int)
	for h := range hosts {
		for _, u := range preferenceOrder(fmt.Sprint("host-", h), fmt.Sprint("d", h%6), manyReplicas())[:size] {
			used[u.ID]++
		}
	}
	for _, u := range manyReplicas() {
		if used[u.ID] == 0 || used[u.ID] > 30 {
			t.Errorf("replica %s is used by %d hosts, the mean is %d", u.ID, used[u.ID], hosts*size/600)
		}
	}
}

func TestPreferenceOrderIsStable(t *testing.T) {
	const size = 16
	all := manyReplicas()
	before := preferenceOrder("host-1", "d2", all)[:size]
	gone := before[3].ID
	var rest []membership.Upstream
	for _, u := range all {
		if u.ID != gone {
			rest = append(rest, u)
		}
	}
	after := make(map[string]bool)
	for _, u := range preferenceOrder("host-1", "d2", rest)[:size] {
		after[u.ID] = true
	}
	for _, u := range before {
		if u.ID != gone && !after[u.ID] {
			t.Errorf("replica %s left the subset because another one was removed", u.ID)
		}
	}
}
