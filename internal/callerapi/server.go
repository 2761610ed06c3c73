package callerapi

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/drain"
	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/entry"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

const (
	// readTimeout bounds the reading of one request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the wait for the next request of a connection.
	idleTimeout = 60 * time.Second
	// writeMargin is the time after a request's deadline in which its answer must be written.
	writeMargin = 5 * time.Second
	// maxDeadline bounds the time that a caller may ask to wait.
	maxDeadline = 2 * time.Hour
	// defaultMaxBody bounds request bodies while no document is known, in bytes.
	defaultMaxBody = 1 << 20
	// closeTimeout is the shortest time left for the writing of answers after the drain.
	closeTimeout = 5 * time.Second
)

// Server is the HTTP server of the caller address.
type Server struct {
	id      string
	log     logr.Logger
	source  deployment.Source
	drain   *drain.Drain
	entry   *entry.HostSelector
	handler filter.Handler
	// health may be nil; an isolated host gives no entry answers.
	health health.View
	http   *fasthttp.Server
	mounts []mount
}

type mount struct {
	prefix  string
	handler fasthttp.RequestHandler
}

// New returns a server that passes requests to handler.
func New(id string, log logr.Logger, source deployment.Source, stop *drain.Drain, answers *entry.HostSelector, handler filter.Handler) *Server {
	s := &Server{id: id, log: log, source: source, drain: stop, entry: answers, handler: handler}
	s.http = &fasthttp.Server{
		Name:                 "sapphirehatch",
		Handler:              s.serve,
		ErrorHandler:         s.refuseUnread,
		HeaderReceived:       s.limits,
		ReadTimeout:          readTimeout,
		IdleTimeout:          idleTimeout,
		MaxRequestBodySize:   defaultMaxBody,
		NoDefaultContentType: true,
		// A parsed form would be encoded anew, which does not give the caller's bytes.
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		CloseOnShutdown:              true,
		Logger:                       serverLog{log},
	}
	return s
}

// Mount hands all paths with a prefix to handler. Call it before Serve.
func (s *Server) Mount(prefix string, handler fasthttp.RequestHandler) {
	s.mounts = append(s.mounts, mount{prefix: prefix, handler: handler})
}

// Serve accepts callers until ctx ends, then drains and closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(listener) }()
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "", "the caller address stopped accepting")
	case <-ctx.Done():
	}
	left := s.drain.Stop()
	// A caller may still be reading the answer to a request that has ended.
	closeCtx, cancel := context.WithTimeout(context.Background(), max(left, closeTimeout))
	defer cancel()
	if err := s.http.ShutdownWithContext(closeCtx); err != nil {
		s.log.Info("connections were left open at the stop", "error", err.Error())
	}
	return nil
}

// limits bounds a request's body and the writing of its answer by the document.
func (s *Server) limits(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	config := fasthttp.RequestConfig{MaxRequestBodySize: s.maxBody(), WriteTimeout: maxDeadline + writeMargin}
	if wait, err := s.deadline(header); err == nil {
		config.WriteTimeout = wait + writeMargin
	}
	return config
}

func (s *Server) maxBody() int {
	if doc := s.source.Current(); doc != nil && doc.Deployment.MaxBody > 0 {
		return doc.Deployment.MaxBody
	}
	return defaultMaxBody
}

// deadline returns how long the caller of a request waits.
func (s *Server) deadline(header *fasthttp.RequestHeader) (time.Duration, error) {
	value := string(header.Peek(entryapi.HeaderDeadline))
	if value == "" {
		if doc := s.source.Current(); doc != nil && doc.Deployment.RequestTimeout > 0 {
			return doc.Deployment.RequestTimeout, nil
		}
		return maxDeadline, nil
	}
	wait, err := time.ParseDuration(value)
	if err != nil || wait <= 0 || wait > maxDeadline {
		return 0, failure.New(failure.InvalidRequest, failure.NotRun, "the deadline %q is not a duration in range", value).
			WithField(entryapi.HeaderDeadline).WithLimit("above 0s, at most " + maxDeadline.String())
	}
	return wait, nil
}

// serve is the entry point of every request.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(engineapi.HeaderRequestID, id)
	ctx.Response.Header.Set(entryapi.HeaderHost, s.id)
	if s.drain.Draining() {
		ctx.SetConnectionClose()
	}
	if !s.drain.Begin() {
		refuse(ctx, failure.New(failure.Draining, failure.NotRun, "this host is stopping"))
		return
	}
	if s.dispatch(ctx, id) {
		s.drain.End()
	}
}

// dispatch answers a request and reports whether it has ended; a stream ends later.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, id string) bool {
	path := string(ctx.Path())
	if path == entryapi.PathEntry && ctx.IsGet() {
		s.serveEntry(ctx)
		return true
	}
	for _, m := range s.mounts {
		if strings.HasPrefix(path, m.prefix) {
			m.handler(ctx)
			return true
		}
	}
	return s.serveRequest(ctx, id)
}

// refuseUnread answers a request that could not be read.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	ctx.Response.Header.Set(engineapi.HeaderRequestID, uuid.NewString())
	ctx.Response.Header.Set(entryapi.HeaderHost, s.id)
	refuse(ctx, unreadError(err, s.maxBody()))
}

func unreadError(err error, maxBody int) *failure.Error {
	var small *fasthttp.ErrSmallBuffer
	var network interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return failure.Wrap(err, failure.BodyTooLarge, failure.NotRun, "the request body is too large").
			WithField("body").WithLimit(byteLimit(maxBody))
	case errors.As(err, &small):
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the request headers are too large").WithField("header")
	case errors.As(err, &network) && network.Timeout():
		return failure.Wrap(err, failure.DeadlineExceeded, failure.NotRun, "the request was not received in time").
			WithLimit(readTimeout.String())
	}
	return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the request cannot be read")
}
