package callerapi

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// AuthenticateTrainer checks that a request has the bearer token of the named trainer.
// It returns the document in force and that trainer's section. The error is of kind
// NotReady if there is no document yet, else Unauthorized.
func AuthenticateTrainer(source deployment.Source, ctx *fasthttp.RequestCtx, name string) (*deployment.Document, deployment.Trainer, error) {
	doc := source.Current()
	if doc == nil {
		return nil, deployment.Trainer{}, failure.New(failure.NotReady, failure.NotRun, "this host has no deployment document yet").WithRetryAfter(time.Second)
	}
	token, ok := bearer.FromHeader(string(ctx.Request.Header.Peek(bearer.HeaderAuthorization)))
	trainer, known := doc.Trainers[name]
	if !ok || !known || !token.Matches(trainer.TokenSHA256) {
		return nil, deployment.Trainer{}, failure.New(failure.Unauthorized, failure.NotRun, "the token is not that of trainer %q", name).
			WithField(bearer.HeaderAuthorization)
	}
	return doc, trainer, nil
}
