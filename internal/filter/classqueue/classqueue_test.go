package classqueue

import (
	"context"
	"testing"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/filter"
)

func TestWaitingRequestsOfAClassAreBounded(t *testing.T) {
	q := &ClassQueue{}
	doc := &deployment.Document{Deployment: deployment.Deployment{QueueLimit: 2}}
	send := func(class deployment.Class, next filter.Handler) error {
		return q.Handle(t.Context(), &filter.Request{Document: doc, Class: class}, next)
	}
	ok := func(context.Context, *filter.Request) error { return nil }
	err := send(deployment.ClassInteractive, func(context.Context, *filter.Request) error {
		return send(deployment.ClassInteractive, func(_ context.Context, r *filter.Request) error {
			if err := send(deployment.ClassInteractive, ok); !failure.IsKind(err, failure.QueueFull) || failure.As(err).Outcome != failure.NotRun {
				t.Error(err)
			}
			if err := send(deployment.ClassRollout, ok); err != nil {
				t.Error(err)
			}
			r.DispatchStarted(time.Now())
			return send(deployment.ClassInteractive, ok)
		})
	})
	if err != nil || q.waiting[deployment.ClassInteractive] != 0 {
		t.Error(err, q.waiting)
	}
}

func TestExpiredDeadlineIsRefused(t *testing.T) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	err := (&ClassQueue{}).Handle(ctx, &filter.Request{}, nil)
	if e := failure.As(err); e.Kind != failure.DeadlineExceeded || e.Outcome != failure.NotRun {
		t.Error(err)
	}
}
