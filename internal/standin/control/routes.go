package control

import (
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

func (s *Server) addControlRoutes() {
	s.HandleControl(standinapi.PathFault, s.handleFault)
	s.HandleControl(standinapi.PathLog, s.handleLog)
}

// serveControl starts the server of the control interface, if one is configured.
func (s *Server) serveControl(wait *sync.WaitGroup) error {
	if s.cfg.ListenControl == nil {
		return nil
	}
	ln, err := s.cfg.ListenControl()
	if err != nil {
		return err
	}
	s.controlAddr = ln.Addr().String()
	server := &fasthttp.Server{
		Handler:               s.routeControl,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                noLog{},
		DisableKeepalive:      true,
	}
	wait.Go(func() { _ = server.Serve(ln) })
	wait.Go(func() {
		<-s.runCtx.Done()
		_ = ln.Close()
	})
	return nil
}

func (s *Server) routeControl(ctx *fasthttp.RequestCtx) {
	h, ok := s.control[string(ctx.Path())]
	if !ok {
		refuse(ctx, failure.New(failure.NotFound, failure.NotRun, "control path %s does not exist", ctx.Path()))
		return
	}
	h(ctx)
}

// handleFault switches a fault by POST and lists the active faults by GET.
func (s *Server) handleFault(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, s.faults.Active())
		return
	}
	var fault standinapi.Fault
	if !jsonhttp.ReadJSON(ctx, &fault) {
		return
	}
	if err := s.SetFault(fault); err != nil {
		refuse(ctx, err)
		return
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, fault)
}

// SetFault switches a fault on or off. FaultSilentConnections applies to the
// connections that are open at this moment. Errors are those of Faults.Set.
func (s *Server) SetFault(fault standinapi.Fault) error {
	if err := s.faults.Set(fault); err != nil {
		return err
	}
	s.mu.Lock()
	open := s.currentListener
	s.mu.Unlock()
	if fault.Kind == standinapi.FaultSilentConnections && fault.On && open != nil {
		open.makeSilent()
	}
	return nil
}

func (s *Server) handleLog(ctx *fasthttp.RequestCtx) {
	after := 0
	if text := string(ctx.QueryArgs().Peek("after")); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			refuse(ctx, failure.New(failure.InvalidRequest, failure.NotRun, "query parameter after must be a number of entries, at least 0").WithField("after"))
			return
		}
		after = n
	}
	jsonhttp.WriteJSON(ctx, fasthttp.StatusOK, standinapi.LogResponse{Entries: s.log.Entries(after)})
}

func refuse(ctx *fasthttp.RequestCtx, err error) { jsonhttp.WriteError(ctx, err) }
