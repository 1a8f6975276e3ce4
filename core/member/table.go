package member

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/place"
)

// Table maintains the membership as one daemon sees it.
type Table struct {
	self        fleet.VM
	incarnation fleet.Incarnation
	started     uint64
	hooks       Hooks
	log         log.Logger
	seed        uint64
	view        atomic.Pointer[View]
	sequence    atomic.Uint64
	counters    counters
	// wakeup makes the reporter send urgent reports; it buffers one signal.
	wakeup chan struct{}

	mu          sync.Mutex
	vmsKnown    bool
	superseded  bool
	leaving     bool
	listVersion uint64
	listReadAt  time.Time
	// listed holds the VMs of the VM list.
	listed map[fleet.VMID]fleet.VM
	// removedAt holds the VMs that were removed from the VM list and since when. They
	// are not placed. An entry ends when the VM is listed again, when a new VM with
	// the same id reports, or after peerStateTTL.
	removedAt  map[fleet.VMID]time.Time
	peerStates map[fleet.VMID]*peerState
	// plan and addressTTL are computed from the services of SetServices.
	plan       *place.ServiceSet
	addressTTL map[fleet.ServiceID]time.Duration
	// windDownUntil holds the end of the wind-down of each service that is wound down.
	windDownUntil map[fleet.ServiceID]time.Time
	// urgentServices holds the services to report about at once.
	urgentServices map[fleet.ServiceID]bool
	// leaveNoticeDue says that all peers must be told at once that this daemon leaves.
	leaveNoticeDue bool
}

// New returns a table for the daemon on the VM self. Run must be called to start it.
func New(self fleet.VM, incarnation fleet.Incarnation, hooks Hooks, opts ...Option) *Table {
	t := &Table{
		self:           self,
		incarnation:    incarnation,
		started:        uint64(time.Now().UnixMilli()),
		hooks:          hooks,
		log:            log.NewNopLogger(),
		seed:           incarnation.RunID(),
		wakeup:         make(chan struct{}, 1),
		listed:         make(map[fleet.VMID]fleet.VM),
		removedAt:      make(map[fleet.VMID]time.Time),
		peerStates:     make(map[fleet.VMID]*peerState),
		plan:           place.NewServiceSet(nil),
		addressTTL:     make(map[fleet.ServiceID]time.Duration),
		windDownUntil:  make(map[fleet.ServiceID]time.Time),
		urgentServices: make(map[fleet.ServiceID]bool),
	}
	for _, o := range opts {
		o(t)
	}
	t.view.Store(&View{Self: self, Incarnation: incarnation, placement: t.plan.Place(place.NewTopology(nil)), isReady: hooks.IsReady})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild(time.Now())
	return t
}

// View returns the current snapshot.
func (t *Table) View() *View {
	return t.view.Load()
}

// Run polls the VM list and sends reports until ctx ends. It returns when no report
// is pending any more.
func (t *Table) Run(ctx context.Context) {
	var running sync.WaitGroup
	if t.hooks.List.ChangesSince != nil {
		running.Add(1)
		p := newPoller(t, &running)
		go p.loop(ctx)
	}
	running.Add(1)
	r := newReporter(t, &running)
	go r.loop(ctx)
	running.Wait()
}

// SetServices replaces the services that are placed on the VMs. A service that is
// removed by this is dropped at once, without a wind-down.
func (t *Table) SetServices(services []*fleet.Service) {
	demands := make([]place.ServiceSpec, len(services))
	ttl := make(map[fleet.ServiceID]time.Duration, len(services))
	for i, s := range services {
		demands[i] = place.ServiceSpec{Service: s.ID, Region: s.Region, CarrierCount: s.Policy.Carriers}
		ttl[s.ID] = s.Policy.AddressTTL
	}
	plan := place.NewServiceSet(demands)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan, t.addressTTL = plan, ttl
	t.rebuild(time.Now())
}

// Leave makes this daemon leave the fleet: it stops being a carrier, winds down the
// services that it carried, and tells its peers at once.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return
	}
	t.leaving, t.leaveNoticeDue = true, true
	t.rebuild(time.Now())
	t.wakeReporter()
}

// ReportNow requests an urgent report about the service, for example because a
// target starts to leave or the ejection list has changed.
func (t *Table) ReportNow(service fleet.ServiceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgentServices[service] = true
	t.wakeReporter()
}

// wakeReporter signals wakeup unless a signal is already buffered.
func (t *Table) wakeReporter() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// rebuild recomputes the placement of the services and publishes a view. The caller
// holds mu.
func (t *Table) rebuild(now time.Time) {
	old := t.View()
	v := *old
	v.Self = t.ownVM()
	v.Live = t.liveVMs(now)
	v.placement = t.placeServices(now, v.Live)
	if !v.placement.Equal(old.placement) {
		v.PlacementGeneration++
	}
	v.Carried = v.placement.CarriedBy(t.self.ID)
	slices.Sort(v.Carried)
	t.updateWindDown(old.Carried, v.Carried, now)
	v.windDownUntil = maps.Clone(t.windDownUntil)
	t.publish(&v, now)
}

