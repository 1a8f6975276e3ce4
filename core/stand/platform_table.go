package stand

import (
	"context"
	"maps"
	"slices"
	"strings"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
)

// Table returns the platform's table service.
func (p *Platform) Table() store.Table {
	return store.Table{Get: p.getRow, Scan: p.scanRows, Apply: p.applyTx}
}

func (p *Platform) getRow(ctx context.Context, key string) (row store.Row, err error) {
	p.tableReads.Add(1)
	err = p.read(ctx, p.faults.Load().TableDown, func() error {
		r, ok := p.rows[key]
		if !ok {
			return fault.New(fault.RowMissing, "row %q", key)
		}
		row = r
		row.Value = slices.Clone(r.Value)
		return nil
	})
	return row, err
}

func (p *Platform) scanRows(ctx context.Context, prefix, after string, limit int) (rows []store.Row, err error) {
	p.tableReads.Add(1)
	err = p.read(ctx, p.faults.Load().TableDown, func() error {
		rows = p.scanLocked(prefix, after, limit)
		return nil
	})
	return rows, err
}

// scanLocked returns up to limit rows whose key has the prefix and sorts after the
// key after. A limit of 0 means no limit.
func (p *Platform) scanLocked(prefix, after string, limit int) []store.Row {
	if p.keysStale {
		p.sortedKeys = slices.Sorted(maps.Keys(p.rows))
		p.keysStale = false
	}
	start, found := slices.BinarySearch(p.sortedKeys, max(prefix, after))
	if found && p.sortedKeys[start] == after {
		start++
	}
	rows := []store.Row{}
	for _, k := range p.sortedKeys[start:] {
		if !strings.HasPrefix(k, prefix) || (limit > 0 && len(rows) == limit) {
			break
		}
		r := p.rows[k]
		r.Value = slices.Clone(r.Value)
		rows = append(rows, r)
	}
	return rows
}

func (p *Platform) applyTx(ctx context.Context, tx store.Tx) error {
	p.tableWrites.Add(1)
	return p.write(ctx, p.faults.Load().TableDown, func() error { return p.applyLocked(tx) })
}

// applyLocked checks all conditions before the first write, so that a transaction
// is applied as a whole or not at all.
func (p *Platform) applyLocked(tx store.Tx) error {
	for _, c := range tx.Conds {
		if p.rows[c.Key].Version != c.Version {
			return fault.New(fault.StoreConflict, "row %q has version %d, not %d", c.Key, p.rows[c.Key].Version, c.Version)
		}
	}
	for _, w := range tx.Puts {
		_, known := p.rows[w.Key]
		if w.Delete {
			delete(p.rows, w.Key)
			p.keysStale = p.keysStale || known
			continue
		}
		// All rows share one version counter, so that a row that is deleted and
		// created again never has an earlier version.
		p.rowVersion++
		p.rows[w.Key] = store.Row{Key: w.Key, Version: p.rowVersion, Value: slices.Clone(w.Value)}
		p.keysStale = p.keysStale || !known
	}
	return nil
}
