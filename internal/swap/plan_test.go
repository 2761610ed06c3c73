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
	loading.Loading, loading.LoadsModel = true, "m"
	paused := engine("a", 1)
	paused.RetryAt = now.Add(time.Second)
	busy := engine("a", 1)
	busy.InFlight = 3
	tests := []struct {
		name    string
		engines []Engine
		need    Need
		atOnce  int
		want    []Order
	}{
		{"nothing named", []Engine{engine("a", 1)}, Need{}, 2, nil},
		{"all there", []Engine{engine("a", 2)}, Need{Named: 2}, 2, nil},
		{"jobs want the newest", []Engine{engine("a", 1), engine("b", 1)}, Need{Named: 2}, 2, []Order{{"a", "m", 2}, {"b", "m", 2}}},
		{"as many as may load", []Engine{engine("a", 1), engine("b", 1)}, Need{Named: 2}, 1, []Order{{"a", "m", 2}}},
		{"one loads already", []Engine{engine("a", 1), loading}, Need{Named: 2}, 1, nil},
		{"half of them while jobs allow the one before", []Engine{engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1)},
			Need{Named: 2, Slack: 1}, 4, []Order{{"a", "m", 2}, {"b", "m", 2}}},
		{"those that fell behind first", []Engine{engine("a", 2), engine("b", 1), engine("c", 2), engine("d", 1)},
			Need{Named: 3, Slack: 1}, 4, []Order{{"b", "m", 3}, {"d", "m", 3}}},
		{"all that fell behind, though they are more than half", []Engine{engine("a", 1), engine("b", 1), engine("c", 1)},
			Need{Named: 4, Slack: 1}, 4, []Order{{"a", "m", 4}, {"b", "m", 4}, {"c", "m", 4}}},
		{"versions overtake", []Engine{engine("a", 1)}, Need{Named: 9}, 1, []Order{{"a", "m", 9}}},
		{"not one that refused", []Engine{paused}, Need{Named: 2}, 1, nil},
		{"the emptiest first", []Engine{busy, engine("b", 1)}, Need{Named: 2}, 1, []Order{{"b", "m", 2}}},
		{"not one without the model", []Engine{{ID: "a", Versions: map[string]uint64{"other": 1}}}, Need{Named: 2}, 1, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Plan(test.engines, map[string]Need{"m": test.need}, test.atOnce, now)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Two trainers name a version each in turn; their jobs allow the one before.
// Nine engines then load each version half as often as if all took each one, and
// more than half of the engines can run a new job at any time.
func TestVersionsInTurn(t *testing.T) {
	engines := make([]Engine, 9)
	for i := range engines {
		engines[i] = Engine{ID: string(rune('a' + i)), Versions: map[string]uint64{"m": 1, "n": 1}}
	}
	loads := 0
	for version := uint64(2); version <= 11; version++ {
		for _, model := range []string{"m", "n"} {
			needs := map[string]Need{"m": {Named: version, Slack: 1}, "n": {Named: version, Slack: 1}}
			if model == "m" {
				needs["n"] = Need{Named: version - 1, Slack: 1}
			}
			usable := 0
			for _, e := range engines {
				if e.Versions[model] >= version-1 {
					usable++
				}
			}
			if usable < 4 {
				t.Fatalf("%d of 9 engines can run a job when version %d of %s is named", usable, version, model)
			}
			for {
				orders := Plan(engines, needs, 3, now)
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
