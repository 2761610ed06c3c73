package fleet

import (
	"maps"
	"testing"

	"github.com/go-logr/logr"
)

// Guards against a demand that remains after its requests have ended.
func TestRequestsInFlight(t *testing.T) {
	f := New(logr.Discard())
	f.BeginRequest("a")
	f.BeginRequest("a")
	f.BeginRequest("b")
	f.EndRequest("b")
	if got := f.Requests(); !maps.Equal(got, map[string]int{"a": 2}) {
		t.Errorf("requests in flight are %v", got)
	}
}
