package settle

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// maxSnapshotDelay is the maximum random delay after which a daemon checks whether a
// snapshot object exists, and writes it if not. Of 690 daemons the first one writes
// it about 1 s after the revision, and all others together then read it 1.15
// times a second.
const maxSnapshotDelay = 10 * time.Minute

// dueSnapshot is a snapshot object that this daemon writes at the time at, unless
// another daemon has written it.
type dueSnapshot struct {
	revision Revision
	doc      *tree.Document
	at       time.Time
}

// scheduleSnapshot schedules the snapshot object of the revision if there is to be
// one. A revision that was itself loaded from a snapshot needs none.
func (f *Follower) scheduleSnapshot(a *AppliedRevision) {
	if f.reader.objects.Put == nil || a.Revision%SnapshotInterval != 0 || len(a.recent) == 0 {
		return
	}
	f.due = &dueSnapshot{revision: a.Revision, doc: a.Doc, at: time.Now().Add(f.snapshotDelay())}
}

func (f *Follower) snapshotDelay() time.Duration {
	return time.Duration(f.rng.Float64() * float64(maxSnapshotDelay))
}

// writeDueSnapshot writes the scheduled snapshot object when it is due. A failed
// write is repeated later; until then a starting daemon reads an older snapshot
// and more deltas.
func (f *Follower) writeDueSnapshot(ctx context.Context) {
	if f.due == nil || time.Now().Before(f.due.at) {
		return
	}
	if err := f.putSnapshot(ctx, f.due); err != nil {
		f.due.at = time.Now().Add(f.snapshotDelay())
		return
	}
	f.due = nil
}

// putSnapshot writes the snapshot object unless it exists.
func (f *Follower) putSnapshot(ctx context.Context, due *dueSnapshot) error {
	ctx, cancel := context.WithTimeout(ctx, maxSnapshotAttempts*callTimeout)
	defer cancel()
	name := snapshotName(due.revision)
	_, err := f.reader.objects.Get(ctx, name)
	if !fault.Is(err, fault.NotFound) {
		return err
	}
	data, err := encodeSnapshot(due.revision, due.doc)
	if err != nil {
		return err
	}
	return f.reader.objects.Put(ctx, name, data)
}

// encodedSnapshot is the encoded snapshot of a revision.
type encodedSnapshot struct {
	revision Revision
	data     []byte
}

// encode returns the encoded snapshot of the held revision and caches it for the
// next peer. The mutex lets one caller encode at a time; no I/O happens under it.
func (f *Follower) encode(held *AppliedRevision) []byte {
	f.encodeMu.Lock()
	defer f.encodeMu.Unlock()
	if cached := f.encoded.Load(); cached != nil && cached.revision == held.Revision {
		return cached.data
	}
	data, err := encodeSnapshot(held.Revision, held.Doc)
	if err != nil {
		return nil
	}
	f.encoded.Store(&encodedSnapshot{revision: held.Revision, data: data})
	return data
}

// encodeSnapshot returns the encoded snapshot of the document. The bytes are the same
// on every daemon, so it does not matter which one writes the object.
func encodeSnapshot(r Revision, doc *tree.Document) ([]byte, error) {
	raw, err := json.Marshal(snapshot{Revision: r, Document: doc})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "snapshot %d", r)
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(raw); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "snapshot %d", r)
	}
	if err := z.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "snapshot %d", r)
	}
	return b.Bytes(), nil
}
