// Package match is the filter that finds the pool that serves a request: an
// engine pool by the model of a completion, or a service by the rules of the
// deployment document.
package match

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

// Match is the filter. It sets the request's pool, kind, class, idempotence and
// attempt timeout. For a completion it also sets Chat, and clears Stream if the
// caller did not ask for a stream.
type Match struct{ filter.Base }

// Handle implements filter.Filter.
func (Match) Handle(ctx context.Context, r *filter.Request, next filter.Handler) error {
	if err := checkPath(r.Inbound.URI().PathOriginal()); err != nil {
		return err
	}
	path := string(r.Inbound.URI().Path())
	var err error
	if path == engineapi.PathChat && r.Inbound.Header.IsPost() {
		err = matchChat(r)
	} else {
		err = matchRule(r, path)
	}
	if err != nil {
		return err
	}
	if err := applyIdempotentHeader(r); err != nil {
		return err
	}
	return next(ctx, r)
}

// checkPath refuses paths with malformed escapes or with ".." segments, also
// escaped ones. The upstream could resolve them to a path that another rule matches.
func checkPath(original []byte) error {
	path, err := url.PathUnescape(string(original))
	if err == nil && !slices.Contains(strings.Split(path, "/"), "..") {
		return nil
	}
	return failure.New(failure.InvalidRequest, failure.NotRun, "the path has a malformed escape or a parent segment").WithField("path")
}

func matchChat(r *filter.Request) error {
	chat := new(engineapi.ChatRequest)
	if err := json.Unmarshal(r.Inbound.Body(), chat); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the body is not a completion request").WithField("body")
	}
	if len(chat.Messages) == 0 {
		return failure.New(failure.InvalidRequest, failure.NotRun, "a completion needs at least one message").WithField("messages")
	}
	if err := checkMessages(r.Inbound.Body()); err != nil {
		return err
	}
	if chat.MaxTokens < 0 {
		return failure.New(failure.InvalidRequest, failure.NotRun, "max_tokens is negative").
			WithField("max_tokens").WithLimit("0 tokens or more")
	}
	pool, ok := enginesFor(r.Document, chat.Model)
	if !ok {
		return failure.New(failure.NotFound, failure.NotRun, "no engines serve the model %q", chat.Model).WithField("model")
	}
	r.Chat = chat
	if !chat.Stream {
		r.Stream = nil
	}
	r.Pool = pool.Name
	r.Kind = platform.EngineMember
	r.Class = deployment.ClassInteractive
	r.Idempotent = true
	r.AttemptTimeout = pool.Timeout
	return nil
}

// checkMessages refuses messages with fields that are not forwarded to the engine.
func checkMessages(body []byte) error {
	var request struct {
		Messages json.RawMessage `json:"messages"`
	}
	err := json.Unmarshal(body, &request)
	if err == nil {
		var messages []engineapi.Message
		decoder := json.NewDecoder(bytes.NewReader(request.Messages))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&messages)
	}
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "a message has fields other than role and content").WithField("messages")
	}
	return nil
}

// enginesFor returns the engine pool that serves a model; if there are several,
// the first one by name.
func enginesFor(doc *deployment.Document, model string) (deployment.EnginePool, bool) {
	var found deployment.EnginePool
	ok := false
	for name, pool := range doc.EnginePools {
		if pool.Model == model && (!ok || name < found.Name) {
			found, ok = pool, true
			found.Name = name
		}
	}
	return found, ok
}

func matchRule(r *filter.Request, path string) error {
	method := string(r.Inbound.Header.Method())
	for _, rule := range r.Document.Rules {
		if !strings.HasPrefix(path, rule.PathPrefix) || !allows(rule, method) {
			continue
		}
		service, ok := r.Document.Services[rule.Service]
		if !ok {
			return failure.New(failure.NotFound, failure.NotRun, "rule %q names the unknown service %q", rule.Name, rule.Service).WithField("service")
		}
		r.Pool = rule.Service
		r.Kind = platform.ServiceMember
		r.Class = rule.Class
		r.Idempotent = rule.Idempotent
		r.AttemptTimeout = service.Timeout
		return nil
	}
	return failure.New(failure.NotFound, failure.NotRun, "no rule matches %s %s", method, path).WithField("path")
}

func allows(rule deployment.Rule, method string) bool {
	if len(rule.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(rule.Methods, func(m string) bool { return strings.EqualFold(m, method) })
}

// applyIdempotentHeader lets a caller mark a request as non-idempotent, but not
// as idempotent.
func applyIdempotentHeader(r *filter.Request) error {
	mark := string(r.Inbound.Header.Peek(entryapi.HeaderIdempotent))
	switch strings.ToLower(mark) {
	case "", "true":
		return nil
	case "false":
		r.Idempotent = false
		return nil
	}
	return failure.New(failure.InvalidRequest, failure.NotRun, "header value %q is neither true nor false", mark).
		WithField(entryapi.HeaderIdempotent).WithLimit("true or false")
}
