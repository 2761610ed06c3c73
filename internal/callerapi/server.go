package callerapi

import (
	"context"
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
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
)

const (
	// readTimeout bounds the time to read the headers of a request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the wait for the next request on a connection.
	idleTimeout = 60 * time.Second
	// writeTimeout bounds the time in which a caller reads each part of a response. A trainer
	// may be busy for some time before it reads on.
	writeTimeout = time.Minute
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
	// gate holds the limits of what callers may make the host hold.
	gate   *intake.Gate
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
	s := &Server{
		id: id, log: log, source: source, drain: hostDrain, entry: entryAnswers, handler: handler,
		gate: intake.New(intakeLimits(0, 0), nil, uncounted{}, log),
	}
	s.http = &fasthttp.Server{
		Name:           "sapphirehatch",
		Handler:        s.serve,
		HeaderReceived: s.requestConfig,
		ReadBufferSize: maxHeaderBytes,

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
	limited := s.gate.Listen("callers", listener, s.limits, true)
	intake.Protect(s.http, limited, s.refuseRead)
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(limited) }()
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

// intakeLimits returns the limits of a host with an amount of memory and descriptors as for
// intake.LimitsOf.
func intakeLimits(memoryMB float64, maxFDs int) intake.Limits {
	limits := intake.LimitsOf(memoryMB, maxFDs)
	limits.WriteTimeout = writeTimeout
	return limits
}

// uncounted is a counter of events without a recorder.
type uncounted struct{}

// Event implements intake.Counter.
func (uncounted) Event(string) {}

// limits returns the limits of receiving a request: that of the body is in the deployment
// document.
func (s *Server) limits() intake.RequestLimits {
	return intake.RequestLimits{HeaderBytes: maxHeaderBytes, BodyBytes: s.maxBody(), HeaderTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// requestConfig returns the time to write the response to one request by its deadline.
func (s *Server) requestConfig(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	config := fasthttp.RequestConfig{WriteTimeout: maxDeadline + writeMargin}
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

// refuseRead responds to a request that was not received completely.
func (s *Server) refuseRead(ctx *fasthttp.RequestCtx, e *failure.Error) {
	ctx.Response.Header.Set(engineapi.HeaderRequestID, uuid.NewString())
	ctx.Response.Header.Set(entryapi.HeaderHost, s.id)
	switch e.Kind {
	case failure.BodyTooLarge:
		e = e.WithField("body").WithLimit(formatBytes(s.maxBody()))
	case failure.HeaderTooLarge:
		e = e.WithField("header").WithLimit(formatBytes(maxHeaderBytes))
	}
	writeRequestError(ctx, e)
}
