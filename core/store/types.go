package store

import (
	"context"

	"wisteriarelay.example/core/fleet"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version rises with each write to the row and is never 0.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Cond is a condition of a transaction; Version 0 demands that the row does not exist.
type Cond struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all its writes take effect if all its conditions hold, else none.
type Tx struct {
	// ID names the transaction in logs; the table service does not use it to detect repeats.
	ID    string `json:"id"`
	Conds []Cond `json:"conds"`
	Puts  []Put  `json:"puts"`
}

// Table is the table service. Apply returns fault.StoreConflict and
// fault.StoreUnavailable only if nothing was written, and fault.StoreAmbiguous
// if the writes may have taken effect. Get returns fault.RowMissing for an
// unknown key. Scan returns rows whose key starts with prefix and sorts behind
// after, in key order.
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

// VMChanges lists the VMs that changed since a version of the VM list.
type VMChanges struct {
	Version uint64 `json:"version"`
	// Full says that Live is the whole list, because the asked version is too old.
	Full bool         `json:"full,omitempty"`
	Live []fleet.VM   `json:"live"`
	Gone []fleet.VMID `json:"gone,omitempty"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList struct {
	Since func(ctx context.Context, version uint64) (VMChanges, error)
}
