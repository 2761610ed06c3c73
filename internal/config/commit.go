package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/internal/pause"
)

const (
	// maxChangeIDLength is the maximum length of a change id, in bytes.
	maxChangeIDLength = 64
	// commitTimeout bounds one commit including its retries.
	commitTimeout = 5 * time.Second
	// commitRetryDelay is the wait before a commit is retried.
	commitRetryDelay = 100 * time.Millisecond
)

// Change is an operator's change of the deployment document.
type Change struct {
	// ID identifies the change. A repeat with the same id has no further effect.
	ID string
	// Operator is the name of the operator.
	Operator string
	// Base is the version that the operator edited; zero for the first document.
	Base uint64
	// Text is the complete new document.
	Text []byte
}

// ConflictError is the cause of a Conflict error of Commit: the operator edited a
// version that is not the newest.
type ConflictError struct {
	// Current is the newest accepted version.
	Current VersionInfo
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted at %s from operator %s as change %s",
		e.Current.Version, e.Current.AcceptedAt.Format(time.RFC3339), e.Current.Operator, e.Current.ChangeID)
}

// Committer validates changes and commits them to the store.
type Committer struct {
	log    logr.Logger
	store  *store
	source *Source
	// announcedVersion returns the highest version that a peer announced.
	announcedVersion func() uint64
	pusher           *pusher
	now              func() time.Time
}

// highestKnownVersion returns the highest version in force on this host or on a peer.
func (c *Committer) highestKnownVersion() uint64 {
	return max(c.source.Record().Version, c.announcedVersion())
}

