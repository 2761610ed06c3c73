package health

import (
	"testing"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/peer/peertest"
)

// fakeSources implements the sources that a view reads.
type fakeSources struct {
	membership.View
	document *deployment.Document
	members  bool
	isolated bool
}

func (f fakeSources) Current() *deployment.Document { return f.document }
func (f fakeSources) Changed() <-chan struct{}      { return nil }
func (f fakeSources) Ready() bool                   { return f.members }
func (f fakeSources) Isolated() bool                { return f.isolated }

// TestState also covers the order of precedence: isolated, if the document and the
// members are known, then draining, then starting.
func TestState(t *testing.T) {
	document := &deployment.Document{}
	tests := []struct {
		name     string
		sources  fakeSources
		draining bool
		want     State
		refusal  failure.Kind
	}{
		{"nothing known", fakeSources{}, false, Starting, failure.NotReady},
		{"no members yet", fakeSources{document: document}, false, Starting, failure.NotReady},
		{"no document yet", fakeSources{members: true}, false, Starting, failure.NotReady},
		{"all known", fakeSources{document: document, members: true}, false, Ready, ""},
		{"isolated", fakeSources{document: document, members: true, isolated: true}, false, Isolated, failure.Isolated},
		{"isolated before ready", fakeSources{isolated: true}, false, Starting, failure.NotReady},
		{"draining", fakeSources{document: document, members: true}, true, Draining, failure.Draining},
		{"isolated and draining before ready", fakeSources{isolated: true}, true, Draining, failure.Draining},
		{"isolated and draining", fakeSources{document: document, members: true, isolated: true}, true, Isolated, failure.Isolated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			exchange := peertest.NewNetwork().Join(peer.Host{ID: "a", Draining: test.draining})
			v := &view{source: test.sources, contact: test.sources, exchange: exchange, members: test.sources}
			if got := v.State(); got != test.want {
				t.Errorf("state %s, want %s", got, test.want)
			}
			err := test.want.Refusal()
			if (err == nil) != (test.refusal == "") || (err != nil && !failure.IsKind(err, test.refusal)) {
				t.Errorf("refusal %v, want %q", err, test.refusal)
			}
		})
	}
}
