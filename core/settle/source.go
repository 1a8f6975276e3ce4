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

// Keys of the table rows and the names of the snapshot objects. Revisions are
// padded to the 20 digits of the largest uint64, so that key order is number
// order and one scan reads many revisions.
const (
	headKey      = "settings/head"
	revPrefix    = "settings/rev/"
	changePrefix = "settings/change/"
	snapPrefix   = "settings/snapshot/"
)

const (
	// SnapshotEvery is the number of revisions between snapshot objects.
	SnapshotEvery Revision = 256
	// farBehind is the number of revisions above which a snapshot is cheaper
	// than the deltas.
	farBehind Revision = 64
	// scanLimit is the number of revision rows that one scan reads.
	scanLimit = 64
	// maxSnapshot bounds a decompressed snapshot; the planned scale takes about 2 MB.
	maxSnapshot = 64 << 20
)

func revKey(r Revision) string { return fmt.Sprintf("%s%020d", revPrefix, uint64(r)) }

func snapName(r Revision) string { return fmt.Sprintf("%s%020d", snapPrefix, uint64(r)) }

// source reads settings from the platform.
type source struct {
	table   store.Table
	objects store.Objects
}

// head returns the head and the version of its row; both are zero if the row
// does not exist.
func (s source) head(ctx context.Context) (Head, uint64, error) {
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

// undecodable is the cause of the error for a revision row that is missing or
// cannot be decoded.
type undecodable struct {
	revision Revision
	cause    error
}

// Error names the revision and the cause.
func (u *undecodable) Error() string {
	return fmt.Sprintf("revision %d: %v", u.revision, u.cause)
}

// deltas returns the revisions above after up to to. With an error it returns
// the ones before the failure.
func (s source) deltas(ctx context.Context, after, to Revision) ([]*Delta, error) {
	var out []*Delta
	for after < to {
		rows, err := s.table.Scan(ctx, revPrefix, revKey(after), min(scanLimit, int(to-after)))
		if err != nil {
			return out, err
		}
		if len(rows) == 0 {
			return out, &undecodable{revision: after + 1, cause: fault.New(fault.RowMissing, "row %s", revKey(after+1))}
		}
		for _, row := range rows {
			d, err := decodeDelta(row, after+1)
			if err != nil {
				return out, err
			}
			out = append(out, d)
			after++
		}
	}
	return out, nil
}

func decodeDelta(row store.Row, want Revision) (*Delta, error) {
	if row.Key != revKey(want) {
		return nil, &undecodable{revision: want, cause: fault.New(fault.RowMissing, "row %s", revKey(want))}
	}
	d := new(Delta)
	if err := json.Unmarshal(row.Value, d); err != nil {
		return nil, &undecodable{revision: want, cause: err}
	}
	if d.Revision != want {
		return nil, &undecodable{revision: want, cause: fault.New(fault.SettingsInvalid, "row %s holds revision %d", row.Key, d.Revision)}
	}
	return d, nil
}

// snapshot is the content of a snapshot object.
type snapshot struct {
	Revision Revision  `json:"revision"`
	Document *tree.Doc `json:"document"`
}

func decodeSnapshot(data []byte) (snapshot, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snapshot{}, fault.Wrap(err, fault.SettingsInvalid, "snapshot")
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxSnapshot+1))
	if err != nil {
		return snapshot{}, fault.Wrap(err, fault.SettingsInvalid, "snapshot")
	}
	if len(raw) > maxSnapshot {
		return snapshot{}, fault.New(fault.SettingsInvalid, "snapshot above %d bytes", maxSnapshot)
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

// snapshotTries is the number of snapshot objects that are tried: the newest
// one may not be written yet.
const snapshotTries = 2

// snapshotUpTo returns the newest snapshot at or below to and above above;
// found is false if there is none. With an error, no snapshot could be read.
func (s source) snapshotUpTo(ctx context.Context, above, to Revision) (snap snapshot, found bool, err error) {
	if s.objects.Get == nil {
		return snapshot{}, false, nil
	}
	r := to - to%SnapshotEvery
	for range snapshotTries {
		if r <= above {
			break
		}
		snap, err = s.snapshotAt(ctx, r)
		if err == nil {
			return snap, true, nil
		}
		r -= SnapshotEvery
	}
	if fault.Is(err, fault.NotFound) {
		err = nil
	}
	return snapshot{}, false, err
}

func (s source) snapshotAt(ctx context.Context, r Revision) (snapshot, error) {
	data, err := s.objects.Get(ctx, snapName(r))
	if err != nil {
		return snapshot{}, err
	}
	snap, err := decodeSnapshot(data)
	if err != nil {
		return snapshot{}, err
	}
	if snap.Revision != r {
		return snapshot{}, fault.New(fault.SettingsInvalid, "object %s holds revision %d", snapName(r), snap.Revision)
	}
	return snap, nil
}

// fold applies deltas in order and calls good for each that leads to a valid
// document. A delta that does not stays out and its ops are applied together
// with the next ones, so that a later revision that corrects it can be taken.
// The first tried deltas are known to lead to no valid document and are not
// tried again on their own. It returns the last reason for which a delta
// stayed out.
func fold(doc *tree.Doc, deltas []*Delta, tried int, good func(i int, doc *tree.Doc)) error {
	var held []tree.Op
	var failed error
	for i, d := range deltas {
		ops := d.Ops
		if len(held) > 0 {
			ops = append(held, d.Ops...)
		}
		if i < tried {
			held = append([]tree.Op(nil), ops...)
			continue
		}
		next, err := doc.Apply(ops)
		if err != nil {
			held = append([]tree.Op(nil), ops...)
			failed = &undecodable{revision: d.Revision, cause: err}
			continue
		}
		doc, held, failed = next, nil, nil
		good(i, doc)
	}
	return failed
}
