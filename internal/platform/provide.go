package platform

import (
	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// Provide registers the HTTP client of each platform interface. All share one
// connection pool.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*transport, error) {
		return newTransport(do.MustInvoke[*settings.Settings](i)), nil
	})
	do.Provide(i, func(i do.Injector) (Table, error) {
		return &httpTable{transport: do.MustInvoke[*transport](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (RowStore, error) {
		return &httpRows{transport: do.MustInvoke[*transport](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (ObjectStore, error) {
		return &httpObjects{transport: do.MustInvoke[*transport](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (Members, error) {
		return &httpMembers{transport: do.MustInvoke[*transport](i), log: do.MustInvoke[logr.Logger](i)}, nil
	})
	do.Provide(i, func(i do.Injector) (Weights, error) {
		return &httpWeights{transport: do.MustInvoke[*transport](i)}, nil
	})
}
