package routes

import "testing"

// A job must count for the service whose engines run it, also if several services serve
// its model.
func TestJobService(t *testing.T) {
	t.Parallel()
	table := New(1, []Route{
		{Name: "plain", HostName: "h", PathPrefix: "/p/", Kind: Idempotent, Shares: []Share{{Service: "llm", Weight: 1}}},
		{Name: "b", HostName: "h", PathPrefix: "/b/", Kind: Rollouts, Shares: []Share{{Service: "second", Weight: 1}}},
		{Name: "a", HostName: "h", PathPrefix: "/a/", Kind: Rollouts, Shares: []Share{{Service: "first", Weight: 1}}},
	}, []Service{{Name: "llm", Models: []string{"m1"}}, {Name: "first", Models: []string{"m2", "m3"}}, {Name: "second", Models: []string{"m3", "m4"}}}, Limits{})
	for model, want := range map[string]string{"m1": "", "m2": "first", "m3": "first", "m4": "second", "": "first", "unknown": ""} {
		if got := table.JobService("job", model); got != want {
			t.Errorf("jobs of model %q run at %q, want %q", model, got, want)
		}
	}
}
