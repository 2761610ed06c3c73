package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

const (
	maxBodySize    = 256 << 20 // bytes
	drainPoll      = 10 * time.Millisecond
	drainLimit     = 2 * time.Minute
	relistenPeriod = 20 * time.Millisecond
)

// Listen opens a listener. It is called again after a Down fault ends.
type Listen func() (net.Listener, error)

// ListenTCP returns a Listen for an ip:port. Port zero picks a port at the first call and keeps it.
func ListenTCP(address string) Listen {
	return func() (net.Listener, error) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidSettings, "", "address %s cannot be listened on", address).WithField("address")
		}
		address = ln.Addr().String()
		return ln, nil
	}
}

// Config describes a stand-in's server.
type Config struct {
	// Listen opens the listener that the faults apply to.
	Listen Listen
	// ListenControl opens the control listener; nil runs without one.
	ListenControl Listen
	// LogFile keeps the record of executions over a restart; empty keeps it in memory only.
	LogFile string
	// LeaveGrace is how long a stopping stand-in goes on answering after it announced that it leaves.
	LeaveGrace time.Duration
}

// Server serves a stand-in.
type Server struct {
	cfg     Config
	handler fasthttp.RequestHandler
	faults  *Faults
	log     *ExecutionLog

	ready       chan struct{}
	address     string
	controlAddr string
	stopping    atomic.Bool
	busy        atomic.Int64
	crash       context.CancelCauseFunc
	runCtx      context.Context
	control     map[string]fasthttp.RequestHandler

	mu     sync.Mutex
	open   *listener
	lastID string
}

// NewServer returns a server that passes requests to handler.
func NewServer(cfg Config, handler fasthttp.RequestHandler) (*Server, error) {
	log, err := OpenLog(cfg.LogFile)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		handler: handler,
		faults:  NewFaults(),
		log:     log,
		ready:   make(chan struct{}),
		control: map[string]fasthttp.RequestHandler{},
	}
	s.runCtx, s.crash = context.WithCancelCause(context.Background())
	s.addControlRoutes()
	return s, nil
}

// Faults returns the stand-in's faults.
func (s *Server) Faults() *Faults { return s.faults }

// Log returns the stand-in's record of executions.
func (s *Server) Log() *ExecutionLog { return s.log }

// Ready returns a channel that is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Address returns the listening ip:port; call it after Ready.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the control listener's ip:port; call it after Ready.
func (s *Server) ControlAddress() string { return s.controlAddr }

// HandleControl adds a path to the control interface; call it before Run.
func (s *Server) HandleControl(path string, h fasthttp.RequestHandler) { s.control[path] = h }

// Run serves until ctx ends or a CrashOn fault strikes. It runs the duties
// beside the server; an error of one of them stops the stand-in. At the end of
// ctx the stand-in first leaves: it refuses new work and finishes what it has.
func (s *Server) Run(ctx context.Context, duties ...func(context.Context) error) error {
	defer s.log.Close()
	first, err := s.cfg.Listen()
	if err != nil {
		return err
	}
	s.address = first.Addr().String()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer s.crash(nil)
	if err := s.serveControl(&wait); err != nil {
		_ = first.Close()
		return err
	}
	close(s.ready)
	wait.Go(func() { s.serveLoop(first) })
	for _, duty := range duties {
		wait.Go(func() {
			if err := duty(s.runCtx); err != nil && s.runCtx.Err() == nil {
				s.crash(err)
			}
		})
	}
	select {
	case <-ctx.Done():
		s.leave()
	case <-s.runCtx.Done():
	}
	s.crash(context.Canceled)
	if cause := context.Cause(s.runCtx); cause != context.Canceled { //nolint:errorlint // exactly the cause set above
		return cause
	}
	return nil
}

// leave refuses new work and waits for requests in flight.
func (s *Server) leave() {
	s.stopping.Store(true)
	begin := time.Now()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.runCtx.Err() == nil && time.Since(begin) < drainLimit {
		if time.Since(begin) >= s.cfg.LeaveGrace && s.busy.Load() == 0 {
			return
		}
		<-ticker.C
	}
}

// Begin counts work in flight, for which a stop waits. Call the result when the work ended.
func (s *Server) Begin() (end func()) {
	s.busy.Add(1)
	return func() { s.busy.Add(-1) }
}

// Leaving reports whether the stand-in refuses new work.
func (s *Server) Leaving() bool { return s.stopping.Load() || s.faults.On(standinapi.FaultLeaving) }

// Reachable reports whether a real process in this state would still renew its registration.
func (s *Server) Reachable() bool {
	return !s.faults.On(standinapi.FaultDown) && !s.faults.On(standinapi.FaultFreeze)
}

// serveLoop serves on ln, and on a new listener after each Down fault, until the stand-in stops.
func (s *Server) serveLoop(ln net.Listener) {
	for {
		s.serveUntilDown(ln)
		for {
			if s.runCtx.Err() != nil {
				return
			}
			changed := s.faults.Changed()
			if !s.faults.On(standinapi.FaultDown) {
				break
			}
			select {
			case <-changed:
			case <-s.runCtx.Done():
			}
		}
		var err error
		for ln, err = s.cfg.Listen(); err != nil; ln, err = s.cfg.Listen() {
			select {
			case <-time.After(relistenPeriod):
			case <-s.runCtx.Done():
				return
			}
		}
	}
}

func (s *Server) serveUntilDown(raw net.Listener) {
	ln := newListener(s.runCtx, raw, s.faults, s.takeReset)
	s.mu.Lock()
	s.open = ln
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for s.runCtx.Err() == nil {
			changed := s.faults.Changed()
			if s.faults.On(standinapi.FaultDown) {
				break
			}
			select {
			case <-changed:
			case <-s.runCtx.Done():
			}
		}
		_ = raw.Close()
		ln.hangUp()
	}()
	server := &fasthttp.Server{
		Handler:               s.serve,
		MaxRequestBodySize:    maxBodySize,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                noLog{},
		CloseOnShutdown:       true,
	}
	_ = server.Serve(ln)
	<-done
}

func (s *Server) takeReset() bool {
	_, ok := s.faults.Take(standinapi.FaultResetConnection, "", nil)
	return ok
}

// Context ends when the stand-in stops or crashes.
func (s *Server) Context() context.Context { return s.runCtx }

type noLog struct{}

func (noLog) Printf(string, ...any) {}
