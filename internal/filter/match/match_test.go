package match

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

type discard struct{}

func (discard) Send([]byte) error { return nil }
func (discard) Started() bool     { return false }

func TestOnlyAStreamedCompletionKeepsItsStream(t *testing.T) {
	doc := &deployment.Document{EnginePools: map[string]deployment.EnginePool{"advice": {Name: "advice", Model: "m"}}}
	for body, want := range map[string]bool{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`: true,
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`:               false,
	} {
		r := &filter.Request{Document: doc, Inbound: new(fasthttp.Request), Stream: discard{}}
		r.Inbound.Header.SetMethod(fasthttp.MethodPost)
		r.Inbound.SetRequestURI(engineapi.PathChat)
		r.Inbound.SetBodyString(body)
		var streamed bool
		next := func(_ context.Context, r *filter.Request) error {
			streamed = r.Stream != nil
			return nil
		}
		if err := new(Match).Handle(t.Context(), r, next); err != nil {
			t.Fatal(err)
		}
		if streamed != want {
			t.Errorf("body %s: streamed is %v, want %v", body, streamed, want)
		}
	}
}
