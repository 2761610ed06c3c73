package rollout

import (
	"encoding/json"
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/trainerapi"
)

// FuzzStepRequest checks that any step request is either in range or refused as invalid.
func FuzzStepRequest(f *testing.F) {
	for _, seed := range []string{
		"{}", `{"groups":[{"messages":[{"role":"user","content":"x"}]}],"group_size":2,"max_tokens":8}`,
		`{"groups":[{}],"group_size":1,"max_tokens":1}`, `{"group_size":-1}`, `{"groups":[],"group_size":9223372036854775807}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var req trainerapi.StepRequest
		if json.Unmarshal(body, &req) != nil {
			return
		}
		err := checkStep(req)
		if err != nil && !failure.IsKind(err, failure.InvalidRequest) {
			t.Fatalf("untyped refusal: %v", err)
		}
		if err == nil && len(req.Groups)*req.GroupSize > maxRollouts {
			t.Fatalf("%d groups of %d were accepted", len(req.Groups), req.GroupSize)
		}
	})
}
