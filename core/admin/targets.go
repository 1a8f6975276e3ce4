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

// notCarried returns the error for a service that this daemon does not carry. It
// lists the carriers, which the operator can use instead.
func (a *api) notCarried(id fleet.ServiceID) error {
	carriers := []Carrier{}
	for _, vm := range a.Carriers(id) {
		carriers = append(carriers, Carrier{VM: vm.ID, Admin: vm.AdminAddress})
	}
	if len(carriers) == 0 {
		return fault.New(fault.UnknownService, "service %q", id)
	}
	return &annotatedError{cause: fault.New(fault.NotCarried, "daemon %s does not carry service %s", a.VM, id), carriers: carriers}
}

func (a *api) eject(r *http.Request) (any, error) {
	return a.targetAction(r, "eject", a.Eject)
}

func (a *api) returnTarget(r *http.Request) (any, error) {
	return a.targetAction(r, "return", a.Return)
}

// targetAction ejects a target or returns it to service on behalf of an operator.
func (a *api) targetAction(r *http.Request, action string, apply func(context.Context, TargetAction) error) (any, error) {
	var body ReasonBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	vars := mux.Vars(r)
	req := TargetAction{
		Service: fleet.ServiceID(vars["service"]), Target: fleet.TargetID(vars["target"]),
		Operator: requestInfoOf(r).operator, Reason: body.Reason,
	}
	if _, ok := a.Targets(req.Service); !ok {
		return nil, a.notCarried(req.Service)
	}
	err := apply(r.Context(), req)
	a.logAction(r, action, "", err, "service", req.Service, "target", req.Target, "reason", req.Reason)
	if err != nil {
		return nil, &annotatedError{cause: err, followUp: "GET /v1/services/" + string(req.Service) + "/targets"}
	}
	return TargetActionReply{Service: req.Service, Target: req.Target, Action: action, Operator: req.Operator}, nil
}

func (a *api) drain(r *http.Request) (any, error) {
	return a.setDrained(r, true)
}

func (a *api) undrain(r *http.Request) (any, error) {
	return a.setDrained(r, false)
}

// maxDrainAttempts limits how often a drain is proposed while its commits conflict
// with other changes.
const maxDrainAttempts = 3

// setDrained proposes and commits a change to the service's list of drained
// targets. The list is a single value, so a rebase after a conflict would undo the
// other drain. A change that conflicts is therefore withdrawn and proposed again
// against the new head.
func (a *api) setDrained(r *http.Request, drained bool) (any, error) {
	var body ReasonBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	action := "undrain"
	if drained {
		action = "drain"
	}
	for attempt := 1; ; attempt++ {
		reply, id, err := a.trySetDrained(r, drained, body.Reason)
		if id != "" || err != nil {
			a.logAction(r, action, id, err, "service", mux.Vars(r)["service"], "target", mux.Vars(r)["target"])
		}
		if attempt == maxDrainAttempts || !fault.Is(err, fault.SettingsConflict) {
			return reply, err
		}
		if _, err := a.Changelog.Withdraw(r.Context(), id, requestInfoOf(r).operator); err != nil {
			return nil, &annotatedError{cause: err, change: id, followUp: "GET /v1/changes/" + id}
		}
	}
}

// trySetDrained makes one attempt of setDrained. The returned id is empty if it did
// not get as far as to propose a change.
func (a *api) trySetDrained(r *http.Request, drained bool, note string) (reply any, id string, err error) {
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
	id = newChangeID()
	p := settle.Proposal{ID: id, Base: revision, Ops: []tree.Op{op}, Author: requestInfoOf(r).operator, Note: note}
	if _, err := a.Changelog.Propose(ctx, p); err != nil {
		return nil, id, &annotatedError{cause: err, change: id, followUp: "GET /v1/changes/" + id}
	}
	revision, err = a.Changelog.Commit(ctx, id)
	if fault.Is(err, fault.SettingsUnsettled) {
		return CommitReply{Change: id, Outcome: AwaitsApproval, Detail: fault.From(err).Detail}, id, nil
	}
	reply, err = commitReply(id, revision, err)
	return reply, id, err
}

// drainOp returns the op that drains or undrains a target. It returns false if the
// target is already in the requested state.
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
