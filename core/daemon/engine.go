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

// engineTick is how often the carried services are compared with settings and
// membership, beside the times when the settings change.
const engineTick = 250 * time.Millisecond

// engine keeps one watch for each service that this daemon carries or winds
// down, in step with settings and membership.
type engine struct {
	parts    watchParts
	shared   *background
	follower *settle.Follower
	members  *member.Table
	logger   log.Logger
	watches  atomic.Pointer[map[fleet.ServiceID]*watch]
	leaving  atomic.Bool
	wake     chan struct{}
	// applied and generation are what the watches were last brought in step with.
	applied    *settle.AppliedRevision
	generation uint64
	winding    []fleet.ServiceID
}

func newEngineWith(parts watchParts, shared *background, logger log.Logger) *engine {
	e := &engine{parts: parts, shared: shared, logger: logger, wake: make(chan struct{}, 1)}
	e.parts.reportNow = func(id fleet.ServiceID) { e.members.ReportNow(id) }
	e.watches.Store(&map[fleet.ServiceID]*watch{})
	return e
}

// onApplied is told by the follower of a new revision.
func (e *engine) onApplied(a *settle.AppliedRevision) {
	_ = level.Info(e.logger).Log("msg", "settings applied", "revision", a.Revision, "services", len(a.Catalog.Services()))
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *engine) run(ctx context.Context) {
	ticker := time.NewTicker(engineTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.closeAll()
			return
		case <-e.wake:
		case <-ticker.C:
		}
		e.sync(ctx, time.Now())
	}
}

func (e *engine) closeAll() {
	for _, w := range *e.watches.Load() {
		w.close()
	}
	e.watches.Store(&map[fleet.ServiceID]*watch{})
}

// sync starts, renews and ends watches.
func (e *engine) sync(ctx context.Context, now time.Time) {
	applied := e.follower.Current()
	if applied == nil {
		return
	}
	if applied != e.applied {
		e.members.SetServices(applied.Catalog.Services())
	}
	view := e.members.View()
	e.shared.daemons.Store(int64(len(view.Live)))
	winding := view.WindingDown(now)
	if applied == e.applied && view.PlacementGeneration == e.generation && slices.Equal(winding, e.winding) {
		return
	}
	e.applied, e.generation, e.winding = applied, view.PlacementGeneration, winding
	e.replace(ctx, applied, view, slices.Concat(view.Carried, winding))
}

func (e *engine) replace(ctx context.Context, applied *settle.AppliedRevision, view *member.View, wanted []fleet.ServiceID) {
	old := *e.watches.Load()
	next := make(map[fleet.ServiceID]*watch, len(wanted))
	for _, id := range wanted {
		service, ok := applied.Catalog.Service(id)
		if !ok {
			continue
		}
		w, carried := old[id]
		if !carried {
			w = newWatch(e.parts, service)
			w.update(service, view.Carriers(id))
			w.start(ctx)
			_ = level.Info(e.logger).Log("msg", "service carried", "service", id)
		} else {
			w.update(service, view.Carriers(id))
		}
		next[id] = w
	}
	e.watches.Store(&next)
	for id, w := range old {
		if _, kept := next[id]; !kept {
			_ = level.Info(e.logger).Log("msg", "service no longer carried", "service", id)
			w.close()
		}
	}
}

func (e *engine) watch(id fleet.ServiceID) (*watch, bool) {
	w, ok := (*e.watches.Load())[id]
	return w, ok
}

// collect answers the membership's question what to report of a service.
func (e *engine) collect(id fleet.ServiceID) inner.ServiceReport {
	w, ok := e.watch(id)
	if !ok {
		return inner.ServiceReport{Service: id}
	}
	return w.collect()
}

func (e *engine) deliver(id fleet.ServiceID, from member.Sender, r *inner.ServiceReport) {
	w, ok := e.watch(id)
	if !ok {
		return
	}
	if err := w.deliver(from.Incarnation.VM(), from.DataCentre, r, time.Now()); err != nil {
		_ = level.Warn(e.logger).Log("msg", "report refused", "service", id, "from", from.Incarnation, "detail", err)
	}
}

func (e *engine) isSuspect(id fleet.ServiceID) bool {
	w, ok := e.watch(id)
	return ok && w.hasNews()
}

// isReady reports whether the daemon has settings and knows the fleet. A daemon
// whose VM id belongs to a newer incarnation is no longer handed out.
func (e *engine) isReady() bool {
	view := e.members.View()
	return e.follower.Current() != nil && view.VMsKnown && !view.Superseded && !e.leaving.Load()
}

// hear takes the settings revision that a peer states.
func (e *engine) hear(_ fleet.VMID, revision uint64) {
	e.follower.ObservePeerRevision(settle.Revision(revision))
}

func (e *engine) revision() uint64 {
	if a := e.follower.Current(); a != nil {
		return uint64(a.Revision)
	}
	return 0
}

// view returns what the request path reads.
func (e *engine) view() proxy.FleetView {
	return proxy.FleetView{
		Upstream:     e.carrier,
		Service:      e.service,
		HasWorkspace: e.hasWorkspace,
		Addresses:    e.addresses,
		Ready:        e.isReady,
		Leaving:      e.leaving.Load,
	}
}

func (e *engine) carrier(id fleet.ServiceID) (*proxy.Upstream, bool) {
	w, ok := e.watch(id)
	if !ok {
		return nil, false
	}
	return w.carrier, true
}

func (e *engine) service(id fleet.ServiceID) (*fleet.Service, bool) {
	a := e.follower.Current()
	if a == nil {
		return nil, false
	}
	return a.Catalog.Service(id)
}

func (e *engine) hasWorkspace(id fleet.WorkspaceID) bool {
	a := e.follower.Current()
	return a != nil && a.Catalog.HasWorkspace(id)
}

// addresses returns the carriers of a service in the order in which the caller
// is to try them.
func (e *engine) addresses(id fleet.ServiceID, dc fleet.DataCentre, caller string) proxy.AddressList {
	list := proxy.AddressList{Service: id, Addresses: []proxy.Address{}}
	service, ok := e.service(id)
	if !ok {
		return list
	}
	list.TTLSeconds = int(service.Policy.AddressTTL.Seconds())
	for _, vm := range e.members.View().Addresses(id, place.Caller{DataCentre: dc, Key: caller}, time.Now()) {
		list.Addresses = append(list.Addresses, proxy.Address{VM: vm.ID, DataCentre: vm.DataCentre, Address: vm.CallerAddress})
	}
	return list
}

// longestTTL is the time for which a caller may still hold this daemon's address.
func (e *engine) longestTTL() time.Duration {
	longest := time.Duration(0)
	for w := range maps.Values(*e.watches.Load()) {
		longest = max(longest, w.service.Load().Policy.AddressTTL)
	}
	return longest
}

func (e *engine) state() any {
	out := make(map[fleet.ServiceID]serviceState)
	for id, w := range *e.watches.Load() {
		out[id] = w.state()
	}
	return out
}
