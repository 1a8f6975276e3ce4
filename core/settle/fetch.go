package settle

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// pollStore reads the head row and fetches the missing revisions. It returns an
// error if the store failed or returned an outdated head.
func (f *Follower) pollStore(ctx context.Context) error {
	at := time.Now()
	headCtx, cancel := context.WithTimeout(ctx, callTimeout)
	head, _, err := f.reader.head(headCtx)
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
	if err := f.fetchRevisions(ctx); err != nil {
		return err
	}
	if f.blockedHead > 0 {
		// The revisions after the undecodable row are unknown, so reading the head
		// does not show that the held revision is recent; replies of peers may.
		return nil
	}
	f.headReadAt = at
	f.markReady("head read from the store")
	return nil
}

// markReady marks the follower ready if it holds a revision and no peer reported a
// higher one. A ready follower stays ready.
func (f *Follower) markReady(reason string) {
	held, peers := f.held.Load().Revision, Revision(f.peerRevision.Load())
	switch {
	case f.ready:
	case held == 0:
		f.reason = "no valid revision yet"
	case held < peers:
		f.reason = fmt.Sprintf("holds revision %d, a peer reported %d", held, peers)
	default:
		f.ready, f.reason = true, reason
	}
}

// fetchRevisions fetches all revisions up to the head. Rows that cannot be decoded
// are reported in the state. They are not a store error, because repeating the
// read would not help.
func (f *Follower) fetchRevisions(ctx context.Context) error {
	if f.lastFetched() >= f.head || f.blockedHead == f.head {
		return nil
	}
	blocked := f.blockedHead > 0
	f.blockedHead = 0
	if blocked || f.head-f.held.Load().Revision > snapshotThreshold {
		f.fetchSnapshot(ctx)
	}
	scanCtx, cancel := context.WithTimeout(ctx, scanTimeout(f.head-f.lastFetched()))
	defer cancel()
	deltas, err := f.reader.deltas(scanCtx, f.lastFetched(), f.head)
	f.applyDeltas(deltas)
	var invalid *revisionError
	if errors.As(err, &invalid) {
		f.blockedHead = f.head
		f.reportInvalid(invalid)
		return nil
	}
	return err
}

// scanTimeout returns the timeout for reading the missing revisions: one callTimeout
// for each scan.
func scanTimeout(missing Revision) time.Duration {
	return callTimeout * time.Duration(1+missing/scanPageSize)
}

// fetchSnapshot reads and applies the newest snapshot object. If there is none or it
// cannot be read, the caller reads all deltas instead.
func (f *Follower) fetchSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout*maxSnapshotAttempts)
	defer cancel()
	snap, found, err := f.reader.newestSnapshot(ctx, f.held.Load().Revision, f.head)
	if err != nil || !found {
		return
	}
	f.applySnapshot(snap)
}

// applySnapshot makes the document of the snapshot the held one if it is newer.
func (f *Follower) applySnapshot(snap snapshot) {
	old := f.held.Load()
	if snap.Revision <= old.Revision {
		return
	}
	doc := snap.Document.ReuseServices(old.Catalog)
	f.setHeld(doc, snap.Revision, "", nil)
	// Pending deltas above the snapshot may be valid on top of it.
	pending := f.pending
	f.pending = nil
	f.applyDeltas(pending)
}

// applyDeltas appends the deltas that follow the last fetched one to pending and
// applies as many of the pending ones as are valid.
func (f *Follower) applyDeltas(deltas []*Delta) {
	knownInvalid := len(f.pending)
	for _, d := range deltas {
		if d.Revision == f.lastFetched()+1 {
			f.pending = append(f.pending, d)
		}
	}
	pending := f.pending
	if len(pending) == knownInvalid {
		return
	}
	applied := 0
	failure := applyValid(f.held.Load().Doc, pending, knownInvalid, func(i int, doc *tree.Document) {
		f.setHeld(doc, pending[i].Revision, pending[i].Change, pending[applied:i+1])
		applied = i + 1
	})
	f.pending = pending[applied:]
	if len(f.pending) == 0 {
		f.pending = nil
	}
	var invalid *revisionError
	if errors.As(failure, &invalid) {
		f.reportInvalid(invalid)
	}
}

// setHeld makes a valid document the held revision. deltas are the steps from the
// previously held revision; it is empty if the document comes from a snapshot.
func (f *Follower) setHeld(doc *tree.Document, r Revision, change string, deltas []*Delta) {
	old := f.held.Load()
	catalog, err := doc.Catalog()
	if err != nil {
		f.reportInvalid(&revisionError{revision: r, cause: err})
		return
	}
	next := &AppliedRevision{Revision: r, Change: change, Doc: doc, Catalog: catalog, HeadReadAt: old.HeadReadAt}
	if len(deltas) > 0 {
		// Concurrent readers use the old slice, so the deltas are copied.
		next.recent = append(append(make([]*Delta, 0, len(old.recent)+len(deltas)), old.recent...), deltas...)
		next.recent = next.recent[max(0, len(next.recent)-maxRecentDeltas):]
	}
	f.held.Store(next)
	if f.invalid != nil && f.invalid.Revision <= r {
		f.invalid = nil
	}
	f.scheduleSnapshot(next)
}

// reportInvalid records the invalid revision for the state unless a newer one is
// recorded.
func (f *Follower) reportInvalid(err *revisionError) {
	if f.invalid == nil || f.invalid.Revision <= err.revision {
		f.invalid = &InvalidRevision{Revision: err.revision, Reason: err.cause.Error()}
	}
}
