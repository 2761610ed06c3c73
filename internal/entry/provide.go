package entry

import (
	"math/rand/v2"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/quota"
)

// Provide registers the *HostSelector.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*HostSelector, error) {
		exchange, err := do.Invoke[peer.Exchange](i)
		if err != nil {
			return nil, err
		}
		source, err := do.Invoke[deployment.Source](i)
		if err != nil {
			return nil, err
		}
		demand, err := do.Invoke[*quota.Quota](i)
		if err != nil {
			return nil, err
		}
		return New(exchange, source, demand, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), nil
	})
}
