package engineapi

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Undefined fields are forwarded, but a field of ChatRequest spelled in another case
// is not: a caller could set its own priority with it.
func TestUndefinedFieldsAreForwarded(t *testing.T) {
	const body = `{"model":"m","temperature":0.25,"stop":["\n"],"Priority":99,"messages":[{"role":"user","content":"x"}],"RESUME_FROM":7}`
	var req ChatRequest
	if err := json.Unmarshal([]byte(body), &req); err != nil {
		t.Fatal(err)
	}
	req.Priority, req.ResumeFrom = PriorityInteractive, 0
	got, err := json.Marshal(&req)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"model":"m","messages":[{"role":"user","content":"x"}],"priority":10,"stop":["\n"],"temperature":0.25}`
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Error(diff)
	}
}
