package daemon

import (
	"context"
	"net/http"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stats"
)

// newAdmin serves metrics, without a token, and the administration API.
func newAdmin(s *config.Settings, p Platform, c *inner.Client, e *engine, set *stats.Set, dump *stats.Dump, l log.Logger) (http.Handler, error) {
	r := mux.NewRouter()
	r.Handle("/metrics", set).Methods(http.MethodGet)
	err := admin.Mount(r, admin.Deps{
		VM:        s.VM,
		Operators: s.Operators,
		Book:      settle.NewBook(p.Table, settle.WithObjects(p.Objects)),
		Applied:   func() *settle.Applied { return e.follower.Current() },
		Live:      func() []fleet.VM { return e.members.View().Live },
		Carriers:  e.carriersOf,
		Addresses: func(id fleet.ServiceID, dc fleet.DataCentre, caller string) any { return e.addresses(id, dc, caller) },
		Targets:   e.adminTargets,
		Eject:     e.eject,
		Return:    e.giveBack,
		State:     dump.Read,
		Ask: func(ctx context.Context, vm fleet.VM, part string) (*inner.StateReplyMsg, error) {
			return c.StateAsk(ctx, inner.Peer{VM: vm.ID, Address: vm.Inner}, &inner.StateAskMsg{What: part})
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
	for _, load := range w.carrier.Gate().InFlight() {
		inFlight[load.Target] = int(load.InFlight)
	}
	out := []admin.Target{}
	for _, t := range w.targetStates() {
		health := admin.HealthGood
		if suspects[t.Target] {
			health = admin.HealthSuspect
		}
		out = append(out, admin.Target{
			Target: t.Target, DataCentre: t.DataCentre, Health: health, State: t.State, Weight: t.Weight,
			InFlight: inFlight[t.Target], Reason: t.Reason, Since: t.Since,
		})
	}
	return out, true
}

func (e *engine) eject(ctx context.Context, o admin.HandOrder) error {
	w, ok := e.watch(o.Service)
	if !ok {
		return fault.New(fault.NotCarried, "service %s", o.Service)
	}
	return w.ejector.EjectByHand(ctx, o.Target, o.Operator, o.Reason)
}

func (e *engine) giveBack(ctx context.Context, o admin.HandOrder) error {
	w, ok := e.watch(o.Service)
	if !ok {
		return fault.New(fault.NotCarried, "service %s", o.Service)
	}
	return w.ejector.ReturnByHand(ctx, o.Target, o.Operator, o.Reason)
}
