package store

import (
	"context"

	"wisteriarelay.example/core/fleet"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version increases with each write to the row and is never 0.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Cond is a condition of a transaction: the row must have the version. Version 0
// requires that the row does not exist.
type Cond struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is one write of a transaction. It sets the value of a row, or deletes the row.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: if all conditions hold, all writes take effect, otherwise
// none.
type Tx struct {
	// ID identifies the transaction in logs. The table service does not use it to
	// detect repeated transactions.
	ID    string `json:"id"`
	Conds []Cond `json:"conds"`
	Puts  []Put  `json:"puts"`
}

// Table is the table service. Apply returns fault.StoreConflict and
// fault.StoreUnavailable only if nothing was written, and fault.StoreAmbiguous
// if the writes may have taken effect. Get returns fault.RowMissing for an
// unknown key. Scan returns up to limit rows whose keys start with prefix and are
// greater than after, in key order.
type Table struct {
	Get   func(ctx context.Context, key string) (Row, error)
	Scan  func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	Apply func(ctx context.Context, tx Tx) error
}

// Objects is the object store. Get returns fault.NotFound for an unknown name.
type Objects struct {
	Get func(ctx context.Context, name string) ([]byte, error)
	Put func(ctx context.Context, name string, data []byte) error
}

// VMChanges lists the changes of the VM list since an earlier version of the list.
type VMChanges struct {
	// Version is the version of the list after the changes.
	Version uint64 `json:"version"`
	// Full is set if Live is the complete list, because the requested version is
	// too old for a list of changes.
	Full bool `json:"full,omitempty"`
	// Live holds the VMs that were added or changed, Gone those that were removed.
	Live    []fleet.VM   `json:"live"`
	Removed []fleet.VMID `json:"gone,omitempty"`
}

// VMList is the platform's list of live and leaving VMs, which is updated with a
// delay. Since returns the changes after a version.
type VMList struct {
	ChangesSince func(ctx context.Context, version uint64) (VMChanges, error)
}
