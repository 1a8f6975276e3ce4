package settle

import (
	"context"
	"encoding/json"
	"errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// Commit makes a settled change the next revision and returns its number. It
// may be repeated: a change that was committed before returns its revision.
// It returns fault.SettingsConflict with a Conflict in its chain if another
// change was accepted since the base, fault.SettingsUnsettled if an approval is
// missing, and fault.StoreAmbiguous if the outcome is not yet known.
func (l *Changelog) Commit(ctx context.Context, id string) (Revision, error) {
	var err error
	for range storeTries {
		var a attempt
		a, err = l.prepareCommit(ctx, id)
		if err != nil || a.done {
			return a.revision, err
		}
		err = l.src.table.Apply(ctx, a.tx)
		switch {
		case err == nil:
			l.remember(version{revision: a.revision, doc: a.after})
			return a.revision, nil
		case fault.Is(err, fault.StoreConflict):
			continue
		case !fault.Is(err, fault.StoreAmbiguous):
			return 0, err
		}
		r, resolveErr := l.Resolve(ctx, id)
		if resolveErr != nil || r.Outcome == NotYetKnown {
			return 0, fault.Wrap(err, fault.StoreAmbiguous, "commit of change %s is not yet known", id)
		}
		if r.Outcome == Accepted {
			return r.Revision, nil
		}
	}
	return 0, err
}

// attempt is one try of a commit.
type attempt struct {
	tx       store.Tx
	after    *tree.Doc
	revision Revision
	// done says that the change was accepted before.
	done bool
}

func (l *Changelog) prepareCommit(ctx context.Context, id string) (attempt, error) {
	c, changeRow, err := l.read(ctx, id)
	if err != nil {
		return attempt{}, err
	}
	if c.State == Committed {
		return attempt{revision: c.Revision, done: true}, nil
	}
	if err := demandProposed(c); err != nil {
		return attempt{}, err
	}
	head, headRow, err := l.src.head(ctx)
	if err != nil {
		return attempt{}, err
	}
	if head.Revision != c.Base {
		return l.lost(ctx, c, head)
	}
	before, err := l.docAt(ctx, head.Revision)
	if err != nil {
		return attempt{}, err
	}
	after, err := applied(before, c.Ops)
	if err != nil {
		return attempt{}, err
	}
	owners, err := settled(before, after, c)
	if err != nil {
		return attempt{}, err
	}
	c.State, c.Revision = Committed, head.Revision+1
	tx, err := commitTx(c, owners, headRow, changeRow)
	return attempt{tx: tx, after: after, revision: c.Revision}, err
}

// commitTx writes head, revision and change under conditions on all three, so
// that a commit that arrives late or twice has no effect.
func commitTx(c Change, owners []string, headRow, changeRow uint64) (store.Tx, error) {
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
		Conds: []store.Cond{{Key: headKey, Version: headRow}, {Key: revKey(c.Revision)}, {Key: changeKey, Version: changeRow}},
		Puts:  []store.Put{{Key: headKey, Value: head}, {Key: revKey(c.Revision), Value: delta}, {Key: changeKey, Value: change}},
	}, nil
}

// lost returns the conflict of a change whose base is not the head. Between
// the reads of change and head the change itself may have been accepted.
func (l *Changelog) lost(ctx context.Context, c Change, head Head) (attempt, error) {
	if again, _, err := l.read(ctx, c.ID); err == nil && again.State == Committed {
		return attempt{revision: again.Revision, done: true}, nil
	}
	to := min(head.Revision, c.Base+farBehind)
	since, _ := l.src.deltas(ctx, c.Base, to)
	conflict := &Conflict{Change: c.ID, Base: c.Base, Head: head.Revision, Since: since, Overlaps: overlaps(since, c.Ops)}
	return attempt{}, fault.Wrap(conflict, fault.SettingsConflict, "base %d, head %d", c.Base, head.Revision)
}

// Outcome says what became of a commit.
type Outcome string

// The outcomes of a commit.
const (
	Accepted    Outcome = "accepted"
	NotAccepted Outcome = "not-accepted"
	NotYetKnown Outcome = "not-yet-known"
)

// Resolution is the answer to the question what became of a commit.
type Resolution struct {
	Outcome Outcome `json:"outcome"`
	// Revision is set if the change was accepted.
	Revision Revision `json:"revision,omitempty"`
}

// Resolve finds out what became of the commits of a change by reading back the
// revision behind its base. If that does not exist, a commit may still be on
// its way: Resolve then rewrites the row of the change, on whose version each
// commit depends, so that NotAccepted stays true. While the store does not
// answer, the outcome is NotYetKnown. The error is fault.NotFound for an
// unknown change.
func (l *Changelog) Resolve(ctx context.Context, id string) (Resolution, error) {
	for range storeTries {
		c, row, err := l.read(ctx, id)
		if fault.Is(err, fault.NotFound) {
			return Resolution{}, err
		}
		if err != nil {
			break
		}
		if c.State == Committed {
			return Resolution{Outcome: Accepted, Revision: c.Revision}, nil
		}
		if c.State != Proposed {
			return Resolution{Outcome: NotAccepted}, nil
		}
		next := c.Base + 1
		found, err := l.src.table.Get(ctx, revKey(next))
		if err == nil {
			return readBack(found, next, id), nil
		}
		if !fault.Is(err, fault.RowMissing) {
			break
		}
		c.Fence++
		err = l.write(ctx, c, row)
		if err == nil {
			return Resolution{Outcome: NotAccepted}, nil
		}
		if !repeatable(err) {
			break
		}
	}
	return Resolution{Outcome: NotYetKnown}, nil
}

func readBack(row store.Row, revision Revision, id string) Resolution {
	d, err := decodeDelta(row, revision)
	if err != nil {
		return Resolution{Outcome: NotYetKnown}
	}
	if d.Change != id {
		return Resolution{Outcome: NotAccepted}
	}
	return Resolution{Outcome: Accepted, Revision: revision}
}
