package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

// pollJitter is the largest random reduction of the poll interval, as a share of
// it. It spreads the polls of the hosts over time.
const pollJitter = 0.2

// poller reads the newest version from the store and applies it. If the store
// lost versions, it restores them.
type poller struct {
	log       logr.Logger
	store     *store
	source    *Source
	isolation *IsolationMonitor
	interval  time.Duration
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) error {
	for {
		if err := p.pollOnce(ctx); err != nil {
			p.log.V(1).Info("configuration poll failed", "error", err.Error())
		}
		if !pause.For(ctx, withJitter(p.interval)) {
			return ctx.Err()
		}
	}
}

// pollOnce reads the head row. It applies the store's version if that is higher than the
// one in force, and restores the one in force if the store's is lower.
func (p *poller) pollOnce(ctx context.Context) error {
	head, headRowVersion, err := p.store.head(ctx)
	if err != nil {
		return err
	}
	p.isolation.recordStoreReply()
	switch p.source.compare(head.Version, head.Hash) {
	case newerVersion:
		return p.fetch(ctx, head.Version)
	case olderVersion:
		p.source.lowerSeen.Inc()
		return p.restore(ctx, head, headRowVersion)
	case forkedVersion:
		p.source.forkedSeen.Inc()
		p.log.Info("store holds another document under the same configuration version", "version", head.Version, "store_hash", head.Hash)
	case sameVersion:
	}
	return nil
}

// restore writes the version in force back to a store that lost it. It fails if the
// store belongs to another deployment, or if the head row has changed since it was read.
func (p *poller) restore(ctx context.Context, head VersionInfo, headRowVersion uint64) error {
	record := p.source.Record()
	p.log.Info("store holds a lower configuration version", "store", head.Version, "in_force", record.Version)
	if head.Version != 0 {
		stored, err := p.store.record(ctx, head.Version)
		if err != nil {
			return err
		}
		if err := checkSameDeployment(stored, record); err != nil {
			return err
		}
	}
	if err := p.store.restore(ctx, record, headRowVersion); err != nil {
		return err
	}
	p.log.Info("configuration restored to the store", "version", record.Version, "store", head.Version)
	return nil
}

// checkSameDeployment returns an error if the store belongs to another
// deployment, which happens if a host is configured with the wrong store.
func checkSameDeployment(stored, inForce Record) error {
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

// fetch reads a version from the store and applies it.
func (p *poller) fetch(ctx context.Context, version uint64) error {
	record, err := p.store.record(ctx, version)
	if err != nil {
		return err
	}
	return p.source.apply(record, originStore)
}

// withJitter returns d reduced by a random share of up to pollJitter.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter*rand.Float64()))
}
