package settle

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// Keys of the table rows and names of the snapshot objects. Revision numbers are
// padded with zeros to the 20 digits of the largest uint64, so that the key order
// is the numeric order and one scan returns consecutive revisions.
const (
	headKey        = "settings/head"
	revisionPrefix = "settings/rev/"
	changePrefix   = "settings/change/"
	snapshotPrefix = "settings/snapshot/"
)

const (
	// SnapshotInterval is the number of revisions from one snapshot object to the
	// next.
	SnapshotInterval Revision = 256
	// snapshotThreshold is the number of missing revisions above which reading a
	// snapshot is cheaper than reading the deltas.
	snapshotThreshold Revision = 64
	// scanPageSize is the maximum number of revision rows that one scan returns.
	scanPageSize = 64
	// maxSnapshotBytes limits the size of a decompressed snapshot. At the planned
	// scale a snapshot is about 2 MB long.
	maxSnapshotBytes = 64 << 20
)

func revisionKey(r Revision) string { return fmt.Sprintf("%s%020d", revisionPrefix, uint64(r)) }

func snapshotName(r Revision) string { return fmt.Sprintf("%s%020d", snapshotPrefix, uint64(r)) }

// storeReader reads the settings from the table service and the object store.
type storeReader struct {
	table   store.Table
	objects store.Objects
}

// head returns the head and the version of its row. Both are zero if the row does
// not exist.
func (s storeReader) head(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, headKey)
	if fault.Is(err, fault.RowMissing) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, 0, fault.Wrap(err, fault.SettingsInvalid, "row %s", headKey)
	}
	return h, row.Version, nil
}

// revisionError is the error for a revision that is missing, cannot be decoded or
// cannot be applied. Unlike an error of the store, it does not go away when the
// read is repeated.
type revisionError struct {
	revision Revision
	cause    error
}

// Error names the revision and the cause.
func (e *revisionError) Error() string {
	return fmt.Sprintf("revision %d: %v", e.revision, e.cause)
}

// deltas returns the revisions from after+1 to to. Together with an error it
// returns the revisions that precede the failure.
func (s storeReader) deltas(ctx context.Context, after, to Revision) ([]*Delta, error) {
	var deltas []*Delta
	for after < to {
		rows, err := s.table.Scan(ctx, revisionPrefix, revisionKey(after), min(scanPageSize, int(to-after)))
		if err != nil {
			return deltas, err
		}
		if len(rows) == 0 {
			return deltas, &revisionError{revision: after + 1, cause: fault.New(fault.RowMissing, "row %s", revisionKey(after+1))}
		}
		for _, row := range rows {
			d, err := decodeDelta(row, after+1)
			if err != nil {
				return deltas, err
			}
			deltas = append(deltas, d)
			after++
		}
	}
	return deltas, nil
}

// decodeDelta decodes a revision row and checks that it is the one of revision
// want.
func decodeDelta(row store.Row, want Revision) (*Delta, error) {
	if row.Key != revisionKey(want) {
		return nil, &revisionError{revision: want, cause: fault.New(fault.RowMissing, "row %s", revisionKey(want))}
	}
	d := new(Delta)
	if err := json.Unmarshal(row.Value, d); err != nil {
		return nil, &revisionError{revision: want, cause: err}
	}
	if d.Revision != want {
		return nil, &revisionError{revision: want, cause: fault.New(fault.SettingsInvalid, "row %s holds revision %d", row.Key, d.Revision)}
	}
	return d, nil
}

// snapshot is the content of a snapshot object.
type snapshot struct {
	Revision Revision       `json:"revision"`
	Document *tree.Document `json:"document"`
}

func decodeSnapshot(data []byte) (snapshot, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snapshot{}, fault.Wrap(err, fault.SettingsInvalid, "snapshot")
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes+1))
	if err != nil {
		return snapshot{}, fault.Wrap(err, fault.SettingsInvalid, "snapshot")
	}
	if len(raw) > maxSnapshotBytes {
		return snapshot{}, fault.New(fault.SettingsInvalid, "snapshot above %d bytes", maxSnapshotBytes)
	}
	var s snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return snapshot{}, fault.Wrap(err, fault.SettingsInvalid, "snapshot")
	}
	if s.Revision == 0 || s.Document == nil {
		return snapshot{}, fault.New(fault.SettingsInvalid, "snapshot without revision or document")
	}
	return s, nil
}

// maxSnapshotAttempts is the number of snapshot objects that are tried, because the
// newest one may not be written yet.
const maxSnapshotAttempts = 2

// newestSnapshot returns the newest snapshot above after and up to to. found is
// false if there is none or if an error is returned.
func (s storeReader) newestSnapshot(ctx context.Context, after, to Revision) (snap snapshot, found bool, err error) {
	if s.objects.Get == nil {
		return snapshot{}, false, nil
	}
	r := to - to%SnapshotInterval
	for range maxSnapshotAttempts {
		if r <= after {
			break
		}
		snap, err = s.readSnapshot(ctx, r)
		if err == nil {
			return snap, true, nil
		}
		r -= SnapshotInterval
	}
	if fault.Is(err, fault.NotFound) {
		err = nil
	}
	return snapshot{}, false, err
}

func (s storeReader) readSnapshot(ctx context.Context, r Revision) (snapshot, error) {
	data, err := s.objects.Get(ctx, snapshotName(r))
	if err != nil {
		return snapshot{}, err
	}
	snap, err := decodeSnapshot(data)
	if err != nil {
		return snapshot{}, err
	}
	if snap.Revision != r {
		return snapshot{}, fault.New(fault.SettingsInvalid, "object %s holds revision %d", snapshotName(r), snap.Revision)
	}
	return snap, nil
}

// applyValid applies deltas in order and calls accept for each one that produces a
// valid document. The ops of a delta that does not are deferred and applied
// together with those of the next one, so that a later revision can correct an
// invalid one. The first knownInvalid deltas produced no valid document before;
// they are deferred without another attempt. If the last attempt failed,
// applyValid returns its error.
func applyValid(doc *tree.Document, deltas []*Delta, knownInvalid int, accept func(i int, doc *tree.Document)) error {
	var deferred []tree.Op
	var failure error
	for i, d := range deltas {
		ops := d.Ops
		if len(deferred) > 0 {
			ops = append(deferred, d.Ops...)
		}
		if i < knownInvalid {
			deferred = append([]tree.Op(nil), ops...)
			continue
		}
		next, err := doc.Apply(ops)
		if err != nil {
			deferred = append([]tree.Op(nil), ops...)
			failure = &revisionError{revision: d.Revision, cause: err}
			continue
		}
		doc, deferred, failure = next, nil, nil
		accept(i, doc)
	}
	return failure
}
