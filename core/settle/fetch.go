package settle

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// pollStore reads the head and fetches what is missing. The error says that
// the platform did not give what it should.
func (f *Follower) pollStore(ctx context.Context) error {
	at := time.Now()
	headCtx, cancel := context.WithTimeout(ctx, callTimeout)
	head, _, err := f.src.head(headCtx)
	cancel()
	if err != nil {
		return err
	}
	held := f.held.Load().Revision
	if head.Revision < held {
		return fault.New(fault.SettingsInvalid, "head %d in the store is below the held revision %d", head.Revision, held)
	}
	f.head = head.Revision
	if f.head == 0 {
		f.reason = "the store holds no settings"
		return nil
	}
	if err := f.fetch(ctx); err != nil {
		return err
	}
	if f.stuckAt > 0 {
		// What follows the row is not known, so peers have to prove that the
		// held revision is recent.
		return nil
	}
	f.headReadAt = at
	f.becomeReady("head read from the store")
	return nil
}

// becomeReady marks the follower ready unless a peer reported a higher
// revision than the held one. A ready follower stays ready.
func (f *Follower) becomeReady(reason string) {
	held, heard := f.held.Load().Revision, Revision(f.heard.Load())
	switch {
	case f.ready:
	case held == 0:
		f.reason = "no valid revision yet"
	case held < heard:
		f.reason = fmt.Sprintf("holds revision %d, a peer reported %d", held, heard)
	default:
		f.ready, f.reason = true, reason
	}
}

// fetch brings everything up to the head to hand. Rows that cannot be decoded
// are reported in the state and are no store error: repeating the read would
// not help.
func (f *Follower) fetch(ctx context.Context) error {
	if f.last() >= f.head || f.stuckAt == f.head {
		return nil
	}
	stuck := f.stuckAt > 0
	f.stuckAt = 0
	if stuck || f.head-f.held.Load().Revision > farBehind {
		f.fetchSnapshot(ctx)
	}
	scanCtx, cancel := context.WithTimeout(ctx, scanTimeout(f.head-f.last()))
	defer cancel()
	deltas, err := f.src.deltas(scanCtx, f.last(), f.head)
	f.feed(deltas)
	var bad *undecodable
	if errors.As(err, &bad) {
		f.stuckAt = f.head
		f.refuse(bad)
		return nil
	}
	return err
}

// scanTimeout allows one call timeout for each page of rows.
func scanTimeout(behind Revision) time.Duration {
	return callTimeout * time.Duration(1+behind/scanLimit)
}

// fetchSnapshot takes the newest snapshot object, if there is one; without it
// the deltas are read.
func (f *Follower) fetchSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout*snapshotTries)
	defer cancel()
	snap, found, err := f.src.snapshotUpTo(ctx, f.held.Load().Revision, f.head)
	if err != nil || !found {
		return
	}
	f.takeSnapshot(snap)
}

func (f *Follower) takeSnapshot(snap snapshot) {
	old := f.held.Load()
	if snap.Revision <= old.Revision {
		return
	}
	doc := snap.Document.Relate(old.Catalog)
	f.hold(doc, snap.Revision, "", nil)
	// Deltas above the snapshot that were refused before may apply to it.
	pending := f.pending
	f.pending = nil
	f.feed(pending)
}

// feed appends the deltas that follow the ones at hand and applies what can be
// applied.
func (f *Follower) feed(deltas []*Delta) {
	tried := len(f.pending)
	for _, d := range deltas {
		if d.Revision == f.last()+1 {
			f.pending = append(f.pending, d)
		}
	}
	pending := f.pending
	if len(pending) == tried {
		return
	}
	done := 0
	failed := fold(f.held.Load().Doc, pending, tried, func(i int, doc *tree.Doc) {
		f.hold(doc, pending[i].Revision, pending[i].Change, pending[done:i+1])
		done = i + 1
	})
	f.pending = pending[done:]
	if len(f.pending) == 0 {
		f.pending = nil
	}
	var bad *undecodable
	if errors.As(failed, &bad) {
		f.refuse(bad)
	}
}

// hold makes a valid document the held revision. The deltas lead to it from
// the one held before; none means that it came in a snapshot.
func (f *Follower) hold(doc *tree.Doc, r Revision, change string, deltas []*Delta) {
	old := f.held.Load()
	catalog, err := doc.Compile()
	if err != nil {
		f.refuse(&undecodable{revision: r, cause: err})
		return
	}
	next := &Applied{Revision: r, Change: change, Doc: doc, Catalog: catalog, HeadReadAt: old.HeadReadAt}
	if len(deltas) > 0 {
		// Readers hold the old slice, so the new one gets its own memory.
		next.recent = append(append(make([]*Delta, 0, len(old.recent)+len(deltas)), old.recent...), deltas...)
		next.recent = next.recent[max(0, len(next.recent)-keepDeltas):]
	}
	f.held.Store(next)
	if f.refused != nil && f.refused.Revision <= r {
		f.refused = nil
	}
	f.schedule(next)
}

func (f *Follower) refuse(bad *undecodable) {
	if f.refused == nil || f.refused.Revision <= bad.revision {
		f.refused = &Refused{Revision: bad.revision, Reason: bad.cause.Error()}
	}
}
