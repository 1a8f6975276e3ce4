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

// snapshotSpread is the time over which the daemons look whether a snapshot
// object is written. Of 690 daemons the first writes it about 1 s after the
// revision, and the others read the object 1.15 times a second together.
const snapshotSpread = 10 * time.Minute

// dueSnapshot is a snapshot object that this daemon writes unless another does.
type dueSnapshot struct {
	revision Revision
	doc      *tree.Doc
	at       time.Time
}

func (f *Follower) schedule(a *Applied) {
	if f.src.objects.Put == nil || a.Revision%SnapshotEvery != 0 || len(a.recent) == 0 {
		return
	}
	f.due = &dueSnapshot{revision: a.Revision, doc: a.Doc, at: time.Now().Add(f.snapshotDelay())}
}

func (f *Follower) snapshotDelay() time.Duration {
	return time.Duration(f.rng.Float64() * float64(snapshotSpread))
}

// writeSnapshot writes the due snapshot object if it does not exist. A failure
// is tried again later; until then a cold start reads an older snapshot and
// more deltas.
func (f *Follower) writeSnapshot(ctx context.Context) {
	if f.due == nil || time.Now().Before(f.due.at) {
		return
	}
	if err := f.storeSnapshot(ctx, f.due); err != nil {
		f.due.at = time.Now().Add(f.snapshotDelay())
		return
	}
	f.due = nil
}

func (f *Follower) storeSnapshot(ctx context.Context, due *dueSnapshot) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTries*callTimeout)
	defer cancel()
	name := snapName(due.revision)
	_, err := f.src.objects.Get(ctx, name)
	if !fault.Is(err, fault.NotFound) {
		return err
	}
	data, err := encodeSnapshot(due.revision, due.doc)
	if err != nil {
		return err
	}
	return f.src.objects.Put(ctx, name, data)
}

// packedSnapshot is the encoded snapshot of a held revision.
type packedSnapshot struct {
	revision Revision
	data     []byte
}

// pack returns the encoded snapshot of the held revision and keeps it for the
// next peer. The mutex lets one caller encode at a time; it spans no I/O.
func (f *Follower) pack(held *Applied) []byte {
	f.packing.Lock()
	defer f.packing.Unlock()
	if p := f.packed.Load(); p != nil && p.revision == held.Revision {
		return p.data
	}
	data, err := encodeSnapshot(held.Revision, held.Doc)
	if err != nil {
		return nil
	}
	f.packed.Store(&packedSnapshot{revision: held.Revision, data: data})
	return data
}

// encodeSnapshot returns the same bytes for the same revision on every daemon,
// so that it does not matter which one writes the object.
func encodeSnapshot(r Revision, doc *tree.Doc) ([]byte, error) {
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
