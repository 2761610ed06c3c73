package job

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// FuzzStoredSpec checks that the rows of a spec, joined, are its JSON: hosts of other versions
// read and write them, too.
func FuzzStoredSpec(f *testing.F) {
	f.Add("job", "h", "/p", []byte("body"), 2, 3)
	f.Add("", "", "", []byte(nil), 0, 0)
	f.Add("a\"<é\x00", "\xff", "/\n", bytes.Repeat([]byte{255, 0}, 40_000), 30, 1)
	f.Add("job", "h", "/p", make([]byte, chunkBytes*3/4), 5, -1)
	f.Fuzz(func(t *testing.T, id, host, path string, body []byte, rollouts, step int) {
		s := &Spec{ID: id, Host: host, Path: path, Step: step}
		for i := range max(0, min(rollouts, 40)) {
			r := Rollout{ID: id + string(rune('a'+i)), Path: path, Headers: map[string]string{host: path}, Body: body, Tokens: step}
			if i%2 == 1 {
				r.Score = &ScoreCall{ID: id, Host: host, Path: path, Body: body}
			}
			s.Rollouts = append(s.Rollouts, r)
		}
		var joined []byte
		count := 0
		collect := func(tx platform.RowTransaction) error {
			for _, w := range tx.Writes {
				if w.Table != tableSpecs {
					continue
				}
				if len(w.Value) > chunkBytes {
					t.Fatalf("a chunk has %d bytes", len(w.Value))
				}
				joined = append(joined, w.Value...)
				count++
			}
			return nil
		}
		last, owner, err := acceptTransactions(s, OwnerRow{}, collect)
		if err != nil {
			t.Fatal(err)
		}
		_ = collect(last)
		want, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(joined, want) || owner.Chunks != count {
			t.Fatalf("%d chunks of %d hold %q, want %q", count, owner.Chunks, joined, want)
		}
	})
}

// FuzzAcceptance decodes calls of other hosts, which must not make the process exit.
func FuzzAcceptance(f *testing.F) {
	seed, err := msgpack.Marshal(Acceptance{ID: "a", Version: 1, Spec: &Spec{ID: "a", Rollouts: []Rollout{{ID: "r", Body: []byte("x")}}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range [][]byte{seed, nil, seed[:len(seed)/2], {0xdf, 0xff, 0xff, 0xff, 0xff}, {0xdd, 0x7f, 0xff, 0xff, 0xff}, {0xc6, 0x7f, 0xff, 0xff, 0xff}} {
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var a Acceptance
		_ = msgpack.Unmarshal(data, &a)
	})
}
