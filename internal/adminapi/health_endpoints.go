package adminapi

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/health"
)

// healthEndpoints serves the health check, the readiness check and the metrics.
type healthEndpoints struct {
	view   health.View
	reader *config.Reader
	set    *metrics.Set
}

func (e *healthEndpoints) register(s *Server) {
	// The checks need no operator's token, unlike the metrics.
	s.app.Get(PathHealth, e.live)
	s.app.Get(PathReady, e.ready)
	s.Handle(http.MethodGet, PathMetrics, deployment.RoleViewer, e.metrics)
}

func (e *healthEndpoints) live(c fiber.Ctx) error { return c.SendString("ok\n") }

func (e *healthEndpoints) ready(c fiber.Ctx) error {
	state := e.view.State()
	if state != health.Ready {
		c.Status(http.StatusServiceUnavailable)
	}
	return c.JSON(ReadyResponse{State: state, ConfigVersion: e.reader.InForce().Version})
}

func (e *healthEndpoints) metrics(c fiber.Ctx, _ Operator) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	e.set.WritePrometheus(c)
	metrics.WriteProcessMetrics(c)
	return nil
}
