package rollout

import (
	"cmp"
	"context"
	"slices"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
)

const (
	// maxCommitGroups is the largest number of groups in one commit.
	maxCommitGroups = 16
	// maxCommitBytes is the largest total content that one commit writes into rows, in bytes.
	maxCommitBytes = 256 << 10
)

// advance commits pending groups, discards stale ones and seals the step if it is complete.
// Before the seal it reads the newest version from the weight store and checks the groups again.
func (r *reconciler) advance(ctx context.Context, doc *deployment.Document, cfg deployment.Trainer, view *stepView) error {
	newest := r.versions.Newest(cfg.EnginePool)
	if err := r.commit(ctx, cfg, newest, view); err != nil {
		return err
	}
	if err := r.discardStale(ctx, cfg, newest, view); err != nil {
		return err
	}
	if len(view.committed) < view.step.Needed {
		return nil
	}
	newest, err := r.versions.Refresh(ctx, cfg.EnginePool, doc.EnginePools[cfg.EnginePool].Model)
	if err != nil {
		return err
	}
	if err := r.discardStale(ctx, cfg, newest, view); err != nil {
		return err
	}
	if len(view.committed) < view.step.Needed {
		return nil
	}
	return r.seal(ctx, view)
}

// commit drops the pending groups of a step that are stale, and commits the others in batches
// that each fit into one transaction.
func (r *reconciler) commit(ctx context.Context, cfg deployment.Trainer, newest uint64, view *stepView) error {
	n := view.step.Step
	r.pending[n] = r.withoutStale(cfg, newest, r.pending[n])
	for len(r.pending[n]) > 0 {
		batch := commitBatch(r.pending[n])
		present, err := r.store.commitGroups(ctx, view.step, batch)
		if err != nil {
			return err
		}
		if len(present) == 0 {
			return nil
		}
		for _, g := range present {
			view.committed[g.Group] = g
		}
		r.pending[n] = r.withoutCommitted(view, r.pending[n])
	}
	return nil
}

// commitBatch returns the first groups of pending that fit into one transaction, at least one.
func commitBatch(pending []finishedGroup) []finishedGroup {
	inline := 0
	for i, g := range pending {
		if len(g.encoded) <= maxInlineBytes {
			inline += len(g.encoded)
		}
		if i > 0 && (i >= maxCommitGroups || inline > maxCommitBytes) {
			return pending[:i]
		}
	}
	return pending
}

func (r *reconciler) withoutStale(cfg deployment.Trainer, newest uint64, pending []finishedGroup) []finishedGroup {
	return slices.DeleteFunc(pending, func(g finishedGroup) bool {
		stale := age(newest, g.oldestVersion) > cfg.StalenessBound
		if stale {
			r.bufferedBytes.Add(-int64(len(g.encoded)))
		}
		return stale
	})
}

func (r *reconciler) withoutCommitted(view *stepView, pending []finishedGroup) []finishedGroup {
	return slices.DeleteFunc(pending, func(g finishedGroup) bool {
		_, done := view.committed[g.group]
		if done {
			r.bufferedBytes.Add(-int64(len(g.encoded)))
		}
		return done
	})
}

func (r *reconciler) releaseBuffered(pending []finishedGroup) {
	for _, g := range pending {
		r.bufferedBytes.Add(-int64(len(g.encoded)))
	}
}

// discardStale discards committed groups that are too old to be sealed. A group whose age is
// between maxSealAge and the staleness bound is discarded at most once by this
// reconciler. Without this limit, a step whose rollouts take longer than the time between two
// versions would never end.
func (r *reconciler) discardStale(ctx context.Context, cfg deployment.Trainer, newest uint64, view *stepView) error {
	var stale []groupRow
	for _, g := range view.committed {
		if r.tooOld(cfg, newest, view.step.Step, g) {
			stale = append(stale, g)
		}
	}
	if len(stale) == 0 {
		return nil
	}
	slices.SortFunc(stale, func(a, b groupRow) int { return cmp.Compare(a.Group, b.Group) })
	s, err := r.store.discard(ctx, view.step, stale)
	if err != nil {
		return err
	}
	view.step = s
	for _, g := range stale {
		delete(view.committed, g.Group)
	}
	trainerCounter(r.meters, "discarded_groups_total", r.trainer).Add(len(stale))
	r.log.Info("stale groups dropped", "step", s.Step, "groups", len(stale), "newest", newest)
	return nil
}

func (r *reconciler) tooOld(cfg deployment.Trainer, newest, n uint64, g groupRow) bool {
	behind := age(newest, g.OldestVersion)
	if behind > cfg.StalenessBound {
		return true
	}
	id := groupID{step: n, group: g.Group}
	if behind <= maxSealAge(cfg) || r.discardedEarly[id] {
		return false
	}
	r.discardedEarly[id] = true
	return true
}

// seal fixes the content of a complete step. If more groups than needed are committed, it takes
// those with the newest weight versions.
func (r *reconciler) seal(ctx context.Context, view *stepView) error {
	groups := make([]groupRow, 0, len(view.committed))
	for _, g := range view.committed {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b groupRow) int {
		return cmp.Or(cmp.Compare(b.OldestVersion, a.OldestVersion), cmp.Compare(a.Group, b.Group))
	})
	groups = groups[:view.step.Needed]
	slices.SortFunc(groups, func(a, b groupRow) int { return cmp.Compare(a.Group, b.Group) })
	s, err := r.store.seal(ctx, view.step, groups)
	if err != nil {
		return err
	}
	view.step = s
	r.log.Info("step sealed", "step", s.Step, "groups", len(groups), "epoch", s.Epoch)
	return nil
}
