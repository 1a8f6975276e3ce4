package stand

import (
	"context"
	"maps"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// vmChange is an entry of the change log of the VM list.
type vmChange struct {
	version   uint64
	changedAt time.Time
	vm        fleet.VM
	removed   bool
}

// vmLog is the VM list as a snapshot and the changes since then. At most maxLength
// changes are kept; older ones are applied to the snapshot.
type vmLog struct {
	maxLength       int
	version         uint64
	snapshotVersion uint64
	snapshot        map[fleet.VMID]fleet.VM
	changes         []vmChange
}

// add appends a change with the next version and the current time.
func (l *vmLog) add(c vmChange) {
	l.version++
	c.version, c.changedAt = l.version, time.Now()
	l.changes = append(l.changes, c)
	for len(l.changes) > l.maxLength {
		l.changes[0].applyTo(l.snapshot)
		l.snapshotVersion = l.changes[0].version
		l.changes = l.changes[1:]
	}
}

func (c vmChange) applyTo(vms map[fleet.VMID]fleet.VM) {
	if c.removed {
		delete(vms, c.vm.ID)
		return
	}
	vms[c.vm.ID] = c.vm
}

// since returns the changes after version that are older than lag. It returns the
// full list if version is 0, unknown or older than the snapshot.
func (l *vmLog) since(version uint64, lag time.Duration) store.VMChanges {
	visible := l.snapshotVersion
	visibleUntil := time.Now().Add(-lag)
	full := version == 0 || version < l.snapshotVersion || version > l.version
	vms, removed := map[fleet.VMID]fleet.VM{}, map[fleet.VMID]bool{}
	if full {
		vms = maps.Clone(l.snapshot)
	}
	for _, c := range l.changes {
		if c.changedAt.After(visibleUntil) {
			break
		}
		visible = c.version
		if full || c.version > version {
			c.applyTo(vms)
			removed[c.vm.ID] = c.removed
		}
	}
	// With a greater lag than before, the caller may know a version that is not
	// visible now. The returned version never goes back.
	if !full && visible < version {
		visible = version
	}
	return newVMChanges(visible, full, vms, removed)
}

func newVMChanges(version uint64, full bool, vms map[fleet.VMID]fleet.VM, removed map[fleet.VMID]bool) store.VMChanges {
	out := store.VMChanges{Version: version, Full: full, Live: []fleet.VM{}}
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		out.Live = append(out.Live, vms[id])
	}
	if full {
		return out
	}
	for _, id := range slices.Sorted(maps.Keys(removed)) {
		if removed[id] {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// VMList returns the platform's VM list.
func (p *Platform) VMList() store.VMList {
	return store.VMList{ChangesSince: p.vmsSince}
}

func (p *Platform) vmsSince(ctx context.Context, version uint64) (out store.VMChanges, err error) {
	p.vmReads.Add(1)
	err = p.read(ctx, p.faults.Load().VMsDown, func() error {
		out = p.vms.since(version, p.faults.Load().VMLag)
		return nil
	})
	return out, err
}

// PutVM adds a VM to the list or replaces its entry.
func (p *Platform) PutVM(ctx context.Context, vm fleet.VM) error {
	p.vmWrites.Add(1)
	return p.write(ctx, p.faults.Load().VMsDown, func() error {
		p.vms.add(vmChange{vm: vm})
		return nil
	})
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(ctx context.Context, id fleet.VMID) error {
	p.vmWrites.Add(1)
	return p.write(ctx, p.faults.Load().VMsDown, func() error {
		p.vms.add(vmChange{vm: fleet.VM{ID: id}, removed: true})
		return nil
	})
}
