package command

import (
	"context"
	"fmt"
	"time"

	"github.com/sapphirehatch/sapphirehatch/platform/standin"
)

// standinRows runs a stand-in of the users' platform, with its engines and services, in
// one process.
type standinRows struct {
	Door     []string      `help:"TCP ip:port at which the row service listens, one for each host." required:""`
	Engines  int           `help:"Number of engines." default:"3"`
	Services int           `help:"Number of replicas of the plain service." default:"2"`
	Slots    int           `help:"Maximum number of concurrent requests of a replica." default:"8"`
	Events   int           `help:"Number of events of each run." default:"8"`
	Pace     time.Duration `help:"Time between two events." default:"20ms"`
}

// Run serves until ctx ends.
func (c *standinRows) Run(ctx context.Context, out *streams) error {
	log, err := newLogger(out.Err, "info")
	if err != nil {
		return err
	}
	store := standin.NewStore()
	for _, address := range c.Door {
		listener, err := store.ListenAt(address)
		if err != nil {
			return err
		}
		defer listener.Close()
	}
	for i := range c.Engines {
		engine, err := store.NewEngine(fmt.Sprintf("engine-%d", i+1), standin.EngineService, c.Slots, standin.Model)
		if err != nil {
			return err
		}
		engine.Events, engine.Pace = c.Events, c.Pace
		defer engine.Close()
	}
	for i := range c.Services {
		service, err := store.NewService(fmt.Sprintf("service-%d", i+1), standin.PlainService, c.Slots)
		if err != nil {
			return err
		}
		defer service.Close()
	}
	store.Configure(1, "")
	log.Info("ready", "standin", "rows", "doors", len(c.Door), "engines", c.Engines, "services", c.Services)
	<-ctx.Done()
	return nil
}
