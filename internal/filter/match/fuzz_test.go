package match

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

// FuzzChat checks that a completion with any body is matched or refused with
// the outcome NotRun.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{
		"", "{}", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":1}`, `{"max_tokens":-1}`, `[`, `{"messages":null}`,
	} {
		f.Add([]byte(seed))
	}
	doc := &deployment.Document{EnginePools: map[string]deployment.EnginePool{"advice": {Name: "advice", Model: "m"}}}
	f.Fuzz(func(t *testing.T, body []byte) {
		r := &filter.Request{Document: doc, Inbound: new(fasthttp.Request)}
		r.Inbound.Header.SetMethod(fasthttp.MethodPost)
		r.Inbound.SetRequestURI(engineapi.PathChat)
		r.Inbound.SetBody(body)
		err := new(Match).Handle(t.Context(), r, func(context.Context, *filter.Request) error { return nil })
		if err != nil && failure.As(err).Outcome != failure.NotRun {
			t.Fatalf("refused with outcome %q: %v", failure.As(err).Outcome, err)
		}
	})
}
