package settle

import (
	"context"
	"encoding/json"
	"errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// Commit makes an approved change the next revision and returns its number. It is
// idempotent: for a change that was committed before it returns that revision.
// It returns fault.SettingsConflict with a Conflict in its chain if another
// change was committed after the base, fault.SettingsUnsettled if an approval is
// missing, and fault.StoreAmbiguous if the outcome is not yet known.
func (l *Changelog) Commit(ctx context.Context, id string) (Revision, error) {
	var err error
	for range maxStoreAttempts {
		var a commitAttempt
		a, err = l.prepareCommit(ctx, id)
		if err != nil || a.committed {
			return a.revision, err
		}
		err = l.reader.table.Apply(ctx, a.tx)
		switch {
		case err == nil:
			l.cacheDoc(docRevision{revision: a.revision, doc: a.after})
			return a.revision, nil
		case fault.Is(err, fault.StoreConflict):
			continue
		case !fault.Is(err, fault.StoreAmbiguous):
			return 0, err
		}
		r, resolveErr := l.Resolve(ctx, id)
		if resolveErr != nil || r.Outcome == OutcomeNotYetKnown {
			return 0, fault.Wrap(err, fault.StoreAmbiguous, "commit of change %s is not yet known", id)
		}
		if r.Outcome == OutcomeAccepted {
			return r.Revision, nil
		}
	}
	return 0, err
}

// commitAttempt is the transaction of one attempt at a commit, with its result.
type commitAttempt struct {
	tx       store.Tx
	after    *tree.Document
	revision Revision
	// committed is set if the change was committed before; there is then no
	// transaction to apply.
	committed bool
}

// prepareCommit checks that the change can be committed on top of the head and
// builds the transaction for it.
func (l *Changelog) prepareCommit(ctx context.Context, id string) (commitAttempt, error) {
	c, changeVersion, err := l.readChange(ctx, id)
	if err != nil {
		return commitAttempt{}, err
	}
	if c.State == StateCommitted {
		return commitAttempt{revision: c.Revision, committed: true}, nil
	}
	if err := requireProposed(c); err != nil {
		return commitAttempt{}, err
	}
	head, headVersion, err := l.reader.head(ctx)
	if err != nil {
		return commitAttempt{}, err
	}
	if head.Revision != c.Base {
		return l.baseMoved(ctx, c, head)
	}
	before, err := l.docAt(ctx, head.Revision)
	if err != nil {
		return commitAttempt{}, err
	}
	after, err := applyOps(before, c.Ops)
	if err != nil {
		return commitAttempt{}, err
	}
	owners, err := checkApprovals(before, after, c)
	if err != nil {
		return commitAttempt{}, err
	}
	c.State, c.Revision = StateCommitted, head.Revision+1
	tx, err := commitTx(c, owners, headVersion, changeVersion)
	return commitAttempt{tx: tx, after: after, revision: c.Revision}, err
}

// commitTx returns the transaction that writes the head, the revision and the
// change. It has conditions on all three rows, so a commit that reaches the table
// late or twice has no effect.
func commitTx(c Change, owners []string, headVersion, changeVersion uint64) (store.Tx, error) {
	head, headErr := json.Marshal(Head{Revision: c.Revision, Change: c.ID})
	delta, deltaErr := json.Marshal(Delta{
		Revision: c.Revision, Change: c.ID, Author: c.Author, Approvals: owners, Note: c.Note, At: now(), Ops: c.Ops,
	})
	change, changeErr := json.Marshal(c)
	if err := errors.Join(headErr, deltaErr, changeErr); err != nil {
		return store.Tx{}, fault.Wrap(err, fault.Internal, "change %s", c.ID)
	}
	changeKey := changePrefix + c.ID
	return store.Tx{
		ID:    c.ID,
		Conds: []store.Cond{{Key: headKey, Version: headVersion}, {Key: revisionKey(c.Revision)}, {Key: changeKey, Version: changeVersion}},
		Puts:  []store.Put{{Key: headKey, Value: head}, {Key: revisionKey(c.Revision), Value: delta}, {Key: changeKey, Value: change}},
	}, nil
}

// baseMoved handles a change whose base is no longer the head. It returns the
// conflict, unless the change itself was committed between the reads of the
// change and of the head.
func (l *Changelog) baseMoved(ctx context.Context, c Change, head Head) (commitAttempt, error) {
	if reread, _, err := l.readChange(ctx, c.ID); err == nil && reread.State == StateCommitted {
		return commitAttempt{revision: reread.Revision, committed: true}, nil
	}
	to := min(head.Revision, c.Base+snapshotThreshold)
	since, _ := l.reader.deltas(ctx, c.Base, to)
	conflict := &Conflict{Change: c.ID, Base: c.Base, Head: head.Revision, DeltasSinceBase: since, OverlappingOps: overlappingOps(since, c.Ops)}
	return commitAttempt{}, fault.Wrap(conflict, fault.SettingsConflict, "base %d, head %d", c.Base, head.Revision)
}

// Outcome is the outcome of a commit.
type Outcome string

// The outcomes of a commit.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeNotAccepted Outcome = "not-accepted"
	OutcomeNotYetKnown Outcome = "not-yet-known"
)

// Resolution is the outcome of a commit as found by Resolve.
type Resolution struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the revision of the change if the outcome is OutcomeAccepted.
	Revision Revision `json:"revision,omitempty"`
}

// Resolve determines the outcome of the commits of a change by reading the
// revision that follows its base. If that revision does not exist, a delayed
// commit may still reach the table. Resolve then rewrites the row of the change:
// every commit has a condition on the version of this row, so a delayed one fails
// and OutcomeNotAccepted remains true. While the store does not answer, the
// outcome is OutcomeNotYetKnown. The error is fault.NotFound for an unknown change.
func (l *Changelog) Resolve(ctx context.Context, id string) (Resolution, error) {
	for range maxStoreAttempts {
		c, version, err := l.readChange(ctx, id)
		if fault.Is(err, fault.NotFound) {
			return Resolution{}, err
		}
		if err != nil {
			break
		}
		if c.State == StateCommitted {
			return Resolution{Outcome: OutcomeAccepted, Revision: c.Revision}, nil
		}
		if c.State != StateProposed {
			return Resolution{Outcome: OutcomeNotAccepted}, nil
		}
		next := c.Base + 1
		row, err := l.reader.table.Get(ctx, revisionKey(next))
		if err == nil {
			return resolutionFromRow(row, next, id), nil
		}
		if !fault.Is(err, fault.RowMissing) {
			break
		}
		c.Fence++
		err = l.writeChange(ctx, c, version)
		if err == nil {
			return Resolution{Outcome: OutcomeNotAccepted}, nil
		}
		if !mustReread(err) {
			break
		}
	}
	return Resolution{Outcome: OutcomeNotYetKnown}, nil
}

// resolutionFromRow returns the outcome OutcomeAccepted if the row of the revision
// names the change, OutcomeNotAccepted if it names another one, and
// OutcomeNotYetKnown if it cannot be decoded.
func resolutionFromRow(row store.Row, revision Revision, id string) Resolution {
	d, err := decodeDelta(row, revision)
	if err != nil {
		return Resolution{Outcome: OutcomeNotYetKnown}
	}
	if d.Change != id {
		return Resolution{Outcome: OutcomeNotAccepted}
	}
	return Resolution{Outcome: OutcomeAccepted, Revision: revision}
}
