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
func (k *reconciler) advance(ctx context.Context, doc *deployment.Document, cfg deployment.Trainer, view *stepView) error {
	newest := k.versions.Newest(cfg.Engines)
	if err := k.commit(ctx, cfg, newest, view); err != nil {
		return err
	}
	if err := k.dropStale(ctx, cfg, newest, view); err != nil {
		return err
	}
	if len(view.committed) < view.step.Needed {
		return nil
	}
	newest, err := k.versions.Refresh(ctx, cfg.Engines, doc.Engines[cfg.Engines].Model)
	if err != nil {
		return err
	}
	if err := k.dropStale(ctx, cfg, newest, view); err != nil {
		return err
	}
	if len(view.committed) < view.step.Needed {
		return nil
	}
	return k.seal(ctx, view)
}

// commit writes the pending groups of a step, in batches that fit into one transaction.
func (k *reconciler) commit(ctx context.Context, cfg deployment.Trainer, newest uint64, view *stepView) error {
	n := view.step.Step
	k.pending[n] = k.withoutStale(cfg, newest, k.pending[n])
	for len(k.pending[n]) > 0 {
		batch := commitBatch(k.pending[n])
		present, err := k.store.commitGroups(ctx, view.step, batch)
		if err != nil {
			return err
		}
		if len(present) == 0 {
			return nil
		}
		for _, g := range present {
			view.committed[g.Group] = g
		}
		k.pending[n] = k.withoutCommitted(view, k.pending[n])
	}
	return nil
}

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

func (k *reconciler) withoutStale(cfg deployment.Trainer, newest uint64, pending []finishedGroup) []finishedGroup {
	return slices.DeleteFunc(pending, func(g finishedGroup) bool {
		stale := age(newest, g.oldest) > cfg.StalenessBound
		if stale {
			k.bufferedBytes.Add(-int64(len(g.encoded)))
		}
		return stale
	})
}

func (k *reconciler) withoutCommitted(view *stepView, pending []finishedGroup) []finishedGroup {
	return slices.DeleteFunc(pending, func(g finishedGroup) bool {
		_, done := view.committed[g.group]
		if done {
			k.bufferedBytes.Add(-int64(len(g.encoded)))
		}
		return done
	})
}

func (k *reconciler) releaseBuffered(pending []finishedGroup) {
	for _, g := range pending {
		k.bufferedBytes.Add(-int64(len(g.encoded)))
	}
}

// dropStale discards committed groups that are too old to be sealed. A group whose age is
// between maxSealAge and the staleness bound is discarded at most once. Otherwise a step whose
// rollouts take longer than the time between two versions would never end.
func (k *reconciler) dropStale(ctx context.Context, cfg deployment.Trainer, newest uint64, view *stepView) error {
	var stale []groupRow
	for _, g := range view.committed {
		if k.tooOld(cfg, newest, view.step.Step, g) {
			stale = append(stale, g)
		}
	}
	if len(stale) == 0 {
		return nil
	}
	slices.SortFunc(stale, func(a, b groupRow) int { return cmp.Compare(a.Group, b.Group) })
	s, err := k.store.discard(ctx, view.step, stale)
	if err != nil {
		return err
	}
	view.step = s
	for _, g := range stale {
		delete(view.committed, g.Group)
	}
	trainerCounter(k.meters, "discarded_groups_total", k.trainer).Add(len(stale))
	k.log.Info("stale groups dropped", "step", s.Step, "groups", len(stale), "newest", newest)
	return nil
}

func (k *reconciler) tooOld(cfg deployment.Trainer, newest, n uint64, g groupRow) bool {
	behind := age(newest, g.Oldest)
	if behind > cfg.StalenessBound {
		return true
	}
	id := groupID{step: n, group: g.Group}
	if behind <= maxSealAge(cfg) || k.droppedEarly[id] {
		return false
	}
	k.droppedEarly[id] = true
	return true
}

// seal fixes the content of a complete step. If more groups than needed are committed, it takes
// those with the newest weight versions.
func (k *reconciler) seal(ctx context.Context, view *stepView) error {
	groups := make([]groupRow, 0, len(view.committed))
	for _, g := range view.committed {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b groupRow) int {
		return cmp.Or(cmp.Compare(b.Oldest, a.Oldest), cmp.Compare(a.Group, b.Group))
	})
	groups = groups[:view.step.Needed]
	slices.SortFunc(groups, func(a, b groupRow) int { return cmp.Compare(a.Group, b.Group) })
	s, err := k.store.seal(ctx, view.step, groups)
	if err != nil {
		return err
	}
	view.step = s
	k.log.Info("step sealed", "step", s.Step, "groups", len(groups), "epoch", s.Epoch)
	return nil
}
