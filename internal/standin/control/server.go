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
	maxBodySize = 256 << 20 // bytes
	// drainPoll is the interval at which a leaving stand-in checks for requests in flight.
	drainPoll = 10 * time.Millisecond
	// drainLimit bounds the wait for requests in flight.
	drainLimit = 2 * time.Minute
	// relistenPeriod is the wait before the next attempt to open the listener after FaultDown.
	relistenPeriod = 20 * time.Millisecond
)

// ListenFunc opens a listener. The server calls it again after each FaultDown.
type ListenFunc func() (net.Listener, error)

// ListenTCP returns a function that listens on a TCP ip:port. Port 0 picks a
// free port at the first call, and later calls use the same port.
func ListenTCP(address string) ListenFunc {
	return func() (net.Listener, error) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidSettings, "", "cannot listen on address %s", address).WithField("address")
		}
		address = ln.Addr().String()
		return ln, nil
	}
}

// Config is the configuration of a stand-in's server.
type Config struct {
	// Listen opens the listener of the stand-in, to which faults apply.
	Listen ListenFunc
	// ListenControl opens the listener of the control interface. Nil runs the stand-in without one.
	ListenControl ListenFunc
	// LogFile is the path of the file that keeps the execution log across restarts. Empty keeps the log in memory only.
	LogFile string
	// LeaveGrace is the minimum time from the start of a shutdown to the stop of
	// the server. During this time new requests are refused and the membership
	// list shows the stand-in as leaving.
	LeaveGrace time.Duration
}

// Server is the HTTP server of a stand-in.
type Server struct {
	cfg     Config
	handler fasthttp.RequestHandler
	faults  *Faults
	log     *ExecutionLog

	// ready is closed once both listeners are open.
	ready       chan struct{}
	address     string
	controlAddr string
	stopping    atomic.Bool
	// inFlight is the number of requests and streams in flight.
	inFlight atomic.Int64
	// crash ends runCtx; its cause is the error that Run returns.
	crash  context.CancelCauseFunc
	runCtx context.Context
	// control holds the handlers of the control interface by path.
	control map[string]fasthttp.RequestHandler

	mu sync.Mutex
	// currentListener is the open listener. It is replaced when FaultDown ends.
	currentListener *listener
	// lastID is the id of the latest request that has one.
	lastID string
}

// NewServer returns a server that passes requests to handler. Errors are those of OpenLog.
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

// Faults returns the active faults of the stand-in.
func (s *Server) Faults() *Faults { return s.faults }

// Log returns the stand-in's execution log.
func (s *Server) Log() *ExecutionLog { return s.log }

// Ready returns a channel that is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Address returns the ip:port of the stand-in. It is set once Ready is closed.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the ip:port of the control interface, or an empty
// string if there is none. It is set once Ready is closed.
func (s *Server) ControlAddress() string { return s.controlAddr }

// HandleControl adds a path to the control interface. It must be called before Run.
func (s *Server) HandleControl(path string, h fasthttp.RequestHandler) { s.control[path] = h }

// Run serves until ctx ends. It then refuses new requests and finishes those in
// flight before it returns. The tasks run in the background; an error of one of
// them stops the stand-in and is returned. If FaultCrashOnMatch stops the
// stand-in, Run returns an UpstreamFailed error.
func (s *Server) Run(ctx context.Context, tasks ...func(context.Context) error) error {
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
	for _, task := range tasks {
		wait.Go(func() {
			if err := task(s.runCtx); err != nil && s.runCtx.Err() == nil {
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

// leave refuses new requests and waits for LeaveGrace and for the requests in
// flight, at most for drainLimit.
func (s *Server) leave() {
	s.stopping.Store(true)
	begin := time.Now()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.runCtx.Err() == nil && time.Since(begin) < drainLimit {
		if time.Since(begin) >= s.cfg.LeaveGrace && s.inFlight.Load() == 0 {
			return
		}
		<-ticker.C
	}
}

// Begin adds a request or stream to those in flight, for which a shutdown waits.
// The caller must call end when it is finished.
func (s *Server) Begin() (end func()) {
	s.inFlight.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// Leaving reports whether the stand-in refuses new requests, because it shuts
// down or FaultLeaving is active.
func (s *Server) Leaving() bool { return s.stopping.Load() || s.faults.On(standinapi.FaultLeaving) }

// Reachable reports whether neither FaultDown nor FaultFreeze is active. A
// process that is down or frozen could not renew its registration.
func (s *Server) Reachable() bool {
	return !s.faults.On(standinapi.FaultDown) && !s.faults.On(standinapi.FaultFreeze)
}

// serveLoop serves on ln, and after each FaultDown on a new listener, until the stand-in stops.
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

// serveUntilDown serves on raw until FaultDown starts or the stand-in stops.
func (s *Server) serveUntilDown(raw net.Listener) {
	ln := newListener(s.runCtx, raw, s.faults, s.takeReset)
	s.mu.Lock()
	s.currentListener = ln
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
		ln.closeAll()
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

// takeReset reports whether FaultResetConnection applies to a new connection.
func (s *Server) takeReset() bool {
	_, ok := s.faults.Take(standinapi.FaultResetConnection, "", nil)
	return ok
}

// Context returns a context that ends when the stand-in stops or crashes.
func (s *Server) Context() context.Context { return s.runCtx }

// noLog is a fasthttp.Logger that discards everything.
type noLog struct{}

func (noLog) Printf(string, ...any) {}
