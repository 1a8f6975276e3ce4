package daemon

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/member"
	"wisteriarelay.example/core/place"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/settle"
)

// reconcileInterval is the time between two reconciliations. A change of the
// settings triggers one at once.
const reconcileInterval = 250 * time.Millisecond

// serviceController keeps one carriedService for each service that this daemon
// carries or winds down, and reconciles them with settings and membership.
type serviceController struct {
	deps         serviceDeps
	tasks        *taskGroup
	follower     *settle.Follower
	members      *member.Table
	logger       log.Logger
	carried      atomic.Pointer[map[fleet.ServiceID]*carriedService]
	leaving      atomic.Bool
	reconcileNow chan struct{}
	// applied, generation and windingDown are the inputs of the last reconciliation.
	applied     *settle.AppliedRevision
	generation  uint64
	windingDown []fleet.ServiceID
}

func newControllerWithDeps(deps serviceDeps, tasks *taskGroup, logger log.Logger) *serviceController {
	sc := &serviceController{deps: deps, tasks: tasks, logger: logger, reconcileNow: make(chan struct{}, 1)}
	sc.deps.reportNow = func(id fleet.ServiceID) { sc.members.ReportNow(id) }
	sc.carried.Store(&map[fleet.ServiceID]*carriedService{})
	return sc
}

// onApplied is called by the follower with each revision that comes into force.
func (sc *serviceController) onApplied(a *settle.AppliedRevision) {
	_ = level.Info(sc.logger).Log("msg", "settings applied", "revision", a.Revision, "services", len(a.Catalog.Services()))
	select {
	case sc.reconcileNow <- struct{}{}:
	default:
	}
}

func (sc *serviceController) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			sc.closeCarried()
			return
		case <-sc.reconcileNow:
		case <-ticker.C:
		}
		sc.reconcile(ctx, time.Now())
	}
}

func (sc *serviceController) closeCarried() {
	for _, cs := range *sc.carried.Load() {
		cs.close()
	}
	sc.carried.Store(&map[fleet.ServiceID]*carriedService{})
}

// reconcile creates, updates and closes the carried services, if the settings or
// the membership have changed.
func (sc *serviceController) reconcile(ctx context.Context, now time.Time) {
	applied := sc.follower.Current()
	if applied == nil {
		return
	}
	if applied != sc.applied {
		sc.members.SetServices(applied.Catalog.Services())
	}
	view := sc.members.View()
	sc.tasks.liveDaemons.Store(int64(len(view.Live)))
	windingDown := view.WindingDown(now)
	if applied == sc.applied && view.PlacementGeneration == sc.generation && slices.Equal(windingDown, sc.windingDown) {
		return
	}
	sc.applied, sc.generation, sc.windingDown = applied, view.PlacementGeneration, windingDown
	sc.replaceCarried(ctx, applied, view, slices.Concat(view.Carried, windingDown))
}

func (sc *serviceController) replaceCarried(ctx context.Context, applied *settle.AppliedRevision, view *member.View, wanted []fleet.ServiceID) {
	old := *sc.carried.Load()
	next := make(map[fleet.ServiceID]*carriedService, len(wanted))
	for _, id := range wanted {
		service, ok := applied.Catalog.Service(id)
		if !ok {
			continue
		}
		cs, exists := old[id]
		if !exists {
			cs = newCarriedService(sc.deps, service)
			cs.update(service, view.Carriers(id))
			cs.start(ctx)
			_ = level.Info(sc.logger).Log("msg", "service carried", "service", id)
		} else {
			cs.update(service, view.Carriers(id))
		}
		next[id] = cs
	}
	sc.carried.Store(&next)
	for id, cs := range old {
		if _, kept := next[id]; !kept {
			_ = level.Info(sc.logger).Log("msg", "service no longer carried", "service", id)
			cs.close()
		}
	}
}

func (sc *serviceController) findCarried(id fleet.ServiceID) (*carriedService, bool) {
	cs, ok := (*sc.carried.Load())[id]
	return cs, ok
}

// collectReport implements member.Hooks.Collect.
func (sc *serviceController) collectReport(id fleet.ServiceID) inner.ServiceReport {
	cs, ok := sc.findCarried(id)
	if !ok {
		return inner.ServiceReport{Service: id}
	}
	return cs.collectReport()
}

