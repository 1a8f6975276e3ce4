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

// bootstrapChangeID is the change id of revision 1.
const bootstrapChangeID = "bootstrap"

// Bootstrap writes the document as revision 1 if there are no settings yet. It
// returns the head revision and whether this call wrote it, which includes an
// attempt whose reply was lost. The document must name the owners.
func (l *Changelog) Bootstrap(ctx context.Context, doc *tree.Document, author string) (Revision, bool, error) {
	ops := tree.OpsBetween(tree.New(), doc)
	if err := checkChange(bootstrapChangeID, author, ops); err != nil {
		return 0, false, err
	}
	if _, err := applyOps(tree.New(), ops); err != nil {
		return 0, false, err
	}
	tx, err := bootstrapTx(ops, author)
	if err != nil {
		return 0, false, err
	}
	var ambiguous ambiguousWrite
	var writeErr error
	for range maxStoreAttempts {
		head, _, err := l.reader.head(ctx)
		if err != nil {
			return 0, false, ambiguous.orElse(err)
		}
		if head.Revision > 0 {
			// Revision 1 can come from this call only if one of its attempts
			// lost its reply.
			written := ambiguous.err != nil && head == Head{Revision: 1, Change: bootstrapChangeID}
			return head.Revision, written, nil
		}
		writeErr = ambiguous.record(l.reader.table.Apply(ctx, tx))
		if writeErr == nil {
			return 1, true, nil
		}
		if !mustReread(writeErr) {
			break
		}
	}
	return 0, false, ambiguous.orElse(writeErr)
}

// bootstrapTx returns the transaction that creates the head row and revision 1.
func bootstrapTx(ops []tree.Op, author string) (store.Tx, error) {
	head, headErr := json.Marshal(Head{Revision: 1, Change: bootstrapChangeID})
	delta, deltaErr := json.Marshal(Delta{Revision: 1, Change: bootstrapChangeID, Author: author, At: now(), Ops: ops})
	if err := errors.Join(headErr, deltaErr); err != nil {
		return store.Tx{}, fault.Wrap(err, fault.Internal, "bootstrap")
	}
	return store.Tx{
		ID:    bootstrapChangeID,
		Conds: []store.Cond{{Key: headKey}, {Key: revisionKey(1)}},
		Puts:  []store.Put{{Key: headKey, Value: head}, {Key: revisionKey(1), Value: delta}},
	}, nil
}

// existingHead returns the head, or fault.NotFound if there are no settings yet.
func (l *Changelog) existingHead(ctx context.Context) (Head, error) {
	head, _, err := l.reader.head(ctx)
	if err == nil && head.Revision == 0 {
		return Head{}, fault.New(fault.NotFound, "no settings: revision 1 is not written yet")
	}
	return head, err
}

// Head returns the newest committed revision and its document.
func (l *Changelog) Head(ctx context.Context) (Revision, *tree.Document, error) {
	head, err := l.existingHead(ctx)
	if err != nil {
		return 0, nil, err
	}
	doc, err := l.docAt(ctx, head.Revision)
	return head.Revision, doc, err
}

// Doc returns the document of a committed revision.
func (l *Changelog) Doc(ctx context.Context, r Revision) (*tree.Document, error) {
	head, err := l.existingHead(ctx)
	if err != nil {
		return nil, err
	}
	if r == 0 || r > head.Revision {
		return nil, fault.New(fault.NotFound, "revision %d; the head is %d", r, head.Revision)
	}
	return l.docAt(ctx, r)
}

