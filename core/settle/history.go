package settle

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// bootstrapID names the change that becomes revision 1.
const bootstrapID = "bootstrap"

// Bootstrap makes the document revision 1 if there are no settings yet. It
// returns the head revision and whether this call, or a lost one before it,
// wrote it. The document must name the owners.
func (l *Changelog) Bootstrap(ctx context.Context, doc *tree.Doc, author string) (Revision, bool, error) {
	ops := tree.Changes(tree.New(), doc)
	if err := checkChange(bootstrapID, author, ops); err != nil {
		return 0, false, err
	}
	if _, err := applied(tree.New(), ops); err != nil {
		return 0, false, err
	}
	tx, err := bootstrapTx(ops, author)
	if err != nil {
		return 0, false, err
	}
	var doubt doubt
	var failed error
	for range storeTries {
		head, _, err := l.src.head(ctx)
		if err != nil {
			return 0, false, doubt.or(err)
		}
		if head.Revision > 0 {
			// Only a lost reply of this call makes the own write visible here.
			own := doubt.lost != nil && head == Head{Revision: 1, Change: bootstrapID}
			return head.Revision, own, nil
		}
		failed = doubt.note(l.src.table.Apply(ctx, tx))
		if failed == nil {
			return 1, true, nil
		}
		if !repeatable(failed) {
			break
		}
	}
	return 0, false, doubt.or(failed)
}

func bootstrapTx(ops []tree.Op, author string) (store.Tx, error) {
	head, headErr := json.Marshal(Head{Revision: 1, Change: bootstrapID})
	delta, deltaErr := json.Marshal(Delta{Revision: 1, Change: bootstrapID, Author: author, At: now(), Ops: ops})
	if err := errors.Join(headErr, deltaErr); err != nil {
		return store.Tx{}, fault.Wrap(err, fault.Internal, "bootstrap")
	}
	return store.Tx{
		ID:    bootstrapID,
		Conds: []store.Cond{{Key: headKey}, {Key: revKey(1)}},
		Puts:  []store.Put{{Key: headKey, Value: head}, {Key: revKey(1), Value: delta}},
	}, nil
}

// acceptedHead returns the head, or fault.NotFound before the bootstrap.
func (l *Changelog) acceptedHead(ctx context.Context) (Head, error) {
	head, _, err := l.src.head(ctx)
	if err == nil && head.Revision == 0 {
		return Head{}, fault.New(fault.NotFound, "no settings: revision 1 is not written yet")
	}
	return head, err
}

// Head returns the newest accepted revision and its document.
func (l *Changelog) Head(ctx context.Context) (Revision, *tree.Doc, error) {
	head, err := l.acceptedHead(ctx)
	if err != nil {
		return 0, nil, err
	}
	doc, err := l.docAt(ctx, head.Revision)
	return head.Revision, doc, err
}

// Doc returns the document of an accepted revision.
func (l *Changelog) Doc(ctx context.Context, r Revision) (*tree.Doc, error) {
	head, err := l.acceptedHead(ctx)
	if err != nil {
		return nil, err
	}
	if r == 0 || r > head.Revision {
		return nil, fault.New(fault.NotFound, "revision %d; the head is %d", r, head.Revision)
	}
	return l.docAt(ctx, r)
}

// docAt returns the document of a revision that is known to be accepted.
func (l *Changelog) docAt(ctx context.Context, r Revision) (*tree.Doc, error) {
	from := version{doc: tree.New()}
	if c := l.cached.Load(); c != nil && c.revision <= r {
		from = *c
	}
	if r-from.revision > farBehind {
		snap, found, err := l.src.snapshotUpTo(ctx, from.revision, r)
		if err == nil && found {
			from = version{revision: snap.Revision, doc: snap.Document}
		}
	}
	deltas, err := l.src.deltas(ctx, from.revision, r)
	if err != nil {
		return nil, asFault(err)
	}
	if failed := fold(from.doc, deltas, 0, func(i int, doc *tree.Doc) {
		from = version{revision: deltas[i].Revision, doc: doc}
	}); failed != nil {
		return nil, asFault(failed)
	}
	l.remember(from)
	return from.doc, nil
}

// asFault gives an unreadable revision a kind of the closed list.
func asFault(err error) error {
	var u *undecodable
	if errors.As(err, &u) {
		return fault.Wrap(err, fault.SettingsInvalid, "stored revision")
	}
	return err
}

// remember keeps the version if it is the newest seen.
func (l *Changelog) remember(v version) {
	for {
		old := l.cached.Load()
		if old != nil && old.revision >= v.revision {
			return
		}
		if l.cached.CompareAndSwap(old, &v) {
			return
		}
	}
}

// History returns up to limit accepted revisions below before, newest first;
// before 0 starts at the head.
func (l *Changelog) History(ctx context.Context, before Revision, limit int) ([]*Delta, error) {
	head, err := l.acceptedHead(ctx)
	if err != nil {
		return nil, err
	}
	last := head.Revision
	if before > 0 {
		last = min(last, before-1)
	}
	first := last - min(last, Revision(max(limit, 0)))
	deltas, err := l.src.deltas(ctx, first, last)
	if err != nil {
		return nil, asFault(err)
	}
	slices.Reverse(deltas)
	return deltas, nil
}

// Diff returns what differs between two accepted revisions.
func (l *Changelog) Diff(ctx context.Context, from, to Revision) ([]tree.Difference, error) {
	a, err := l.Doc(ctx, from)
	if err != nil {
		return nil, err
	}
	z, err := l.Doc(ctx, to)
	if err != nil {
		return nil, err
	}
	return tree.Differences(a, z), nil
}

// Rollback proposes the change that leads from the head back to the document
// of an earlier revision. It needs approval and commit like any other change
// and becomes a new revision.
func (l *Changelog) Rollback(ctx context.Context, to Revision, author, note string) (Change, error) {
	head, now, err := l.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	then, err := l.Doc(ctx, to)
	if err != nil {
		return Change{}, err
	}
	ops := tree.Changes(now, then)
	if len(ops) == 0 {
		return Change{}, fault.New(fault.BadRequest, "revision %d equals the head %d", to, head)
	}
	return l.Propose(ctx, Proposal{Base: head, Ops: ops, Author: author, Note: note})
}

// Rebase moves a change that lost to the head, on behalf of its author or an
// owner. Approvals are kept if nothing that was accepted since touches what
// the change touches. Otherwise they are dropped and only the author may
// rebase, because the author's consent counts without a further approval.
func (l *Changelog) Rebase(ctx context.Context, id, by string) (Change, error) {
	head, doc, err := l.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	c, err := l.Change(ctx, id)
	if err != nil {
		return Change{}, err
	}
	if c.Author != by && !slices.Contains(doc.Owners(), by) {
		return Change{}, fault.New(fault.Forbidden, "change %s belongs to %s", id, c.Author)
	}
	if _, err := applied(doc, c.Ops); err != nil {
		return Change{}, err
	}
	since, err := l.src.deltas(ctx, c.Base, head)
	if err != nil {
		return Change{}, asFault(err)
	}
	touched := len(overlaps(since, c.Ops)) > 0
	if touched && c.Author != by {
		return Change{}, fault.New(fault.Forbidden, "change %s overlaps accepted ones; only its author %s may rebase it", id, c.Author)
	}
	base := c.Base
	return l.update(ctx, id, func(c *Change) (bool, error) {
		if err := demandProposed(*c); err != nil {
			return false, err
		}
		if c.Base != base {
			return false, nil
		}
		c.Base = head
		if touched {
			c.Approvals = nil
		}
		return c.Base != base, nil
	})
}