// ownVM returns this daemon's VM. It is leaving if the daemon leaves or if the VM
// list says so.
func (t *Table) ownVM() fleet.VM {
	vm := t.self
	vm.Leaving = t.leaving || t.listed[vm.ID].Leaving
	return vm
}

// liveVMs returns all VMs that are listed or heard, sorted by id.
func (t *Table) liveVMs(now time.Time) []fleet.VM {
	vms := make([]fleet.VM, 0, len(t.listed)+1)
	vms = append(vms, t.ownVM())
	for id, vm := range t.listed {
		if id != t.self.ID {
			vms = append(vms, t.mergeReported(vm))
		}
	}
	for id, r := range t.peerStates {
		r.liveWhileHeard = false
		if _, ok := t.listed[id]; !ok && r.hasVM && isRecent(r.heardAt, now) {
			r.liveWhileHeard = true
			vms = append(vms, t.mergeReported(r.vm))
		}
	}
	slices.SortFunc(vms, compareVMID)
	return vms
}

// mergeReported returns vm, or the newer description in its peer state if there is
// one. The VM is leaving if either the VM list or its last report says so.
func (t *Table) mergeReported(vm fleet.VM) fleet.VM {
	r, ok := t.peerStates[vm.ID]
	if !ok {
		return vm
	}
	leaving := vm.Leaving || r.leaving
	if r.hasVM {
		vm = r.vm
	}
	vm.Leaving = leaving
	return vm
}

// placeServices computes the placement. All daemons must compute the same one, but
// only the co-carriers of a VM know whether it is heard. Therefore VMs that were
// removed from the list are left out even if they are still heard, and VMs that are
// unheard remain until they are removed from the list.
func (t *Table) placeServices(now time.Time, live []fleet.VM) *place.Placement {
	if !t.vmsKnown {
		return t.plan.Place(place.NewTopology(nil))
	}
	placeable := make([]fleet.VM, 0, len(live))
	for _, vm := range live {
		if _, gone := t.removedAt[vm.ID]; !gone || vm.ID == t.self.ID {
			placeable = append(placeable, vm)
		}
	}
	return t.plan.Place(place.NewTopology(placeable))
}

// updateWindDown starts the wind-down of services that this daemon no longer
// carries, and ends it for services that it carries again or that are removed, and
// when its time is over.
func (t *Table) updateWindDown(before, after []fleet.ServiceID, now time.Time) {
	for _, id := range before {
		if ttl, ok := t.addressTTL[id]; ok && !slices.Contains(after, id) {
			t.windDownUntil[id] = now.Add(ttl + WindDownMargin)
		}
	}
	maps.DeleteFunc(t.windDownUntil, func(id fleet.ServiceID, until time.Time) bool {
		_, ok := t.addressTTL[id]
		return !ok || !now.Before(until) || slices.Contains(after, id)
	})
}

// publish fills in the peers and stores the view. The caller holds mu.
func (t *Table) publish(v *View, now time.Time) {
	v.VMsKnown, v.Superseded = t.vmsKnown, t.superseded
	v.ListVersion, v.ListReadAt = t.listVersion, t.listReadAt
	t.updateCoCarriers(v, now)
	v.Peers = make([]Peer, 0, len(t.peerStates))
	for id, r := range t.peerStates {
		if r.coCarrier || isRecent(r.heardAt, now) {
			_, listed := t.listed[id]
			v.Peers = append(v.Peers, r.toPeer(listed, t.vm(id)))
		}
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int { return compareVMID(a.VM, b.VM) })
	t.view.Store(v)
}

// vm returns the description of a VM, which must be listed or have a peer state.
func (t *Table) vm(id fleet.VMID) fleet.VM {
	vm, ok := t.listed[id]
	if !ok {
		vm = t.peerStates[id].vm
		vm.ID = id
	}
	return t.mergeReported(vm)
}

// republish publishes a view with new peers but the same placement. The caller
// holds mu.
func (t *Table) republish(now time.Time) {
	v := *t.View()
	t.publish(&v, now)
}

// updateCoCarriers marks the states of the co-carriers. New ones get a grace period.
func (t *Table) updateCoCarriers(v *View, now time.Time) {
	coCarriers := make(map[fleet.VMID]bool)
	for _, id := range t.activeServices(v) {
		for _, c := range v.Carriers(id) {
			coCarriers[c.ID] = true
		}
	}
	delete(coCarriers, t.self.ID)
	for id, r := range t.peerStates {
		if !coCarriers[id] {
			r.coCarrier = false
		}
	}
	for id := range coCarriers {
		r := t.peerState(id)
		if !r.coCarrier {
			r.coCarrier, r.graceUntil = true, now.Add(HeartbeatTimeout)
		}
	}
}

// activeServices returns the services that this daemon carries or winds down, sorted.
// The caller holds mu.
func (t *Table) activeServices(v *View) []fleet.ServiceID {
	ids := slices.Clone(v.Carried)
	for id := range t.windDownUntil {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
