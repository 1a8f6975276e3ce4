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

// Changelog decides changes in the table service. It holds no state of its own but
// a cache of the last document, so any number of changelogs may work on one table.
type Changelog struct {
	src    source
	cached atomic.Pointer[version]
}

// version is a document at a revision.
type version struct {
	revision Revision
	doc      *tree.Doc
}

// ChangelogOption changes a Changelog.
type ChangelogOption func(*Changelog)

// WithObjects lets the changelog start from snapshot objects in place of revision 1.
func WithObjects(o store.Objects) ChangelogOption {
	return func(b *Changelog) { b.src.objects = o }
}

// NewChangelog returns a changelog over the table.
func NewChangelog(table store.Table, opts ...ChangelogOption) *Changelog {
	b := &Changelog{src: source{table: table}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Proposal is the input of Propose.
type Proposal struct {
	// ID names the change; empty takes a new random id. Repeating a proposal
	// with the same id returns the change that exists.
	ID string `json:"id,omitempty"`
	// Base is the revision against which the ops were written; 0 takes the head.
	Base   Revision  `json:"base,omitempty"`
	Ops    []tree.Op `json:"ops"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
}

const (
	idBytes = 8
	// storeTries bounds how often a step is repeated when other writers or
	// lost replies get in its way.
	storeTries = 5
)

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// now returns the time with the resolution that rows and messages keep.
func now() time.Time { return time.Now().UTC().Truncate(time.Second) }

// Propose validates ops against the base revision and keeps them as a change.
func (l *Changelog) Propose(ctx context.Context, p Proposal) (Change, error) {
	c, err := l.prepare(ctx, p)
	if err != nil {
		return Change{}, err
	}
	var doubt doubt
	for range storeTries {
		err = doubt.note(l.write(ctx, c, 0))
		if err == nil {
			return c, nil
		}
		if !repeatable(err) {
			return Change{}, doubt.or(err)
		}
		found, _, readErr := l.read(ctx, c.ID)
		if readErr == nil {
			return sameProposal(found, c)
		}
		if !fault.Is(readErr, fault.NotFound) {
			return Change{}, doubt.or(readErr)
		}
	}
	return Change{}, doubt.or(err)
}

// doubt keeps the first lost reply of a step. A write without a known outcome
// may still take effect, so that a later failure, which only says that its own
// write was not applied, must not hide it.
type doubt struct {
	lost error
}

func (d *doubt) note(err error) error {
	if d.lost == nil && fault.Is(err, fault.StoreAmbiguous) {
		d.lost = err
	}
	return err
}

func (d *doubt) or(err error) error {
	if d.lost != nil {
		return d.lost
	}
	return err
}

// repeatable reports whether the row has to be read again after the error.
func repeatable(err error) bool {
	return fault.Is(err, fault.StoreConflict) || fault.Is(err, fault.StoreAmbiguous)
}

func (l *Changelog) prepare(ctx context.Context, p Proposal) (Change, error) {
	if p.ID == "" {
		p.ID = newID()
	}
	if len(p.Note) > maxNote {
		return Change{}, fault.New(fault.SettingsInvalid, "note of %d bytes; allowed: at most %d", len(p.Note), maxNote)
	}
	if err := checkChange(p.ID, p.Author, p.Ops); err != nil {
		return Change{}, err
	}
	head, err := l.acceptedHead(ctx)
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
	if _, err := applied(doc, p.Ops); err != nil {
		return Change{}, err
	}
	return Change{ID: p.ID, Base: p.Base, Ops: p.Ops, Author: p.Author, Note: p.Note, Proposed: now(), State: Proposed}, nil
}

// applied applies the ops and refuses a document without owners, in which no
// later change could be approved.
func applied(doc *tree.Doc, ops []tree.Op) (*tree.Doc, error) {
	after, err := doc.Apply(ops)
	if err != nil {
		return nil, err
	}
	if len(after.Owners()) == 0 {
		return nil, fault.New(fault.SettingsInvalid, "/ %s: allowed: a list of two distinct names", ownersKey)
	}
	return after, nil
}

func sameProposal(found, c Change) (Change, error) {
	if found.Author != c.Author || !slices.EqualFunc(found.Ops, c.Ops, tree.Op.Same) {
		return Change{}, fault.New(fault.BadRequest, "change id %s is taken by another change", c.ID)
	}
	return found, nil
}

// Change returns the change of the id.
func (l *Changelog) Change(ctx context.Context, id string) (Change, error) {
	c, _, err := l.read(ctx, id)
	return c, err
}

// Changes returns up to limit changes whose id sorts behind after.
func (l *Changelog) Changes(ctx context.Context, after string, limit int) ([]Change, error) {
	rows, err := l.src.table.Scan(ctx, changePrefix, changePrefix+after, limit)
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

// Approve adds an owner's approval; a second one of the same owner changes nothing.
func (l *Changelog) Approve(ctx context.Context, id, owner string) (Change, error) {
	if err := l.demandOwner(ctx, owner); err != nil {
		return Change{}, err
	}
	return l.update(ctx, id, func(c *Change) (bool, error) {
		given := func(a Approval) bool { return a.Owner == owner }
		if slices.ContainsFunc(c.Approvals, given) {
			return false, nil
		}
		c.Approvals = append(c.Approvals, Approval{Owner: owner, At: now()})
		return true, demandProposed(*c)
	})
}

// Reject closes a change on behalf of an owner.
func (l *Changelog) Reject(ctx context.Context, id, owner, reason string) (Change, error) {
	if err := l.demandOwner(ctx, owner); err != nil {
		return Change{}, err
	}
	return l.decide(ctx, id, Rejected, owner, reason)
}

// Withdraw closes a change on behalf of its author.
func (l *Changelog) Withdraw(ctx context.Context, id, author string) (Change, error) {
	c, err := l.Change(ctx, id)
	if err != nil {
		return Change{}, err
	}
	if c.Author != author {
		return Change{}, fault.New(fault.Forbidden, "change %s belongs to %s", id, c.Author)
	}
	return l.decide(ctx, id, Withdrawn, author, "")
}

func (l *Changelog) decide(ctx context.Context, id string, s State, by, reason string) (Change, error) {
	return l.update(ctx, id, func(c *Change) (bool, error) {
		if c.State == s && c.DecidedBy == by {
			return false, nil
		}
		if err := demandProposed(*c); err != nil {
			return false, err
		}
		c.State, c.DecidedBy, c.Reason = s, by, reason
		return true, nil
	})
}

func demandProposed(c Change) error {
	if c.State == Proposed {
		return nil
	}
	return fault.New(fault.SettingsDecided, "change %s is %s", c.ID, c.State)
}

func (l *Changelog) demandOwner(ctx context.Context, name string) error {
	head, err := l.acceptedHead(ctx)
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

// update changes the row of a change by compare-and-swap. After a lost reply
// the row is read again and change, which must be idempotent, decides anew.
func (l *Changelog) update(ctx context.Context, id string, change func(*Change) (bool, error)) (Change, error) {
	var doubt doubt
	var failed error
	for range storeTries {
		c, row, err := l.read(ctx, id)
		if err != nil {
			return Change{}, doubt.or(err)
		}
		changed, err := change(&c)
		if err != nil {
			return Change{}, err
		}
		if !changed {
			return c, nil
		}
		failed = doubt.note(l.write(ctx, c, row))
		if failed == nil {
			return c, nil
		}
		if !repeatable(failed) {
			break
		}
	}
	return Change{}, doubt.or(failed)
}

func (l *Changelog) read(ctx context.Context, id string) (Change, uint64, error) {
	row, err := l.src.table.Get(ctx, changePrefix+id)
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

func (l *Changelog) write(ctx context.Context, c Change, version uint64) error {
	key := changePrefix + c.ID
	value, err := json.Marshal(c)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "change %s", c.ID)
	}
	return l.src.table.Apply(ctx, store.Tx{
		ID:    c.ID,
		Conds: []store.Cond{{Key: key, Version: version}},
		Puts:  []store.Put{{Key: key, Value: value}},
	})
}
