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

// Table is the membership as one daemon sees it.
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
	// wakeup wakes the sender; it holds at most one signal.
	wakeup chan struct{}

	mu          sync.Mutex
	known       bool
	superseded  bool
	leaving     bool
	listVersion uint64
	listReadAt  time.Time
	// listed is the VM list; gone holds the VMs that it dropped, with the time.
	listed  map[fleet.VMID]fleet.VM
	gone    map[fleet.VMID]time.Time
	records map[fleet.VMID]*record
	plan    *place.Plan
	ttl     map[fleet.ServiceID]time.Duration
	winding map[fleet.ServiceID]time.Time
	urgent  map[fleet.ServiceID]bool
	// leaveNotice says that all peers are to be told at once that this daemon leaves.
	leaveNotice bool
}

// New returns a table for the daemon on the VM; Run starts it.
func New(self fleet.VM, incarnation fleet.Incarnation, hooks Hooks, opts ...Option) *Table {
	t := &Table{
		self:        self,
		incarnation: incarnation,
		started:     uint64(time.Now().UnixMilli()),
		hooks:       hooks,
		log:         log.NewNopLogger(),
		seed:        incarnation.Run(),
		wakeup:      make(chan struct{}, 1),
		listed:      make(map[fleet.VMID]fleet.VM),
		gone:        make(map[fleet.VMID]time.Time),
		records:     make(map[fleet.VMID]*record),
		plan:        place.NewPlan(nil),
		ttl:         make(map[fleet.ServiceID]time.Duration),
		winding:     make(map[fleet.ServiceID]time.Time),
		urgent:      make(map[fleet.ServiceID]bool),
	}
	for _, o := range opts {
		o(t)
	}
	t.view.Store(&View{Self: self, Incarnation: incarnation, placed: t.plan.Place(place.NewMap(nil)), ready: hooks.IsReady})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild(time.Now())
	return t
}

// View returns the current snapshot.
func (t *Table) View() *View {
	return t.view.Load()
}

// Run polls the VM list and sends reports until ctx ends. It returns after the
// reports under way have ended.
func (t *Table) Run(ctx context.Context) {
	var running sync.WaitGroup
	if t.hooks.List.Since != nil {
		running.Add(1)
		p := newPoller(t, &running)
		go p.loop(ctx)
	}
	running.Add(1)
	s := newSender(t, &running)
	go s.loop(ctx)
	running.Wait()
}

// SetServices replaces the services that are placed on the VMs. A service that
// is no longer among them is dropped without winding down.
func (t *Table) SetServices(services []*fleet.Service) {
	demands := make([]place.Demand, len(services))
	ttl := make(map[fleet.ServiceID]time.Duration, len(services))
	for i, s := range services {
		demands[i] = place.Demand{Service: s.ID, Region: s.Region, Carriers: s.Policy.Carriers}
		ttl[s.ID] = s.Policy.AddressTTL
	}
	plan := place.NewPlan(demands)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan, t.ttl = plan, ttl
	t.rebuild(time.Now())
}

// Leave makes this daemon leave: it carries no service any more, winds down
// those that it carried, and tells its peers at once.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return
	}
	t.leaving, t.leaveNotice = true, true
	t.rebuild(time.Now())
	t.signal()
}

// ReportNow sends a report about the service at once, for example because a target
// starts to leave or the ejection list has changed.
func (t *Table) ReportNow(service fleet.ServiceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgent[service] = true
	t.signal()
}

func (t *Table) signal() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// rebuild places the services anew and publishes a view. The caller holds mu.
func (t *Table) rebuild(now time.Time) {
	old := t.View()
	v := *old
	v.Self = t.ownVM()
	v.Live = t.live(now)
	v.placed = t.placeAll(now, v.Live)
	if !v.placed.Equal(old.placed) {
		v.Generation++
	}
	v.Carried = v.placed.CarriedBy(t.self.ID)
	slices.Sort(v.Carried)
	t.windDown(old.Carried, v.Carried, now)
	v.winding = maps.Clone(t.winding)
	t.publish(&v, now)
}

