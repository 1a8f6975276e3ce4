package store

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fault"
)

// Marker identifies the row that shows whether a transaction took effect when its
// reply was lost. Mine reports whether a value of the row was written by the
// transaction. The row must be among the conditions and the puts of the
// transaction. Nobody may delete it, or overwrite it with a value for which Mine
// returns false although the transaction took effect.
type Marker struct {
	Key         string
	WrittenByTx func(value []byte) bool
}

const (
	// retryInitialWait and retryMaxWait are the first and the longest wait between
	// attempts. The wait doubles at most maxDoublings times, so that the shift does
	// not overflow.
	retryInitialWait = 50 * time.Millisecond
	retryMaxWait     = 2 * time.Second
	maxDoublings     = 10
)

// ApplyOnce applies a conditional transaction at most once. If a reply is lost, it
// reads the marker row to determine the outcome. It returns nil if the transaction
// took effect. It returns StoreConflict, or StoreUnavailable if the first attempt
// was rejected, only if the transaction did not take effect and never will. If ctx
// ends before the outcome is known, it returns StoreAmbiguous; a later call with
// the same transaction continues from there.
//
// If the marker row is unchanged, the transaction may still take effect later,
// because its request may be delayed. It is therefore applied again until an
// attempt has a definite reply. The condition on the marker row allows at most one
// attempt to take effect.
func ApplyOnce(ctx context.Context, t Table, tx Tx, m Marker) error {
	cond := slices.IndexFunc(tx.Conds, func(c Cond) bool { return c.Key == m.Key })
	put := slices.IndexFunc(tx.Puts, func(p Put) bool { return p.Key == m.Key && !p.Delete })
	if cond < 0 || put < 0 {
		return fault.New(fault.Internal, "marker %q isn't a condition and a put of transaction %q", m.Key, tx.ID)
	}
	u := unresolvedTx{table: t, tx: tx, marker: m, version: tx.Conds[cond].Version}
	err := t.Apply(ctx, tx)
	if !fault.Is(err, fault.StoreAmbiguous) && !fault.Is(err, fault.StoreConflict) {
		return err
	}
	return u.resolve(ctx, err)
}

// unresolvedTx is a transaction whose first attempt was ambiguous or failed with a
// conflict. version is the version of the marker row that the transaction requires.
type unresolvedTx struct {
	table   Table
	tx      Tx
	marker  Marker
	version uint64
}

// resolve determines the outcome of the transaction; err is the error of the first
// attempt. A conflict is final only after the marker row was read, because an
// earlier attempt that took effect late also causes a conflict.
func (u *unresolvedTx) resolve(ctx context.Context, err error) error {
	var conflict error
	for attempt := 0; ; attempt++ {
		if fault.Is(err, fault.StoreConflict) {
			conflict = err
		}
		applied, unchanged, readErr := u.readMarker(ctx)
		switch {
		case readErr != nil:
			err = readErr
		case applied:
			return nil
		case conflict != nil:
			return conflict
		case !unchanged:
			return fault.New(fault.StoreConflict, "row %q no longer has version %d", u.marker.Key, u.version)
		default:
			if err = u.table.Apply(ctx, u.tx); err == nil {
				return nil
			}
		}
		if fault.Is(err, fault.StoreConflict) {
			continue
		}
		if !wait(ctx, RetryWait(u.tx.ID, attempt)) {
			return fault.Wrap(err, fault.StoreAmbiguous, "transaction %q isn't resolved", u.tx.ID)
		}
	}
}

// readMarker reads the marker row. applied reports whether the transaction took
// effect, unchanged whether the row still has the version that the transaction
// requires.
func (u *unresolvedTx) readMarker(ctx context.Context) (applied, unchanged bool, err error) {
	row, err := u.table.Get(ctx, u.marker.Key)
	if fault.Is(err, fault.RowMissing) {
		return false, u.version == 0, nil
	}
	if err != nil {
		return false, false, err
	}
	return u.marker.WrittenByTx(row.Value), row.Version == u.version, nil
}

// RetryWait returns the wait before the next attempt at a write. It doubles with each
// attempt. Its jitter is derived from the id, so that the daemons do not retry at
// the same time and a test with a fixed seed is reproducible.
func RetryWait(id string, attempt int) time.Duration {
	d := min(retryInitialWait<<min(attempt, maxDoublings), retryMaxWait)
	hash := xxhash.Sum64String(id) + uint64(attempt)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(hash%uint64(d))
}

// wait waits for d. It returns false if ctx ends first.
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
