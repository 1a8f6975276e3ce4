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

// newAdmin returns the handler of the administration port. It serves the
// administration API, and the metrics without a token.
func newAdmin(s *config.Settings, p Platform, c *inner.Client, sc *serviceController, set *stats.Registry, dump *stats.StateDump, l log.Logger) (http.Handler, error) {
	registerGauges(set, sc)
	r := mux.NewRouter()
	r.Handle("/metrics", set).Methods(http.MethodGet)
	err := admin.Mount(r, admin.Deps{
		VM:        s.VM,
		Operators: s.Operators,
		Changelog: settle.NewChangelog(p.Table, settle.WithObjects(p.Objects)),
		Applied:   func() *settle.AppliedRevision { return sc.follower.Current() },
		LiveVMs:   func() []fleet.VM { return sc.members.View().Live },
		Carriers:  sc.carriersOf,
		Addresses: func(id fleet.ServiceID, dc fleet.DataCentre, caller string) any { return sc.addresses(id, dc, caller) },
		Targets:   sc.adminTargets,
		Eject:     sc.ejectTarget,
		Return:    sc.returnTarget,
		State:     dump.Read,
		PeerState: func(ctx context.Context, vm fleet.VM, part string) (*inner.StateReplyMsg, error) {
			return c.State(ctx, inner.Peer{VM: vm.ID, Address: vm.PeerAddress}, &inner.StateRequestMsg{Part: part})
		},
		Logger: l,
	})
	return r, err
}

// carriersOf returns the carriers of a service, including those that this daemon
// does not hear.
func (sc *serviceController) carriersOf(id fleet.ServiceID) []fleet.VM {
	var out []fleet.VM
	for _, vm := range sc.members.View().Carriers(id) {
		out = append(out, *vm)
	}
	return out
}

// adminTargets returns the targets of a carried service for the administration API.
func (sc *serviceController) adminTargets(id fleet.ServiceID) ([]admin.Target, bool) {
	cs, ok := sc.findCarried(id)
	if !ok {
		return nil, false
	}
	suspects := cs.evidence.Suspects()
	inFlight := map[fleet.TargetID]int{}
	for _, load := range cs.carrier.Limiter().MeanLoads() {
		inFlight[load.Target] = int(load.InFlight)
	}
	out := []admin.Target{}
	for _, t := range cs.targetDumps() {
		out = append(out, admin.Target{
			Target: t.Target, DataCentre: t.DataCentre, Health: targetHealth(t, suspects), State: t.State, Weight: t.Weight,
			InFlight: inFlight[t.Target], Reason: t.Reason, Since: t.Since,
		})
	}
	return out, true
}

// targetHealth returns the health of a target according to the evidence. An ejected
// or leaving target receives no requests, so its health is unknown.
func targetHealth(t targetDump, suspects map[fleet.TargetID]bool) string {
	switch {
	case t.State == detect.Ejected.String() || t.State == detect.Leaving.String():
		return admin.HealthUnknown
	case suspects[t.Target]:
		return admin.HealthSuspect
	}
	return admin.HealthGood
}

func (sc *serviceController) ejectTarget(ctx context.Context, o admin.TargetAction) error {
	cs, ok := sc.findCarried(o.Service)
	if !ok {
		return fault.New(fault.NotCarried, "service %s", o.Service)
	}
	return cs.ejector.EjectByHand(ctx, o.Target, o.Operator, o.Reason)
}

func (sc *serviceController) returnTarget(ctx context.Context, o admin.TargetAction) error {
	cs, ok := sc.findCarried(o.Service)
	if !ok {
		return fault.New(fault.NotCarried, "service %s", o.Service)
	}
	return cs.ejector.ReturnByHand(ctx, o.Target, o.Operator, o.Reason)
}

// registerGauges adds the gauges that alerts are based on.
func registerGauges(set *stats.Registry, sc *serviceController) {
	set.Gauge("wisteria_ready", func() int64 { return boolToInt(sc.isReady()) })
	set.Gauge("wisteria_leaving", func() int64 { return boolToInt(sc.leaving.Load()) })
	set.Gauge("wisteria_settings_head_age_seconds", sc.headAge)
	set.Gauge("wisteria_services_carried", func() int64 { return int64(len(*sc.carried.Load())) })
	for state := detect.Ready; state <= detect.Leaving; state++ {
		set.Gauge(stats.Label("wisteria_targets", "state", state.String()), func() int64 { return sc.countTargets(state) })
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// headAge returns the seconds since the head row was last read, or -1 if it never
// was.
func (sc *serviceController) headAge() int64 {
	read := sc.follower.State().HeadReadAt
	if read.IsZero() {
		return -1
	}
	return int64(time.Since(read).Seconds())
}

// countTargets returns the number of targets in a state over all carried services.
func (sc *serviceController) countTargets(state detect.State) int64 {
	n := int64(0)
	for _, cs := range *sc.carried.Load() {
		for _, s := range *cs.states.Load() {
			if s.State == state {
				n++
			}
		}
	}
	return n
}
