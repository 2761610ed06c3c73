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
	// readTimeout bounds the time to read one request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the wait for the next request on a connection.
	idleTimeout = 60 * time.Second
	// writeMargin is the time after a request's deadline by which its response must
	// have been written.
	writeMargin = 5 * time.Second
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = 2 * time.Hour
	// defaultMaxBodyBytes is the limit of a request body in bytes while the host has no
	// deployment document.
	defaultMaxBodyBytes = 1 << 20
	// maxHeaderBytes is the limit of the headers of a request in bytes. It bounds the memory
	// for reading a request.
	maxHeaderBytes = 64 << 10
	// closeTimeout is the minimum time for writing responses after the drain.
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
	// health is used to refuse entry requests while the host is isolated. It may be nil.
	health health.View
	http   *fasthttp.Server
	mounts []mount
}

// mount is a path prefix that another package serves.
type mount struct {
	prefix  string
	handler fasthttp.RequestHandler
}

// New returns a server that passes requests to handler. The id is that of the host;
// every response names it. The server counts its requests with hostDrain.
func New(id string, log logr.Logger, source deployment.Source, hostDrain *drain.Drain, entryAnswers *entry.HostSelector, handler filter.Handler) *Server {
	s := &Server{id: id, log: log, source: source, drain: hostDrain, entry: entryAnswers, handler: handler}
	s.http = &fasthttp.Server{
		Name:           "sapphirehatch",
		Handler:        s.serve,
		ErrorHandler:   s.handleReadError,
		HeaderReceived: s.requestConfig,
		ReadBufferSize: maxHeaderBytes,
		// Only connections on which a request is being read hold a buffer.
		ReduceMemoryUsage:    true,
		ReadTimeout:          readTimeout,
		IdleTimeout:          idleTimeout,
		MaxRequestBodySize:   defaultMaxBodyBytes,
		NoDefaultContentType: true,
		// Encoding a parsed form again would not reproduce the caller's bytes.
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		CloseOnShutdown:              true,
		Logger:                       httpLogger{log},
	}
	return s
}

// Mount makes handler serve all paths with a prefix. Call it before Serve.
func (s *Server) Mount(prefix string, handler fasthttp.RequestHandler) {
	s.mounts = append(s.mounts, mount{prefix: prefix, handler: handler})
}

// Serve serves listener until ctx ends, then drains the host and closes the
// connections. It returns an error of kind Internal if the listener fails earlier.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(listener) }()
	select {
	case err := <-failed:
		return failure.Wrap(err, failure.Internal, "", "the listener of the caller address failed")
	case <-ctx.Done():
	}
	remaining := s.drain.Stop()
	// A caller may still be reading the response to a request that has ended.
	closeCtx, cancel := context.WithTimeout(context.Background(), max(remaining, closeTimeout))
	defer cancel()
	if err := s.http.ShutdownWithContext(closeCtx); err != nil {
		s.log.Info("connections still open after the shutdown timeout", "error", err.Error())
	}
	return nil
}

// requestConfig returns the limits of one request: its body size by the deployment
// document, and the time to write its response by its deadline.
func (s *Server) requestConfig(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	config := fasthttp.RequestConfig{MaxRequestBodySize: s.maxBody(), WriteTimeout: maxDeadline + writeMargin}
	if timeout, err := s.requestTimeout(header); err == nil {
		config.WriteTimeout = timeout + writeMargin
	}
	return config
}

// maxBody returns the largest accepted request body, in bytes.
func (s *Server) maxBody() int {
	if doc := s.source.Current(); doc != nil && doc.Deployment.MaxBodyBytes > 0 {
		return doc.Deployment.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// requestTimeout returns the time limit of a request: the one in its deadline header,
// or else the deployment document's, or else maxDeadline.
func (s *Server) requestTimeout(header *fasthttp.RequestHeader) (time.Duration, error) {
	value := string(header.Peek(entryapi.HeaderDeadline))
	if value == "" {
		if doc := s.source.Current(); doc != nil && doc.Deployment.RequestTimeout > 0 {
			return doc.Deployment.RequestTimeout, nil
		}
		return maxDeadline, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > maxDeadline {
		return 0, failure.New(failure.InvalidRequest, failure.NotRun, "the deadline %q is not a duration in the allowed range", value).
			WithField(entryapi.HeaderDeadline).WithLimit("above 0s, at most " + maxDeadline.String())
	}
	return timeout, nil
}

// serve handles every request that was read completely.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(engineapi.HeaderRequestID, id)
	ctx.Response.Header.Set(entryapi.HeaderHost, s.id)
	if s.drain.Draining() {
		ctx.SetConnectionClose()
	}
	if !s.drain.Begin() {
		writeRequestError(ctx, failure.New(failure.Draining, failure.NotRun, "this host is stopping"))
		return
	}
	if s.dispatch(ctx, id) {
		s.drain.End()
	}
}

// dispatch routes a request to its handler. It returns false if the response is a
// stream, which ends the request by itself.
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

// handleReadError responds to a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	ctx.Response.Header.Set(engineapi.HeaderRequestID, uuid.NewString())
	ctx.Response.Header.Set(entryapi.HeaderHost, s.id)
	writeRequestError(ctx, readError(err, s.maxBody()))
}

// readError converts an error of the HTTP library while reading a request.
func readError(err error, maxBody int) *failure.Error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeoutErr interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return failure.Wrap(err, failure.BodyTooLarge, failure.NotRun, "the request body is too large").
			WithField("body").WithLimit(formatBytes(maxBody))
	case errors.As(err, &smallBuffer):
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the request headers are too large").
			WithField("header").WithLimit(formatBytes(maxHeaderBytes))
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		return failure.Wrap(err, failure.DeadlineExceeded, failure.NotRun, "the request was not received in time").
			WithLimit(readTimeout.String())
	}
	return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the request cannot be read")
}
