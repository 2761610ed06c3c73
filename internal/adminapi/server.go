package adminapi

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v3"

	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	readTimeout = 10 * time.Second
	idleTimeout = 5 * time.Second
	stopTimeout = 5 * time.Second
	// bodyLimit is the limit of a request body in bytes. It leaves room for the JSON
	// escapes in the largest document.
	bodyLimit = 4 * deployment.MaxTextBytes
)

// Handler handles a request of an authenticated operator. Its error is sent as an
// ErrorResponse.
type Handler func(c fiber.Ctx, operator Operator) error

// Server is the HTTP server of the administration API. Other packages add endpoints
// with Handle or Router.
type Server struct {
	log        logr.Logger
	address    string
	authorizer *authorizer
	app        *fiber.App
}

func newServer(log logr.Logger, address string, authorizer *authorizer) *Server {
	return &Server{
		log:        log,
		address:    address,
		authorizer: authorizer,
		app: fiber.New(fiber.Config{
			BodyLimit:    bodyLimit,
			ReadTimeout:  readTimeout,
			IdleTimeout:  idleTimeout,
			ErrorHandler: sendError,
			// Handlers keep strings of a request, such as change ids, beyond its end.
			Immutable: true,
		}),
	}
}

// Handle adds an endpoint for operators whose role includes the required one. Call it
// before the duty.Group runs.
func (s *Server) Handle(method, path string, required deployment.OperatorRole, handler Handler) {
	s.app.Add([]string{method}, path, func(c fiber.Ctx) error {
		operator, err := s.authorizer.authorize(c.Get(fiber.HeaderAuthorization), required)
		if err != nil {
			return err
		}
		return handler(c, operator)
	})
}

// Router returns the router, for endpoints that authorize their requests themselves.
// Add them before the duty.Group runs.
func (s *Server) Router() fiber.Router { return s.app }

// Authorize returns the operator who has a bearer token. The error is of kind
// Unauthorized for an unknown token, and Forbidden if the operator's role does not
// include the required one.
func (s *Server) Authorize(token string, required deployment.OperatorRole) (Operator, error) {
	return s.authorizer.authorize(bearer.Prefix+token, required)
}

// run serves until ctx ends, then waits up to stopTimeout for the requests in flight.
func (s *Server) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "", "cannot listen on the administration address %s", s.address).
			WithField("host.admin_address")
	}
	s.log.Info("administration API listens", "address", s.address)
	done := make(chan error, 1)
	go func() {
		done <- s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return s.app.ShutdownWithTimeout(stopTimeout)
	}
}

// sendError writes err as an ErrorResponse.
func sendError(c fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		err = convertFiberError(fiberErr)
	}
	e := failure.As(err)
	body := ErrorResponse{Error: e, Problems: deployment.AsProblems(err)}
	if conflict := config.AsConflict(err); conflict != nil {
		body.Current = &conflict.Current
	}
	return c.Status(e.Status()).JSON(body)
}

// convertFiberError converts an error of the HTTP library to one with a failure.Kind.
func convertFiberError(err *fiber.Error) error {
	switch err.Code {
	case fiber.StatusNotFound:
		return failure.New(failure.NotFound, failure.NotRun, "no such endpoint")
	case fiber.StatusRequestEntityTooLarge:
		return failure.New(failure.BodyTooLarge, failure.NotRun, "the request body is too large").WithLimit("1 MiB")
	default:
		return failure.New(failure.InvalidRequest, failure.NotRun, "%s", err.Message)
	}
}
