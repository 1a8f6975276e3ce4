package store

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fault"
)

// Marker is the row by which a transaction is recognised after its reply was
// lost. Mine reports whether the row's value was written by the transaction.
// The row must be among the conditions and the puts of the transaction, and
// nobody may delete it or overwrite it with a value that Mine doesn't know.
type Marker struct {
	Key  string
	Mine func(value []byte) bool
}

const (
	retryFirstWait = 50 * time.Millisecond
	retryMaxWait   = 2 * time.Second
	retryDoublings = 10
)

// ApplyOnce applies a conditional transaction and resolves a lost reply by
// reading the marker row back. It returns nil if the transaction took effect,
// once. It returns StoreConflict, or StoreUnavailable when the first attempt
// was refused, only if it did not take effect and never will. When ctx ends
// before that is known it returns StoreAmbiguous; a later call with the same
// transaction goes on from there.
//
// A marker that is still missing doesn't show that the transaction won't take
// effect later, since its request may be delayed. The same transaction is
// therefore applied again until one attempt has a definite reply; its
// condition on the marker lets at most one attempt take effect.
func ApplyOnce(ctx context.Context, t Table, tx Tx, m Marker) error {
	cond := slices.IndexFunc(tx.Conds, func(c Cond) bool { return c.Key == m.Key })
	put := slices.IndexFunc(tx.Puts, func(p Put) bool { return p.Key == m.Key && !p.Delete })
	if cond < 0 || put < 0 {
		return fault.New(fault.Internal, "marker %q isn't a condition and a put of transaction %q", m.Key, tx.ID)
	}
	o := once{table: t, tx: tx, marker: m, version: tx.Conds[cond].Version}
	err := t.Apply(ctx, tx)
	if !fault.Is(err, fault.StoreAmbiguous) && !fault.Is(err, fault.StoreConflict) {
		return err
	}
	return o.resolve(ctx, err)
}

// once is a transaction whose first attempt was ambiguous or met a conflict.
type once struct {
	table   Table
	tx      Tx
	marker  Marker
	version uint64
}

// resolve goes on from the result of the first attempt. A conflict is final
// only after the marker was read, because the failed condition may be due to
// an earlier attempt that took effect late.
func (o *once) resolve(ctx context.Context, err error) error {
	var conflict error
	for attempt := 0; ; attempt++ {
		if fault.Is(err, fault.StoreConflict) {
			conflict = err
		}
		mine, unchanged, readErr := o.readBack(ctx)
		switch {
		case readErr != nil:
			err = readErr
		case mine:
			return nil
		case conflict != nil:
			return conflict
		case !unchanged:
			return fault.New(fault.StoreConflict, "row %q no longer has version %d", o.marker.Key, o.version)
		default:
			if err = o.table.Apply(ctx, o.tx); err == nil {
				return nil
			}
		}
		if fault.Is(err, fault.StoreConflict) {
			continue
		}
		if !wait(ctx, RetryWait(o.tx.ID, attempt)) {
			return fault.Wrap(err, fault.StoreAmbiguous, "transaction %q isn't resolved", o.tx.ID)
		}
	}
}

// readBack reads the marker row. It returns mine if the transaction took
// effect, and unchanged if the row still has the version of the condition.
func (o *once) readBack(ctx context.Context) (mine, unchanged bool, err error) {
	row, err := o.table.Get(ctx, o.marker.Key)
	if fault.Is(err, fault.RowMissing) {
		return false, o.version == 0, nil
	}
	if err != nil {
		return false, false, err
	}
	return o.marker.Mine(row.Value), row.Version == o.version, nil
}

// RetryWait returns the wait before the next attempt at a write: doubling, with
// a jitter that depends on the id, so that the daemons don't retry in step and
// a test with a fixed seed always takes the same course.
func RetryWait(id string, attempt int) time.Duration {
	d := min(retryFirstWait<<min(attempt, retryDoublings), retryMaxWait)
	hash := xxhash.Sum64String(id) + uint64(attempt)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(hash%uint64(d))
}

// wait returns false if ctx ends before d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
