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
	maxChangeIDLength = 64
	// commitTimeout bounds one commit, retries included.
	commitTimeout = 5 * time.Second
	// commitPause is the wait before a commit is tried again.
	commitPause = 100 * time.Millisecond
)

// Change is a change that an operator asks for.
type Change struct {
	ID       string
	Operator string
	// Base is the version that the operator edited; zero for the first document.
	Base uint64
	Text []byte
}

// ConflictError is the cause of the Conflict error of a commit: another change was accepted first.
type ConflictError struct {
	// Current is the newest accepted version.
	Current VersionInfo
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted at %s from operator %s as change %s",
		e.Current.Version, e.Current.AcceptedAt.Format(time.RFC3339), e.Current.Operator, e.Current.ChangeID)
}

// Committer accepts changes.
type Committer struct {
	log    logr.Logger
	store  *store
	source *Source
	// announced returns the highest version that a peer announced.
	announced func() uint64
	pusher    *pusher
	now       func() time.Time
}

// highest returns the highest version that this host knows to be accepted.
func (c *Committer) highest() uint64 { return max(c.source.Record().Version, c.announced()) }

// Commit accepts a change. Its errors are InvalidDocument, InvalidRequest,
// Conflict, KeyReused if the change id was used for another text,
// StoreUnavailable if the change was surely not accepted, and StoreInDoubt if it
// may have been; repeating the same change settles that.
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
	attempt := &attempt{committer: c, change: change, hash: HashText(change.Text)}
	head, err := attempt.run(ctx)
	if err != nil {
		c.log.Info("configuration change not accepted", "change", change.ID, "operator", change.Operator, "base", change.Base, "error", err.Error())
		return VersionInfo{}, err
	}
	if attempt.before {
		c.log.Info("configuration change was accepted before", "version", head.Version, "change", change.ID, "operator", change.Operator)
	} else {
		c.log.Info("configuration change accepted", "audit", true, "version", head.Version, "change", change.ID,
			"operator", change.Operator, "base", change.Base, "hash", head.Hash)
	}
	record := Record{VersionInfo: head, Text: string(change.Text)}
	if err := c.source.apply(record, viaCommit); err != nil {
		return VersionInfo{}, err
	}
	c.pusher.push(ctx, record)
	return head, nil
}

// attempt is the commit of one change, tried until its outcome is certain or time is up.
type attempt struct {
	committer *Committer
	change    Change
	hash      string
	// inDoubt is true once a write was sent whose reply was lost.
	inDoubt bool
	// before is true if the change was accepted by an earlier call.
	before bool
}

func (a *attempt) run(ctx context.Context) (VersionInfo, error) {
	for {
		head, err := a.once(ctx)
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
		if !pause.For(ctx, commitPause) {
			return VersionInfo{}, a.unsettled(err)
		}
	}
}

// unsettled is the error of a commit that ran out of time.
func (a *attempt) unsettled(cause error) error {
	if a.inDoubt {
		return failure.Wrap(cause, failure.StoreInDoubt, failure.Unknown, "change %s may have been accepted; repeat it with the same id", a.change.ID)
	}
	return failure.Wrap(cause, failure.StoreUnavailable, failure.NotRun, "change %s was not accepted", a.change.ID)
}

// once reads where the change stands and writes it if nothing is in its way.
func (a *attempt) once(ctx context.Context) (VersionInfo, error) {
	seen, err := a.committer.store.snapshot(ctx, a.change.ID)
	if err != nil {
		return VersionInfo{}, err
	}
	if seen.change.Version != 0 {
		return a.repeated(seen.change)
	}
	record, err := a.decide(seen)
	if isFinalConflict(err) {
		return a.confirmConflict(ctx, err)
	}
	if err != nil {
		return VersionInfo{}, err
	}
	return record.VersionInfo, a.committer.store.write(ctx, record, seen.row)
}

// confirmConflict reads the change's row again, because a table may answer the
// rows of one read from different moments: had the change itself moved the head
// row, its own row is there by now.
func (a *attempt) confirmConflict(ctx context.Context, conflict error) (VersionInfo, error) {
	seen, err := a.committer.store.snapshot(ctx, a.change.ID)
	if err != nil {
		return VersionInfo{}, err
	}
	if seen.change.Version != 0 {
		return a.repeated(seen.change)
	}
	return VersionInfo{}, conflict
}

// decide returns the record that the change becomes on top of a snapshot.
func (a *attempt) decide(seen snapshot) (Record, error) {
	if known := a.committer.highest(); known > seen.head.Version {
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

// repeated answers a change that was accepted before.
func (a *attempt) repeated(accepted VersionInfo) (VersionInfo, error) {
	if accepted.Hash != a.hash {
		return VersionInfo{}, failure.New(failure.KeyReused, failure.NotRun, "change id %s was used for another document, accepted as version %d",
			a.change.ID, accepted.Version).WithField("change_id")
	}
	// A write of this call that was in doubt is no repeat.
	a.before = !a.inDoubt
	return accepted, nil
}

// isFinalConflict tells another operator's accepted change from a table check that did not hold.
func isFinalConflict(err error) bool { return AsConflict(err) != nil }

// AsConflict returns the ConflictError that err carries, or nil.
func AsConflict(err error) *ConflictError {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}
