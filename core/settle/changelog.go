package settle

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// Changelog stores and commits changes of the settings in the table service. It
// holds no state besides a cache of the newest document, so any number of
// changelogs may share one table.
type Changelog struct {
	reader storeReader
	cached atomic.Pointer[docRevision]
}

// docRevision is a document with its revision.
type docRevision struct {
	revision Revision
	doc      *tree.Document
}

// ChangelogOption configures a Changelog.
type ChangelogOption func(*Changelog)

// WithObjects lets the changelog build documents from snapshot objects instead of
// replaying all deltas from revision 1.
func WithObjects(o store.Objects) ChangelogOption {
	return func(l *Changelog) { l.reader.objects = o }
}

// NewChangelog returns a changelog that is stored in the table.
func NewChangelog(table store.Table, opts ...ChangelogOption) *Changelog {
	l := &Changelog{reader: storeReader{table: table}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Proposal is the input of Propose.
type Proposal struct {
	// ID is the id of the change; if it is empty, a random id is generated.
	// Repeating a proposal with the same id returns the existing change.
	ID string `json:"id,omitempty"`
	// Base is the revision to whose document the ops apply; 0 stands for the head.
	Base   Revision  `json:"base,omitempty"`
	Ops    []tree.Op `json:"ops"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
}

const (
	randomIDBytes = 8
	// maxStoreAttempts is the number of attempts at an operation that fails because
	// of concurrent writers or lost replies.
	maxStoreAttempts = 5
)

func newID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// now returns the current time in whole seconds, the resolution of the times in
// rows and messages.
func now() time.Time { return time.Now().UTC().Truncate(time.Second) }

// Propose validates the ops against the base revision and stores them as a change.
func (l *Changelog) Propose(ctx context.Context, p Proposal) (Change, error) {
	c, err := l.newChange(ctx, p)
	if err != nil {
		return Change{}, err
	}
	var ambiguous ambiguousWrite
	for range maxStoreAttempts {
		err = ambiguous.record(l.writeChange(ctx, c, 0))
		if err == nil {
			return c, nil
		}
		if !mustReread(err) {
			return Change{}, ambiguous.orElse(err)
		}
		found, _, readErr := l.readChange(ctx, c.ID)
		if readErr == nil {
			return matchExisting(found, c)
		}
		if !fault.Is(readErr, fault.NotFound) {
			return Change{}, ambiguous.orElse(readErr)
		}
	}
	return Change{}, ambiguous.orElse(err)
}

// ambiguousWrite keeps the first StoreAmbiguous error of an operation that makes
// several attempts at a write. The write may still take effect, so the operation
// must return this error and not that of a later attempt, which only says that
// the later attempt was not applied.
type ambiguousWrite struct {
	err error
}

// record keeps err if it is the first StoreAmbiguous error, and returns err.
func (a *ambiguousWrite) record(err error) error {
	if a.err == nil && fault.Is(err, fault.StoreAmbiguous) {
		a.err = err
	}
	return err
}

// orElse returns the recorded error, or err if there is none.
func (a *ambiguousWrite) orElse(err error) error {
	if a.err != nil {
		return a.err
	}
	return err
}

// mustReread reports whether the error of a write leaves open what the row
// contains, so that it has to be read again before the next attempt.
func mustReread(err error) bool {
	return fault.Is(err, fault.StoreConflict) || fault.Is(err, fault.StoreAmbiguous)
}

// newChange validates a proposal and returns the change that it describes.
func (l *Changelog) newChange(ctx context.Context, p Proposal) (Change, error) {
	if p.ID == "" {
		p.ID = newID()
	}
	if len(p.Note) > maxNoteBytes {
		return Change{}, fault.New(fault.SettingsInvalid, "note of %d bytes; allowed: at most %d", len(p.Note), maxNoteBytes)
	}
	if err := checkChange(p.ID, p.Author, p.Ops); err != nil {
		return Change{}, err
	}
	head, err := l.existingHead(ctx)
	if err != nil {
		return Change{}, err
	}
	if p.Base == 0 {
		p.Base = head.Revision
	}
	if p.Base > head.Revision {
		return Change{}, fault.New(fault.BadRequest, "base %d is above the head %d", p.Base, head.Revision)
	}
	doc, err := l.docAt(ctx, p.Base)
	if err != nil {
		return Change{}, err
	}
	if _, err := applyOps(doc, p.Ops); err != nil {
		return Change{}, err
	}
	return Change{ID: p.ID, Base: p.Base, Ops: p.Ops, Author: p.Author, Note: p.Note, ProposedAt: now(), State: StateProposed}, nil
}

// applyOps applies the ops to the document. It fails if the result has no owners,
// because nobody could approve a later change.
func applyOps(doc *tree.Document, ops []tree.Op) (*tree.Document, error) {
	after, err := doc.Apply(ops)
	if err != nil {
		return nil, err
	}
	if len(after.Owners()) == 0 {
		return nil, fault.New(fault.SettingsInvalid, "/ %s: allowed: a list of two distinct names", ownersKey)
	}
	return after, nil
}

// matchExisting returns the stored change found if c proposes the same ops by the
// same author, and an error if the id belongs to a different change.
func matchExisting(found, c Change) (Change, error) {
	if found.Author != c.Author || !slices.EqualFunc(found.Ops, c.Ops, tree.Op.Equal) {
		return Change{}, fault.New(fault.BadRequest, "change id %s is taken by another change", c.ID)
	}
	return found, nil
}

// Change returns the change with the id.
func (l *Changelog) Change(ctx context.Context, id string) (Change, error) {
	c, _, err := l.readChange(ctx, id)
	return c, err
}

// Changes returns up to limit changes with ids greater than after, in id order.
func (l *Changelog) Changes(ctx context.Context, after string, limit int) ([]Change, error) {
	rows, err := l.reader.table.Scan(ctx, changePrefix, changePrefix+after, limit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, fault.Wrap(err, fault.SettingsInvalid, "row %s", row.Key)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Approve adds an owner's approval. A second approval by the same owner has no
// effect.
func (l *Changelog) Approve(ctx context.Context, id, owner string) (Change, error) {
	if err := l.requireOwner(ctx, owner); err != nil {
		return Change{}, err
	}
	return l.update(ctx, id, func(c *Change) (bool, error) {
		byOwner := func(a Approval) bool { return a.Owner == owner }
		if slices.ContainsFunc(c.Approvals, byOwner) {
			return false, nil
		}
		c.Approvals = append(c.Approvals, Approval{Owner: owner, At: now()})
		return true, requireProposed(*c)
	})
}

// Reject closes a proposed change on behalf of an owner.
func (l *Changelog) Reject(ctx context.Context, id, owner, reason string) (Change, error) {
	if err := l.requireOwner(ctx, owner); err != nil {
		return Change{}, err
	}
	return l.closeChange(ctx, id, StateRejected, owner, reason)
}

// Withdraw closes a proposed change on behalf of its author.
func (l *Changelog) Withdraw(ctx context.Context, id, author string) (Change, error) {
	c, err := l.Change(ctx, id)
	if err != nil {
		return Change{}, err
	}
	if c.Author != author {
		return Change{}, fault.New(fault.Forbidden, "change %s belongs to %s", id, c.Author)
	}
	return l.closeChange(ctx, id, StateWithdrawn, author, "")
}

// closeChange moves a proposed change to the final state s. Repeating the call has
// no effect.
func (l *Changelog) closeChange(ctx context.Context, id string, s ChangeState, by, reason string) (Change, error) {
	return l.update(ctx, id, func(c *Change) (bool, error) {
		if c.State == s && c.DecidedBy == by {
			return false, nil
		}
		if err := requireProposed(*c); err != nil {
			return false, err
		}
		c.State, c.DecidedBy, c.Reason = s, by, reason
		return true, nil
	})
}

func requireProposed(c Change) error {
	if c.State == StateProposed {
		return nil
	}
	return fault.New(fault.SettingsDecided, "change %s is %s", c.ID, c.State)
}

func (l *Changelog) requireOwner(ctx context.Context, name string) error {
	head, err := l.existingHead(ctx)
	if err != nil {
		return err
	}
	doc, err := l.docAt(ctx, head.Revision)
	if err != nil {
		return err
	}
	if owners := doc.Owners(); !slices.Contains(owners, name) {
		return fault.New(fault.Forbidden, "%q is not an owner; owners: %s", name, strings.Join(owners, ", "))
	}
	return nil
}

// update modifies the row of a change by compare-and-swap. edit modifies the change
// and returns whether there is something to write. After a conflict or a lost
// reply the row is read again and edit is called again, so it must be idempotent.
func (l *Changelog) update(ctx context.Context, id string, edit func(*Change) (bool, error)) (Change, error) {
	var ambiguous ambiguousWrite
	var writeErr error
	for range maxStoreAttempts {
		c, version, err := l.readChange(ctx, id)
		if err != nil {
			return Change{}, ambiguous.orElse(err)
		}
		changed, err := edit(&c)
		if err != nil {
			return Change{}, err
		}
		if !changed {
			return c, nil
		}
		writeErr = ambiguous.record(l.writeChange(ctx, c, version))
		if writeErr == nil {
			return c, nil
		}
		if !mustReread(writeErr) {
			break
		}
	}
	return Change{}, ambiguous.orElse(writeErr)
}

// readChange returns the change and the version of its row.
func (l *Changelog) readChange(ctx context.Context, id string) (Change, uint64, error) {
	row, err := l.reader.table.Get(ctx, changePrefix+id)
	if fault.Is(err, fault.RowMissing) {
		return Change{}, 0, fault.New(fault.NotFound, "change %q", id)
	}
	if err != nil {
		return Change{}, 0, err
	}
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, 0, fault.Wrap(err, fault.SettingsInvalid, "row %s", row.Key)
	}
	return c, row.Version, nil
}

// writeChange writes the row of a change if the row still has the version; version
// 0 creates the row.
func (l *Changelog) writeChange(ctx context.Context, c Change, version uint64) error {
	key := changePrefix + c.ID
	value, err := json.Marshal(c)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "change %s", c.ID)
	}
	return l.reader.table.Apply(ctx, store.Tx{
		ID:    c.ID,
		Conds: []store.Cond{{Key: key, Version: version}},
		Puts:  []store.Put{{Key: key, Value: value}},
	})
}