// docAt returns the document of a revision that is known to be committed. It starts
// from the cached document, from a snapshot if there are many deltas to replay,
// or from the empty document.
func (l *Changelog) docAt(ctx context.Context, r Revision) (*tree.Document, error) {
	from := docRevision{doc: tree.New()}
	if cached := l.cached.Load(); cached != nil && cached.revision <= r {
		from = *cached
	}
	if r-from.revision > snapshotThreshold {
		snap, found, err := l.reader.newestSnapshot(ctx, from.revision, r)
		if err == nil && found {
			from = docRevision{revision: snap.Revision, doc: snap.Document}
		}
	}
	deltas, err := l.reader.deltas(ctx, from.revision, r)
	if err != nil {
		return nil, asFault(err)
	}
	if invalid := applyValid(from.doc, deltas, 0, func(i int, doc *tree.Document) {
		from = docRevision{revision: deltas[i].Revision, doc: doc}
	}); invalid != nil {
		return nil, asFault(invalid)
	}
	l.cacheDoc(from)
	return from.doc, nil
}

// asFault wraps a revisionError as a fault of kind SettingsInvalid and returns other
// errors unchanged.
func asFault(err error) error {
	var invalid *revisionError
	if errors.As(err, &invalid) {
		return fault.Wrap(err, fault.SettingsInvalid, "stored revision")
	}
	return err
}

// cacheDoc caches the document unless a newer one is cached.
func (l *Changelog) cacheDoc(d docRevision) {
	for {
		old := l.cached.Load()
		if old != nil && old.revision >= d.revision {
			return
		}
		if l.cached.CompareAndSwap(old, &d) {
			return
		}
	}
}

// History returns up to limit committed revisions below before, newest first. If
// before is 0, it starts at the head.
func (l *Changelog) History(ctx context.Context, before Revision, limit int) ([]*Delta, error) {
	head, err := l.existingHead(ctx)
	if err != nil {
		return nil, err
	}
	last := head.Revision
	if before > 0 {
		last = min(last, before-1)
	}
	first := last - min(last, Revision(max(limit, 0)))
	deltas, err := l.reader.deltas(ctx, first, last)
	if err != nil {
		return nil, asFault(err)
	}
	slices.Reverse(deltas)
	return deltas, nil
}

// Diff returns the differences between the documents of two committed revisions.
func (l *Changelog) Diff(ctx context.Context, from, to Revision) ([]tree.Difference, error) {
	fromDoc, err := l.Doc(ctx, from)
	if err != nil {
		return nil, err
	}
	toDoc, err := l.Doc(ctx, to)
	if err != nil {
		return nil, err
	}
	return tree.Diff(fromDoc, toDoc), nil
}

// Rollback proposes a change that restores the document of an earlier revision.
// Like any other change it has to be approved and committed, and it creates a
// new revision.
func (l *Changelog) Rollback(ctx context.Context, to Revision, author, note string) (Change, error) {
	head, headDoc, err := l.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	oldDoc, err := l.Doc(ctx, to)
	if err != nil {
		return Change{}, err
	}
	ops := tree.OpsBetween(headDoc, oldDoc)
	if len(ops) == 0 {
		return Change{}, fault.New(fault.BadRequest, "revision %d equals the head %d", to, head)
	}
	return l.Propose(ctx, Proposal{Base: head, Ops: ops, Author: author, Note: note})
}

// Rebase makes the head the base of a proposed change, on behalf of the author or
// an owner. Approvals are kept if no change that was committed after the old base
// overlaps with this one. Otherwise they are dropped and only the author may
// rebase, because an owner who is the author approves the change implicitly.
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
	if _, err := applyOps(doc, c.Ops); err != nil {
		return Change{}, err
	}
	since, err := l.reader.deltas(ctx, c.Base, head)
	if err != nil {
		return Change{}, asFault(err)
	}
	overlapping := len(overlappingOps(since, c.Ops)) > 0
	if overlapping && c.Author != by {
		return Change{}, fault.New(fault.Forbidden, "change %s overlaps accepted ones; only its author %s may rebase it", id, c.Author)
	}
	base := c.Base
	return l.update(ctx, id, func(c *Change) (bool, error) {
		if err := requireProposed(*c); err != nil {
			return false, err
		}
		if c.Base != base {
			return false, nil
		}
		c.Base = head
		if overlapping {
			c.Approvals = nil
		}
		return c.Base != base, nil
	})
}
