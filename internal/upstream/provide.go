package upstream

import (
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/membership"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the *Client, also as Exchanger and Engine.
func Provide(i do.Injector) {
	do.Provide(i, provideClient)
	do.Provide(i, func(i do.Injector) (Exchanger, error) { return do.Invoke[*Client](i) })
	do.Provide(i, func(i do.Injector) (Engine, error) { return do.Invoke[*Client](i) })
}

func provideClient(i do.Injector) (*Client, error) {
	s := do.MustInvoke[*settings.Settings](i)
	view := do.MustInvoke[membership.View](i)
	client := NewClient(DialTCP, s.Timing, view)
	client.log = do.MustInvoke[logr.Logger](i)
	do.MustInvoke[*duty.Group](i).Add("upstream-connections", duty.StageExchange, client.pool.run)
	return client, nil
}

// NewClient returns a client that dials with dial and reports leaving upstreams
// to leaving. Call Run to close expired idle connections.
func NewClient(dial DialFunc, timing settings.Timing, leaving LeavingMarker) *Client {
	return &Client{pool: newPool(dial, timing), leaving: leaving, options: defaultOptions}
}
