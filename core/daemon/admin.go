package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stats"
)

// newAdmin serves metrics, without a token, and the administration API.
func newAdmin(s *config.Settings, p Platform, c *inner.Client, e *engine, set *stats.Registry, dump *stats.StateDump, l log.Logger) (http.Handler, error) {
	registerGauges(set, e)
	r := mux.NewRouter()
	r.Handle("/metrics", set).Methods(http.MethodGet)
	err := admin.Mount(r, admin.Deps{
		VM:        s.VM,
		Operators: s.Operators,
		Changelog: settle.NewChangelog(p.Table, settle.WithObjects(p.Objects)),
		Applied:   func() *settle.AppliedRevision { return e.follower.Current() },
		LiveVMs:   func() []fleet.VM { return e.members.View().Live },
		Carriers:  e.carriersOf,
		Addresses: func(id fleet.ServiceID, dc fleet.DataCentre, caller string) any { return e.addresses(id, dc, caller) },
		Targets:   e.adminTargets,
		Eject:     e.eject,
		Return:    e.giveBack,
		State:     dump.Read,
		PeerState: func(ctx context.Context, vm fleet.VM, part string) (*inner.StateReplyMsg, error) {
			return c.State(ctx, inner.Peer{VM: vm.ID, Address: vm.PeerAddress}, &inner.StateRequestMsg{Part: part})
		},
		Logger: l,
	})
	return r, err
}

// carriersOf returns the carriers of a service, also those that are not heard.
func (e *engine) carriersOf(id fleet.ServiceID) []fleet.VM {
	var out []fleet.VM
	for _, vm := range e.members.View().Carriers(id) {
		out = append(out, *vm)
	}
	return out
}

func (e *engine) adminTargets(id fleet.ServiceID) ([]admin.Target, bool) {
	w, ok := e.watch(id)
	if !ok {
		return nil, false
	}
	suspects := w.evidence.Suspects()
	inFlight := map[fleet.TargetID]int{}
	for _, load := range w.carrier.Limiter().MeanLoads() {
		inFlight[load.Target] = int(load.InFlight)
	}
	out := []admin.Target{}
	for _, t := range w.targetStates() {
		out = append(out, admin.Target{
			Target: t.Target, DataCentre: t.DataCentre, Health: health(t, suspects), State: t.State, Weight: t.Weight,
			InFlight: inFlight[t.Target], Reason: t.Reason, Since: t.Since,
		})
	}
	return out, true
}

// health returns what the evidence says of a target. No work reaches one that
// is ejected or leaving, so nothing is known of it.
func health(t targetState, suspects map[fleet.TargetID]bool) string {
	switch {
	case t.State == detect.Ejected.String() || t.State == detect.Leaving.String():
		return admin.HealthUnknown
	case suspects[t.Target]:
		return admin.HealthSuspect
	}
	return admin.HealthGood
}

func (e *engine) eject(ctx context.Context, o admin.TargetAction) error {
	w, ok := e.watch(o.Service)
	if !ok {
		return fault.New(fault.NotCarried, "service %s", o.Service)
	}
	return w.ejector.EjectByHand(ctx, o.Target, o.Operator, o.Reason)
}

func (e *engine) giveBack(ctx context.Context, o admin.TargetAction) error {
	w, ok := e.watch(o.Service)
	if !ok {
		return fault.New(fault.NotCarried, "service %s", o.Service)
	}
	return w.ejector.ReturnByHand(ctx, o.Target, o.Operator, o.Reason)
}

// registerGauges adds the metrics that alarms are built on.
func registerGauges(set *stats.Registry, e *engine) {
	set.Gauge("wisteria_ready", func() int64 { return flagValue(e.isReady()) })
	set.Gauge("wisteria_leaving", func() int64 { return flagValue(e.leaving.Load()) })
	set.Gauge("wisteria_settings_head_age_seconds", e.headAge)
	set.Gauge("wisteria_services_carried", func() int64 { return int64(len(*e.watches.Load())) })
	for state := detect.Ready; state <= detect.Leaving; state++ {
		set.Gauge(stats.Label("wisteria_targets", "state", state.String()), func() int64 { return e.countTargets(state) })
	}
}

func flagValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// headAge returns the seconds since the head row was read; -1 if it never was.
func (e *engine) headAge() int64 {
	read := e.follower.State().HeadReadAt
	if read.IsZero() {
		return -1
	}
	return int64(time.Since(read).Seconds())
}

// countTargets returns the number of targets in a state, over the carried services.
func (e *engine) countTargets(state detect.State) int64 {
	n := int64(0)
	for _, w := range *e.watches.Load() {
		for _, s := range *w.states.Load() {
			if s.State == state {
				n++
			}
		}
	}
	return n
}