// Commit validates a change, commits it as a new version, puts it in force on
// this host and pushes it to a few peers. If the change was accepted before, it
// returns the version that it led to.
//
// Errors are InvalidRequest for the change id, InvalidDocument, Conflict with a
// ConflictError, KeyReused if the change id was used for another document,
// StoreUnavailable if the change was certainly not accepted, StoreInDoubt if it may
// have been, and Internal if a row cannot be encoded or decoded. After StoreInDoubt, a
// repeat of the same change shows whether it was accepted.
func (c *Committer) Commit(ctx context.Context, change Change) (VersionInfo, error) {
	if !validChangeID(change.ID) {
		return VersionInfo{}, failure.New(failure.InvalidRequest, "", "the change id %q is not allowed", change.ID).
			WithField("change_id").WithLimit(fmt.Sprintf("1 to %d characters without spaces and slashes", maxChangeIDLength))
	}
	if _, err := deployment.Parse(change.Text); err != nil {
		return VersionInfo{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	attempt := &commitAttempt{committer: c, change: change, hash: HashText(change.Text)}
	head, err := attempt.run(ctx)
	if err != nil {
		c.log.Info("configuration change not accepted", "change", change.ID, "operator", change.Operator, "base", change.Base, "error", err.Error())
		return VersionInfo{}, err
	}
	if attempt.alreadyAccepted {
		c.log.Info("configuration change was accepted before", "version", head.Version, "change", change.ID, "operator", change.Operator)
	} else {
		c.log.Info("configuration change accepted", "audit", true, "version", head.Version, "change", change.ID,
			"operator", change.Operator, "base", change.Base, "hash", head.Hash)
	}
	record := Record{VersionInfo: head, Text: string(change.Text)}
	if err := c.source.apply(record, originCommit); err != nil {
		return VersionInfo{}, err
	}
	c.pusher.pushToPeers(ctx, record)
	return head, nil
}

// commitAttempt is the commit of one change. It is retried until the outcome is
// certain or commitTimeout has passed.
type commitAttempt struct {
	committer *Committer
	change    Change
	// hash is the hash of the change's text.
	hash string
	// inDoubt is true once the outcome of a write was unknown.
	inDoubt bool
	// alreadyAccepted is true if the change was accepted by an earlier call.
	alreadyAccepted bool
}

// run tries to commit until the outcome is certain or ctx ends.
func (a *commitAttempt) run(ctx context.Context) (VersionInfo, error) {
	for {
		head, err := a.tryOnce(ctx)
		switch {
		case err == nil:
			return head, nil
		case failure.IsKind(err, failure.StoreInDoubt):
			a.inDoubt = true
		case !failure.IsKind(err, failure.StoreUnavailable) && !failure.IsKind(err, failure.Conflict):
			return VersionInfo{}, err
		case isFinalConflict(err):
			return VersionInfo{}, err
		}
		if !pause.For(ctx, commitRetryDelay) {
			return VersionInfo{}, a.timeoutError(err)
		}
	}
}

// timeoutError returns the error of a commit that was not completed in time.
func (a *commitAttempt) timeoutError(cause error) error {
	if a.inDoubt {
		return failure.Wrap(cause, failure.StoreInDoubt, failure.Unknown, "change %s may have been accepted; repeat it with the same id", a.change.ID)
	}
	return failure.Wrap(cause, failure.StoreUnavailable, failure.NotRun, "change %s was not accepted", a.change.ID)
}

// tryOnce reads whether the change was accepted and otherwise tries to write it.
func (a *commitAttempt) tryOnce(ctx context.Context) (VersionInfo, error) {
	seen, err := a.committer.store.snapshot(ctx, a.change.ID)
	if err != nil {
		return VersionInfo{}, err
	}
	if seen.change.Version != 0 {
		return a.resolveRepeat(seen.change)
	}
	record, err := a.nextRecord(seen)
	if isFinalConflict(err) {
		return a.confirmConflict(ctx, err)
	}
	if err != nil {
		return VersionInfo{}, err
	}
	return record.VersionInfo, a.committer.store.write(ctx, record, seen.headRowVersion)
}

// confirmConflict reads the change's row again before a conflict is reported. A
// table may return the rows of one read from different points in time, so the
// new head may be this very change. In that case its row is readable by now.
func (a *commitAttempt) confirmConflict(ctx context.Context, conflict error) (VersionInfo, error) {
	seen, err := a.committer.store.snapshot(ctx, a.change.ID)
	if err != nil {
		return VersionInfo{}, err
	}
	if seen.change.Version != 0 {
		return a.resolveRepeat(seen.change)
	}
	return VersionInfo{}, conflict
}

// nextRecord returns the record to write for the change on top of a snapshot. The
// error is a final conflict if the change was made from another version, and
// StoreUnavailable if the store has lost versions that are in force.
func (a *commitAttempt) nextRecord(seen snapshot) (Record, error) {
	if known := a.committer.highestKnownVersion(); known > seen.head.Version {
		return Record{}, failure.New(failure.StoreUnavailable, failure.NotRun,
			"the store lost versions: it holds %d, but %d is in force; a host is restoring it", seen.head.Version, known)
	}
	if seen.head.Version != a.change.Base {
		conflict := &ConflictError{Current: seen.head}
		return Record{}, failure.Wrap(conflict, failure.Conflict, failure.NotRun, "version %d was edited, but version %d is the newest",
			a.change.Base, seen.head.Version).WithField("base")
	}
	head := VersionInfo{
		Version:    seen.head.Version + 1,
		ChangeID:   a.change.ID,
		Operator:   a.change.Operator,
		AcceptedAt: a.committer.now().UTC().Round(0),
		Hash:       a.hash,
	}
	return Record{VersionInfo: head, Text: string(a.change.Text)}, nil
}

// resolveRepeat returns the result of a change that is already in the store.
func (a *commitAttempt) resolveRepeat(accepted VersionInfo) (VersionInfo, error) {
	if accepted.Hash != a.hash {
		return VersionInfo{}, failure.New(failure.KeyReused, failure.NotRun, "change id %s was used for another document, accepted as version %d",
			a.change.ID, accepted.Version).WithField("change_id")
	}
	// If a write of this attempt was in doubt, it is the one that was accepted.
	a.alreadyAccepted = !a.inDoubt
	return accepted, nil
}

// isFinalConflict reports whether err is a conflict with another accepted change,
// as opposed to a failed check of a table transaction, which is retried.
func isFinalConflict(err error) bool { return AsConflict(err) != nil }

// AsConflict returns the ConflictError in err's chain, or nil.
func AsConflict(err error) *ConflictError {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}
