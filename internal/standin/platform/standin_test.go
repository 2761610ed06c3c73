package platform

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

func TestTableMatchesModel(t *testing.T) {
	keys := []string{"a", "b", "c/1", "c/2"}
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable()
		model := map[string]platform.Row{}
		var highest uint64
		for range rapid.IntRange(1, 30).Draw(t, "transactions") {
			tx := platform.Transaction{}
			holds := true
			for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 2, rapid.ID).Draw(t, "checks") {
				version := rapid.SampledFrom([]uint64{0, model[key].Version, model[key].Version + 1}).Draw(t, "version")
				holds = holds && version == model[key].Version
				tx.Checks = append(tx.Checks, platform.Check{Key: key, Version: version})
			}
			for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 3, rapid.ID).Draw(t, "writes") {
				write := platform.Write{Key: key, Value: []byte{byte(len(key))}, Delete: rapid.Bool().Draw(t, "delete")}
				tx.Writes = append(tx.Writes, write)
			}
			if conflict := tb.transact(tx); (conflict == nil) != holds {
				t.Fatalf("conflict %v, but the checks hold: %v", conflict, holds)
			}
			for _, write := range tx.Writes {
				if !holds {
					break
				}
				delete(model, write.Key)
				if row := tb.read([]string{write.Key})[0]; !write.Delete {
					if row.Version <= highest {
						t.Fatalf("version %d of %s is not above %d, the highest so far", row.Version, write.Key, highest)
					}
					highest = row.Version
					model[write.Key] = row
				}
			}
		}
		if diff := cmp.Diff(len(model), len(tb.scan("", "", 100))); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestScanPages(t *testing.T) {
	tb := newTable()
	for _, key := range []string{"s/3", "s/1", "t/1", "s/2", "r/9"} {
		tb.transact(platform.Transaction{Writes: []platform.Write{{Key: key}}})
	}
	keysOf := func(rows []platform.Row) []string {
		return lo.Map(rows, func(r platform.Row, _ int) string { return r.Key })
	}
	if diff := cmp.Diff([]string{"s/1", "s/2"}, keysOf(tb.scan("s/", "", 2))); diff != "" {
		t.Error("first page:", diff)
	}
	if diff := cmp.Diff([]string{"s/3"}, keysOf(tb.scan("s/", "s/2", 2))); diff != "" {
		t.Error("second page:", diff)
	}
}

func TestMembersLagAndExpire(t *testing.T) {
	const lag, ttl = 2 * time.Second, 5 * time.Second
	start := time.Unix(1000, 0)
	m := newMembers(ttl)
	state := func(after time.Duration) platform.MemberState {
		for _, member := range m.list(start.Add(after), lag) {
			return member.State
		}
		return ""
	}
	m.register(platform.Member{ID: "e", State: platform.MemberLive}, start)
	m.register(platform.Member{ID: "e", State: platform.MemberLeaving}, start.Add(3*time.Second))
	want := map[time.Duration]platform.MemberState{
		time.Second: "", 2 * time.Second: platform.MemberLive, 4 * time.Second: platform.MemberLive,
		5 * time.Second: platform.MemberLeaving, 10 * time.Second: platform.MemberLeaving, 11 * time.Second: "",
	}
	for _, after := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 10 * time.Second, 11 * time.Second} {
		if got := state(after); got != want[after] {
			t.Errorf("after %v the list shows %q, want %q", after, got, want[after])
		}
	}
}

func TestPublishRejectsOlderVersions(t *testing.T) {
	c := newCatalogue()
	for _, step := range []struct {
		version uint64
		ok      bool
	}{{2, true}, {2, true}, {1, false}, {3, true}} {
		if ok := c.publish(platform.WeightVersion{Model: "m", Version: step.version}); ok != step.ok {
			t.Errorf("publishing %d: %v, want %v", step.version, ok, step.ok)
		}
	}
	if latest := c.latest("m").Version; latest != 3 {
		t.Errorf("latest %d, want 3", latest)
	}
}
