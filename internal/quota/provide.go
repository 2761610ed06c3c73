package quota

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/duty"
	"github.com/sapphirehatch/sapphirehatch/internal/peer"
)

// Provide registers the *Quota, whose tick loop starts with it.
func Provide(i do.Injector) { do.Provide(i, newQuota) }

func newQuota(i do.Injector) (*Quota, error) {
	exchange, err := do.Invoke[peer.Exchange](i)
	if err != nil {
		return nil, err
	}
	source, err := do.Invoke[deployment.Source](i)
	if err != nil {
		return nil, err
	}
	q := New(exchange, source)
	do.MustInvoke[*duty.Group](i).Add("quota", duty.StageControl, q.run)
	return q, nil
}

func (q *Quota) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			q.Tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}
