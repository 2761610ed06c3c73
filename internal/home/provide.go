package home

import (
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/claim"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// Provide registers the *Client.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Client, error) {
		exchange, err := do.Invoke[peer.Exchange](i)
		if err != nil {
			return nil, err
		}
		registry, err := do.Invoke[*claim.Registry](i)
		if err != nil {
			return nil, err
		}
		return NewClient(exchange, registry), nil
	})
}
