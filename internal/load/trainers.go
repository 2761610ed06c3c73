package load

import (
	"context"
	"sync"

	"github.com/samber/lo"

	"github.com/sapphirehatch/sapphirehatch/internal/standin/control"
	"github.com/sapphirehatch/sapphirehatch/internal/standin/trainer"
)

// prepareTrainers creates the experiment's trainers.
func (a *armRun) prepareTrainers(ctx context.Context) error {
	for _, t := range a.experiment.Trainers {
		first := t.FirstStep
		if first == 0 {
			first = uint64(a.start.UnixMilli())
		}
		hosts, err := a.trainerHosts(ctx, t)
		if err != nil {
			return err
		}
		s, err := trainer.New(trainer.Config{
			Server: control.Config{Listen: control.ListenTCP("127.0.0.1:0")},
			Name:   t.Name, Token: t.Token, Hosts: hosts, Platform: a.experiment.Settings.Platform,
			Model: t.Model, Steps: t.Steps, FirstStep: first, Groups: t.Groups, GroupSize: t.GroupSize,
			MaxTokens: t.MaxTokens, PromptBytes: t.PromptBytes, Seed: a.experiment.Settings.Seed, Ahead: t.Ahead,
			TrainTime: t.TrainTime, PublishAfterStep: t.Publish && t.PublishEvery == 0,
			PublishEvery: lo.Ternary(t.Publish, t.PublishEvery, 0), WeightBytes: t.WeightBytes, RefetchEvery: t.RefetchEvery,
		})
		if err != nil {
			return err
		}
		a.trainers = append(a.trainers, s)
	}
	return nil
}

// runTrainers starts the trainers. A trainer without a number of steps stops at the
// end of the duration; one with a number may also use the settle time.
func (a *armRun) runTrainers(ctx context.Context, wait *sync.WaitGroup) {
	var mu sync.Mutex
	for i, s := range a.trainers {
		t := a.experiment.Trainers[i]
		wait.Go(func() {
			limit := a.experiment.Settings.Duration
			if t.Steps > 0 {
				limit += a.experiment.Settings.Settle
			}
			trainerCtx, stop := context.WithTimeout(ctx, limit)
			defer stop()
			if err := s.Run(trainerCtx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				a.trainerErrors[t.Name] = err
			}
		})
	}
}

// trainerHosts returns the addresses that a trainer requests its steps from. For
// ViaBarrier it starts a barrier.
func (a *armRun) trainerHosts(ctx context.Context, t Trainer) ([]string, error) {
	if t.Via != ViaBarrier {
		return a.experiment.Settings.Hosts, nil
	}
	b, err := startBarrier(ctx, a.experiment.poolAddresses(t.Pool), t.Model)
	if err != nil {
		return nil, err
	}
	a.barriers = append(a.barriers, b)
	return []string{b.address()}, nil
}

func (a *armRun) closeBarriers() {
	for _, b := range a.barriers {
		b.close()
	}
}
