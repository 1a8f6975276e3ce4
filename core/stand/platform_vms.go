package stand

import (
	"context"
	"maps"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// vmChange is one entry of the change log of the VM list.
type vmChange struct {
	version uint64
	at      time.Time
	vm      fleet.VM
	gone    bool
}

// vmLog is the VM list: the state before the log's first entry, and the log.
type vmLog struct {
	bound       int
	version     uint64
	baseVersion uint64
	base        map[fleet.VMID]fleet.VM
	log         []vmChange
}

func (l *vmLog) add(c vmChange) {
	l.version++
	c.version, c.at = l.version, time.Now()
	l.log = append(l.log, c)
	for len(l.log) > l.bound {
		l.log[0].applyTo(l.base)
		l.baseVersion = l.log[0].version
		l.log = l.log[1:]
	}
}

func (c vmChange) applyTo(vms map[fleet.VMID]fleet.VM) {
	if c.gone {
		delete(vms, c.vm.ID)
		return
	}
	vms[c.vm.ID] = c.vm
}

// since returns the changes after version that are older than lag.
func (l *vmLog) since(version uint64, lag time.Duration) store.VMChanges {
	visible := l.baseVersion
	limit := time.Now().Add(-lag)
	full := version == 0 || version < l.baseVersion || version > l.version
	vms, gone := map[fleet.VMID]fleet.VM{}, map[fleet.VMID]bool{}
	if full {
		vms = maps.Clone(l.base)
	}
	for _, c := range l.log {
		if c.at.After(limit) {
			break
		}
		visible = c.version
		if full || c.version > version {
			c.applyTo(vms)
			gone[c.vm.ID] = c.gone
		}
	}
	if !full && visible < version {
		visible = version
	}
	return changes(visible, full, vms, gone)
}

func changes(version uint64, full bool, vms map[fleet.VMID]fleet.VM, gone map[fleet.VMID]bool) store.VMChanges {
	out := store.VMChanges{Version: version, Full: full, Live: []fleet.VM{}}
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		out.Live = append(out.Live, vms[id])
	}
	if full {
		return out
	}
	for _, id := range slices.Sorted(maps.Keys(gone)) {
		if gone[id] {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// VMList returns the platform's list of VMs.
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

// PutVM lists a VM or replaces its entry.
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
		p.vms.add(vmChange{vm: fleet.VM{ID: id}, gone: true})
		return nil
	})
}