// deliverReport implements member.Hooks.Deliver.
func (sc *serviceController) deliverReport(id fleet.ServiceID, from member.Sender, r *inner.ServiceReport) {
	cs, ok := sc.findCarried(id)
	if !ok {
		return
	}
	if err := cs.deliverReport(from.Incarnation.VM(), from.DataCentre, r, time.Now()); err != nil {
		_ = level.Warn(sc.logger).Log("msg", "report from peer rejected", "service", id, "from", from.Incarnation, "detail", err)
	}
}

// hasUrgentEvidence reports whether the service's next report is due early, since
// it has evidence about a suspect target.
func (sc *serviceController) hasUrgentEvidence(id fleet.ServiceID) bool {
	cs, ok := sc.findCarried(id)
	return ok && cs.hasUrgentEvidence()
}

// isReady reports whether the daemon has settings and knows the fleet. A daemon
// that is shutting down, or whose VM id belongs to a newer incarnation, is not
// ready, so that its address is no longer given to callers.
func (sc *serviceController) isReady() bool {
	view := sc.members.View()
	return sc.follower.Current() != nil && view.VMsKnown && !view.Superseded && !sc.leaving.Load()
}

// onPeerRevision tells the follower which settings revision a peer holds.
func (sc *serviceController) onPeerRevision(_ fleet.VMID, revision uint64) {
	sc.follower.ObservePeerRevision(settle.Revision(revision))
}

func (sc *serviceController) revision() uint64 {
	if a := sc.follower.Current(); a != nil {
		return uint64(a.Revision)
	}
	return 0
}

// relayFleet returns the functions through which the request path reads the fleet.
func (sc *serviceController) relayFleet() proxy.FleetView {
	return proxy.FleetView{
		Upstream:     sc.carrier,
		Service:      sc.service,
		HasWorkspace: sc.hasWorkspace,
		Addresses:    sc.addresses,
		Ready:        sc.isReady,
		Leaving:      sc.leaving.Load,
	}
}

func (sc *serviceController) carrier(id fleet.ServiceID) (*proxy.Upstream, bool) {
	cs, ok := sc.findCarried(id)
	if !ok {
		return nil, false
	}
	return cs.carrier, true
}

func (sc *serviceController) service(id fleet.ServiceID) (*fleet.Service, bool) {
	a := sc.follower.Current()
	if a == nil {
		return nil, false
	}
	return a.Catalog.Service(id)
}

func (sc *serviceController) hasWorkspace(id fleet.WorkspaceID) bool {
	a := sc.follower.Current()
	return a != nil && a.Catalog.HasWorkspace(id)
}

// addresses returns the carriers of a service in the order in which the caller
// is to try them.
func (sc *serviceController) addresses(id fleet.ServiceID, dc fleet.DataCentre, caller string) proxy.AddressList {
	list := proxy.AddressList{Service: id, Addresses: []proxy.Address{}}
	service, ok := sc.service(id)
	if !ok {
		return list
	}
	list.TTLSeconds = int(service.Policy.AddressTTL.Seconds())
	for _, vm := range sc.members.View().Addresses(id, place.Caller{DataCentre: dc, Key: caller}, time.Now()) {
		list.Addresses = append(list.Addresses, proxy.Address{VM: vm.ID, DataCentre: vm.DataCentre, Address: vm.CallerAddress})
	}
	return list
}

// maxAddressTTL returns the longest address lifetime of the carried services. A
// caller may keep this daemon's address for that time.
func (sc *serviceController) maxAddressTTL() time.Duration {
	longest := time.Duration(0)
	for cs := range maps.Values(*sc.carried.Load()) {
		longest = max(longest, cs.service.Load().Policy.AddressTTL)
	}
	return longest
}

// longestDeadline returns the longest deadline of the routes of the carried services.
func (sc *serviceController) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for cs := range maps.Values(*sc.carried.Load()) {
		for _, route := range cs.service.Load().Routes {
			longest = max(longest, route.Deadline)
		}
	}
	return longest
}

func (sc *serviceController) dump() any {
	out := make(map[fleet.ServiceID]serviceDump)
	for id, cs := range *sc.carried.Load() {
		out[id] = cs.dump()
	}
	return out
}
