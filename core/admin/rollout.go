package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
)

const (
	// askWorkers is the number of daemons asked at once. 690 daemons take 22
	// rounds of a few milliseconds.
	askWorkers = 32
	// rolloutLimit bounds the whole inquiry while many daemons do not answer.
	rolloutLimit = 20 * time.Second
	partDaemon   = "daemon"
)

// daemonPart is what the roll-out reads from the state part "daemon".
type daemonPart struct {
	Daemon struct {
		Ready    bool            `json:"ready"`
		Leaving  bool            `json:"leaving"`
		Revision settle.Revision `json:"revision"`
	} `json:"daemon"`
}

// inquiry asks all daemons for their revision.
type inquiry struct {
	api     *api
	head    settle.Revision
	vms     chan fleet.VM
	results chan DaemonState
}

func (a *api) rollout(r *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), rolloutLimit)
	defer cancel()
	v, err := a.newest(ctx)
	if err != nil {
		return nil, err
	}
	live := a.Live()
	q := inquiry{api: a, head: v.revision, vms: make(chan fleet.VM, len(live)), results: make(chan DaemonState, len(live))}
	for _, vm := range live {
		q.vms <- vm
	}
	close(q.vms)
	for range min(askWorkers, len(live)) {
		go q.run(ctx)
	}
	reply := RolloutReply{Head: v.revision, Source: v.source, Daemons: []DaemonState{}}
	for range live {
		reply.Daemons = append(reply.Daemons, <-q.results)
	}
	slices.SortFunc(reply.Daemons, func(x, y DaemonState) int { return cmp.Compare(x.VM, y.VM) })
	return reply, nil
}

func (q inquiry) run(ctx context.Context) {
	for vm := range q.vms {
		q.results <- q.ask(ctx, vm)
	}
}

func (q inquiry) ask(ctx context.Context, vm fleet.VM) DaemonState {
	state := DaemonState{VM: vm.ID, DataCentre: vm.DataCentre, State: "unreachable"}
	data, err := q.api.dump(ctx, vm, partDaemon)
	if err != nil {
		state.Detail = err.Error()
		return state
	}
	var part daemonPart
	if err := json.Unmarshal(data, &part); err != nil {
		state.Detail = err.Error()
		return state
	}
	state.Ready, state.Leaving, state.Revision = part.Daemon.Ready, part.Daemon.Leaving, part.Daemon.Revision
	switch {
	case !state.Ready && !state.Leaving:
		state.State = "not-ready"
	case state.Revision < q.head:
		state.State = "behind"
	default:
		state.State = "current"
	}
	return state
}

// dump returns a part of the state of this or another daemon, as JSON.
func (a *api) dump(ctx context.Context, vm fleet.VM, part string) ([]byte, error) {
	if vm.ID == a.VM {
		data, err := json.Marshal(a.State(part))
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "state %q cannot be encoded", part)
		}
		return data, nil
	}
	reply, err := a.Ask(ctx, vm, part)
	if err != nil {
		return nil, err
	}
	return reply.Dump, nil
}

// state returns a dump; parameter "vm" names another daemon, "part" one part.
func (a *api) state(r *http.Request) (any, error) {
	q := r.URL.Query()
	vm := fleet.VM{ID: a.VM}
	if name := fleet.VMID(q.Get("vm")); name != "" && name != a.VM {
		live := a.Live()
		i := slices.IndexFunc(live, func(vm fleet.VM) bool { return vm.ID == name })
		if i < 0 {
			return nil, fault.New(fault.NotFound, "VM %q is not in the membership", name)
		}
		vm = live[i]
	}
	data, err := a.dump(r.Context(), vm, q.Get("part"))
	return json.RawMessage(data), err
}
