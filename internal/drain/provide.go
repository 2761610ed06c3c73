package drain

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/entryapi"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
	"github.com/sapphirehatch/sapphirehatch/internal/settings"
)

// defaultEntryTTL is the entry TTL before the first deployment document is received.
const defaultEntryTTL = 5 * time.Second

// EntryTTL returns a function that returns how long callers may use an entry
// answer, as the deployment document in force states it.
func EntryTTL(source deployment.Source) func() time.Duration {
	return func() time.Duration {
		if doc := source.Current(); doc != nil {
			return min(doc.Deployment.EntryTTL, entryapi.MaxTTL)
		}
		return defaultEntryTTL
	}
}

// Provide registers the *Drain of this host.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Drain, error) {
		exchange, err := do.Invoke[peer.Exchange](i)
		if err != nil {
			return nil, err
		}
		source, err := do.Invoke[deployment.Source](i)
		if err != nil {
			return nil, err
		}
		s := do.MustInvoke[*settings.Settings](i)
		return New(exchange, EntryTTL(source), do.MustInvoke[logr.Logger](i), s.Timing.StopGrace), nil
	})
}
