package callerapi

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// AuthenticateTrainer returns the document in force and the trainer whose token
// a request carries. The error is of kind NotReady or Unauthorized.
func AuthenticateTrainer(docs deployment.Source, http *fasthttp.RequestCtx, name string) (*deployment.Document, deployment.Trainer, error) {
	doc := docs.Current()
	if doc == nil {
		return nil, deployment.Trainer{}, failure.New(failure.NotReady, failure.NotRun, "no deployment document is known yet").WithRetryAfter(time.Second)
	}
	token, ok := bearer.FromHeader(string(http.Request.Header.Peek(bearer.HeaderAuthorization)))
	trainer, known := doc.Trainers[name]
	if !ok || !known || !token.Matches(trainer.TokenSHA256) {
		return nil, deployment.Trainer{}, failure.New(failure.Unauthorized, failure.NotRun, "the token is not that of trainer %q", name).
			WithField(bearer.HeaderAuthorization)
	}
	return doc, trainer, nil
}
