package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// pollJitter spreads the polls of many hosts, as a share of the interval.
const pollJitter = 0.2

// poller reads the head row and applies a higher version.
type poller struct {
	log      logr.Logger
	store    *store
	source   *Source
	contact  *IsolationMonitor
	interval time.Duration
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) error {
	for {
		if err := p.once(ctx); err != nil {
			p.log.V(1).Info("configuration poll failed", "error", err.Error())
		}
		if !pause.For(ctx, jitter(p.interval)) {
			return ctx.Err()
		}
	}
}

func (p *poller) once(ctx context.Context) error {
	head, row, err := p.store.head(ctx)
	if err != nil {
		return err
	}
	p.contact.storeAnswered()
	switch p.source.compare(head.Version, head.Hash) {
	case newer:
		return p.fetch(ctx, head.Version)
	case older:
		p.source.lower.Inc()
		return p.restore(ctx, head, row)
	case forked:
		p.source.forked.Inc()
		p.log.Info("store holds another document under the same configuration version", "version", head.Version, "store_hash", head.Hash)
	case same:
	}
	return nil
}

// restore writes the version in force back to a store that lost it. The write
// holds only if the head row is still the one that was read.
func (p *poller) restore(ctx context.Context, head VersionInfo, row uint64) error {
	record := p.source.Record()
	p.log.Info("store holds a lower configuration version", "store", head.Version, "in_force", record.Version)
	if head.Version != 0 {
		stored, err := p.store.record(ctx, head.Version)
		if err != nil {
			return err
		}
		if err := sameDeployment(stored, record); err != nil {
			return err
		}
	}
	if err := p.store.restore(ctx, record, row); err != nil {
		return err
	}
	p.log.Info("configuration restored to the store", "version", record.Version, "store", head.Version)
	return nil
}

// sameDeployment guards against a host that was pointed at another deployment's store.
func sameDeployment(stored, inForce Record) error {
	theirs, err := stored.parse()
	if err != nil {
		return err
	}
	ours, err := inForce.parse()
	if err != nil {
		return err
	}
	if theirs.Deployment.Name != ours.Deployment.Name {
		return failure.New(failure.Conflict, "", "the store belongs to deployment %s, this host to %s", theirs.Deployment.Name, ours.Deployment.Name)
	}
	return nil
}

func (p *poller) fetch(ctx context.Context, version uint64) error {
	record, err := p.store.record(ctx, version)
	if err != nil {
		return err
	}
	return p.source.apply(record, viaStore)
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter*rand.Float64()))
}
