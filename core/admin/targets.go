package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

func (a *api) addresses(r *http.Request) (any, error) {
	id := fleet.ServiceID(mux.Vars(r)["service"])
	if len(a.Carriers(id)) == 0 {
		return nil, fault.New(fault.UnknownService, "service %q", id)
	}
	q := r.URL.Query()
	return a.Addresses(id, fleet.DataCentre(q.Get("data-centre")), q.Get("caller")), nil
}

func (a *api) targets(r *http.Request) (any, error) {
	id := fleet.ServiceID(mux.Vars(r)["service"])
	list, ok := a.Targets(id)
	if !ok {
		return nil, a.notCarried(id)
	}
	return TargetsReply{Service: id, VM: a.VM, Targets: list}, nil
}

// notCarried names the carriers of a service that this daemon does not carry.
func (a *api) notCarried(id fleet.ServiceID) error {
	carriers := []Carrier{}
	for _, vm := range a.Carriers(id) {
		carriers = append(carriers, Carrier{VM: vm.ID, Admin: vm.AdminAddress})
	}
	if len(carriers) == 0 {
		return fault.New(fault.UnknownService, "service %q", id)
	}
	return &about{cause: fault.New(fault.NotCarried, "daemon %s does not carry service %s", a.VM, id), carriers: carriers}
}

func (a *api) eject(r *http.Request) (any, error) {
	return a.byHand(r, "eject", a.Eject)
}

func (a *api) giveBack(r *http.Request) (any, error) {
	return a.byHand(r, "return", a.Return)
}

func (a *api) byHand(r *http.Request, action string, act func(context.Context, HandOrder) error) (any, error) {
	var body ReasonBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	vars := mux.Vars(r)
	o := HandOrder{
		Service: fleet.ServiceID(vars["service"]), Target: fleet.TargetID(vars["target"]),
		Operator: callOf(r).operator, Reason: body.Reason,
	}
	if _, ok := a.Targets(o.Service); !ok {
		return nil, a.notCarried(o.Service)
	}
	err := act(r.Context(), o)
	a.record(r, action, "", err, "service", o.Service, "target", o.Target, "reason", o.Reason)
	if err != nil {
		return nil, &about{cause: err, askAgain: "GET /v1/services/" + string(o.Service) + "/targets"}
	}
	return HandReply{Service: o.Service, Target: o.Target, Action: action, Operator: o.Operator}, nil
}

func (a *api) drain(r *http.Request) (any, error) {
	return a.setDrained(r, true)
}

func (a *api) undrain(r *http.Request) (any, error) {
	return a.setDrained(r, false)
}

// drainTries bounds how often a drain is written anew after it lost to another change.
const drainTries = 3

// setDrained proposes and commits a change of the service's list of drained
// targets. The list is one value, so a change that lost is withdrawn and
// written anew: a rebase would undo another drain.
func (a *api) setDrained(r *http.Request, drained bool) (any, error) {
	var body ReasonBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	action := "undrain"
	if drained {
		action = "drain"
	}
	for try := 1; ; try++ {
		reply, id, err := a.tryDrain(r, drained, body.Reason)
		if id != "" || err != nil {
			a.record(r, action, id, err, "service", mux.Vars(r)["service"], "target", mux.Vars(r)["target"])
		}
		if try == drainTries || !fault.Is(err, fault.SettingsConflict) {
			return reply, err
		}
		if _, err := a.Changelog.Withdraw(r.Context(), id, callOf(r).operator); err != nil {
			return nil, &about{cause: err, change: id, askAgain: "GET /v1/changes/" + id}
		}
	}
}

func (a *api) tryDrain(r *http.Request, drained bool, note string) (reply any, id string, err error) {
	ctx := r.Context()
	revision, doc, err := a.Changelog.Head(ctx)
	if err != nil {
		return nil, "", err
	}
	vars := mux.Vars(r)
	op, changed, err := drainOp(doc, fleet.ServiceID(vars["service"]), fleet.TargetID(vars["target"]), drained)
	if err != nil {
		return nil, "", err
	}
	if !changed {
		return CommitReply{Outcome: Unchanged, Revision: revision}, "", nil
	}
	id = newID()
	p := settle.Proposal{ID: id, Base: revision, Ops: []tree.Op{op}, Author: callOf(r).operator, Note: note}
	if _, err := a.Changelog.Propose(ctx, p); err != nil {
		return nil, id, &about{cause: err, change: id, askAgain: "GET /v1/changes/" + id}
	}
	revision, err = a.Changelog.Commit(ctx, id)
	if fault.Is(err, fault.SettingsUnsettled) {
		return CommitReply{Change: id, Outcome: AwaitsApproval, Detail: fault.From(err).Detail}, id, nil
	}
	reply, err = committed(id, revision, err)
	return reply, id, err
}

// drainOp returns the op that drains a target or ends its drain.
func drainOp(doc *tree.Document, id fleet.ServiceID, target fleet.TargetID, drained bool) (op tree.Op, changed bool, err error) {
	catalog, err := doc.Catalog()
	if err != nil {
		return op, false, err
	}
	service, ok := catalog.Service(id)
	if !ok {
		return op, false, fault.New(fault.UnknownService, "service %q", id)
	}
	if !slices.ContainsFunc(service.Targets, func(t fleet.Target) bool { return t.ID == target }) {
		return op, false, fault.New(fault.NotFound, "service %s has no target %s", id, target)
	}
	path := tree.ServicePath(service.Workspace, id)
	value, _, err := doc.Effective(path, "drained")
	if err != nil {
		return op, false, err
	}
	list := []fleet.TargetID{}
	if err := json.Unmarshal(value.Raw, &list); err != nil {
		return op, false, fault.Wrap(err, fault.SettingsInvalid, "%s drained", path)
	}
	if slices.Contains(list, target) == drained {
		return op, false, nil
	}
	if drained {
		list = append(list, target)
	} else {
		list = slices.DeleteFunc(list, func(t fleet.TargetID) bool { return t == target })
	}
	return tree.Set(path, "drained", list), true, nil
}
