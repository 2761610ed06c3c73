package swap

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(id string, version uint64) Engine {
	return Engine{ID: id, Versions: map[string]uint64{"m": version}}
}

func TestPlan(t *testing.T) {
	loading := engine("b", 1)
	loading.Loading, loading.LoadingModel = true, "m"
	paused := engine("a", 1)
	paused.RetryAt = now.Add(time.Second)
	busy := engine("a", 1)
	busy.InFlight = 3
	tests := []struct {
		name       string
		engines    []Engine
		demand     Demand
		maxLoading int
		want       []PlannedLoad
	}{
		{"no target version", []Engine{engine("a", 1)}, Demand{}, 2, nil},
		{"all engines have the target version", []Engine{engine("a", 2)}, Demand{TargetVersion: 2}, 2, nil},
		{"jobs require the newest version", []Engine{engine("a", 1), engine("b", 1)}, Demand{TargetVersion: 2}, 2, []PlannedLoad{{"a", "m", 2}, {"b", "m", 2}}},
		{"limit of loading engines", []Engine{engine("a", 1), engine("b", 1)}, Demand{TargetVersion: 2}, 1, []PlannedLoad{{"a", "m", 2}}},
		{"limit reached by a load in progress", []Engine{engine("a", 1), loading}, Demand{TargetVersion: 2}, 1, nil},
		{"half of the engines if jobs accept the previous version", []Engine{engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1)},
			Demand{TargetVersion: 2, AllowedLag: 1}, 4, []PlannedLoad{{"a", "m", 2}, {"b", "m", 2}}},
		{"outdated engines first", []Engine{engine("a", 2), engine("b", 1), engine("c", 2), engine("d", 1)},
			Demand{TargetVersion: 3, AllowedLag: 1}, 4, []PlannedLoad{{"b", "m", 3}, {"d", "m", 3}}},
		{"all outdated engines, even if more than half", []Engine{engine("a", 1), engine("b", 1), engine("c", 1)},
			Demand{TargetVersion: 4, AllowedLag: 1}, 4, []PlannedLoad{{"a", "m", 4}, {"b", "m", 4}, {"c", "m", 4}}},
		{"versions are skipped", []Engine{engine("a", 1)}, Demand{TargetVersion: 9}, 1, []PlannedLoad{{"a", "m", 9}}},
		{"engine that refused an order waits", []Engine{paused}, Demand{TargetVersion: 2}, 1, nil},
		{"least busy engine first", []Engine{busy, engine("b", 1)}, Demand{TargetVersion: 2}, 1, []PlannedLoad{{"b", "m", 2}}},
		{"engine without the model", []Engine{{ID: "a", Versions: map[string]uint64{"other": 1}}}, Demand{TargetVersion: 2}, 1, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Plan(test.engines, map[string]Demand{"m": test.demand}, test.maxLoading, now)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Load pattern of the first seconds of a day: three trainers have jobs, and one of them
// publishes its first version two seconds before the others. It must take no more than
// its equal share of 37 engines, 13, or the versions of the others load late.
func TestFirstVersionTakesItsShareOnly(t *testing.T) {
	engines := make([]Engine, 37)
	for i := range engines {
		engines[i] = Engine{ID: string(rune('a'+i/10)) + string(rune('0'+i%10)), Slots: 6, Versions: map[string]uint64{"m1": 1, "m2": 1, "m3": 1}}
	}
	demands := map[string]Demand{"m1": {TargetVersion: 2, Rollouts: 64}, "m2": {Rollouts: 96}, "m3": {Rollouts: 96}}
	ends := map[string]time.Time{}
	orders := 0
	for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(50 * time.Millisecond) {
		for i := range engines {
			if e := &engines[i]; e.Loading && !at.Before(ends[e.ID]) {
				e.Loading, e.Versions = false, map[string]uint64{"m1": 2, "m2": 1, "m3": 1}
			}
		}
		for _, order := range Plan(engines, demands, MaxLoading(len(engines)), at) {
			orders++
			for i := range engines {
				if engines[i].ID == order.Engine {
					engines[i].Loading, engines[i].LoadingModel = true, order.Model
					ends[order.Engine] = at.Add(900 * time.Millisecond)
				}
			}
		}
	}
	if orders == 0 || orders > 13 {
		t.Errorf("%d loads of the first version, want 1 to 13", orders)
	}
}

// Two trainers publish versions in turn, and their jobs accept the previous
// version. Each version is then loaded by about half of the nine engines, and at
// least four of them can run a new job at any time.
func TestPlanForTwoTrainersInTurn(t *testing.T) {
	engines := make([]Engine, 9)
	for i := range engines {
		engines[i] = Engine{ID: string(rune('a' + i)), Versions: map[string]uint64{"m": 1, "n": 1}}
	}
	loads := 0
	for version := uint64(2); version <= 11; version++ {
		for _, model := range []string{"m", "n"} {
			demands := map[string]Demand{"m": {TargetVersion: version, AllowedLag: 1}, "n": {TargetVersion: version, AllowedLag: 1}}
			if model == "m" {
				demands["n"] = Demand{TargetVersion: version - 1, AllowedLag: 1}
			}
			usable := 0
			for _, e := range engines {
				if e.Versions[model] >= version-1 {
					usable++
				}
			}
			if usable < 4 {
				t.Fatalf("%d of 9 engines can run a job when version %d of %s is published", usable, version, model)
			}
			for {
				orders := Plan(engines, demands, 3, now)
				if len(orders) == 0 {
					break
				}
				for _, order := range orders {
					for i := range engines {
						if engines[i].ID == order.Engine {
							engines[i].Versions[order.Model] = order.Version
							loads++
						}
					}
				}
			}
		}
	}
	if loads > 2*10*5 {
		t.Errorf("%d loads for 20 versions on 9 engines", loads)
	}
}