// ownVM returns the own VM as the others see it.
func (t *Table) ownVM() fleet.VM {
	vm := t.self
	vm.Leaving = t.leaving || t.listed[vm.ID].Leaving
	return vm
}

// live returns all VMs that are listed or heard, sorted by id.
func (t *Table) live(now time.Time) []fleet.VM {
	vms := make([]fleet.VM, 0, len(t.listed)+1)
	vms = append(vms, t.ownVM())
	for id, vm := range t.listed {
		if id != t.self.ID {
			vms = append(vms, t.merge(vm))
		}
	}
	for id, r := range t.records {
		r.placed = false
		if _, ok := t.listed[id]; !ok && r.known && isRecent(r.heardAt, now) {
			r.placed = true
			vms = append(vms, t.merge(r.vm))
		}
	}
	slices.SortFunc(vms, compareID)
	return vms
}

// merge adds what the VM reports about itself to its entry.
func (t *Table) merge(vm fleet.VM) fleet.VM {
	r, ok := t.records[vm.ID]
	if !ok {
		return vm
	}
	leaving := vm.Leaving || r.leaving
	if r.known {
		vm = r.vm
	}
	vm.Leaving = leaving
	return vm
}

// placeAll leaves out VMs that the list dropped, although they may still be
// heard: only their co-carriers hear them, and all daemons must place alike.
// Peers that are unheard stay in for the same reason until the list drops them.
func (t *Table) placeAll(now time.Time, live []fleet.VM) *place.Table {
	if !t.known {
		return t.plan.Place(place.NewMap(nil))
	}
	placeable := make([]fleet.VM, 0, len(live))
	for _, vm := range live {
		if _, gone := t.gone[vm.ID]; !gone || vm.ID == t.self.ID {
			placeable = append(placeable, vm)
		}
	}
	return t.plan.Place(place.NewMap(placeable))
}

func (t *Table) windDown(before, after []fleet.ServiceID, now time.Time) {
	for _, id := range before {
		if ttl, ok := t.ttl[id]; ok && !slices.Contains(after, id) {
			t.winding[id] = now.Add(ttl + WindDownExtra)
		}
	}
	maps.DeleteFunc(t.winding, func(id fleet.ServiceID, until time.Time) bool {
		_, ok := t.ttl[id]
		return !ok || !now.Before(until) || slices.Contains(after, id)
	})
}

// publish fills in the peers and stores the view. The caller holds mu.
func (t *Table) publish(v *View, now time.Time) {
	v.Known, v.Superseded = t.known, t.superseded
	v.ListVersion, v.ListReadAt = t.listVersion, t.listReadAt
	t.expect(v, now)
	v.Peers = make([]Peer, 0, len(t.records))
	for id, r := range t.records {
		if r.expected || isRecent(r.heardAt, now) {
			_, listed := t.listed[id]
			v.Peers = append(v.Peers, r.peer(listed, t.vm(id)))
		}
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int { return compareID(a.VM, b.VM) })
	t.view.Store(v)
}

// vm returns what is known of a VM.
func (t *Table) vm(id fleet.VMID) fleet.VM {
	vm, ok := t.listed[id]
	if !ok {
		vm = t.records[id].vm
		vm.ID = id
	}
	return t.merge(vm)
}

// republish publishes the peers without placing the services anew.
func (t *Table) republish(now time.Time) {
	v := *t.View()
	t.publish(&v, now)
}

// expect marks the records of the co-carriers, whose reports are expected.
func (t *Table) expect(v *View, now time.Time) {
	expected := make(map[fleet.VMID]bool)
	for _, id := range t.active(v) {
		for _, c := range v.Carriers(id) {
			expected[c.ID] = true
		}
	}
	delete(expected, t.self.ID)
	for id, r := range t.records {
		if !expected[id] {
			r.expected = false
		}
	}
	for id := range expected {
		r := t.record(id)
		if !r.expected {
			r.expected, r.graceUntil = true, now.Add(UnheardAfter)
		}
	}
}

// active returns the services that this daemon carries or winds down.
func (t *Table) active(v *View) []fleet.ServiceID {
	ids := slices.Clone(v.Carried)
	for id := range t.winding {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
