package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// serveAddresses tells a caller which addresses to use for a service.
func (rl *Relay) serveAddresses(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, id)
	if !rl.fleet.Ready() {
		newProblem(rl.notReady(), id).write(w)
		return
	}
	service := fleet.ServiceID(r.URL.Query().Get("service"))
	if _, ok := rl.fleet.Service(service); !ok {
		newProblem(fault.New(fault.UnknownService, "no service %q", service), id).write(w)
		return
	}
	list := rl.fleet.Addresses(service, fleet.DataCentre(r.URL.Query().Get("data-centre")), id)
	if len(list.Addresses) == 0 {
		newProblem(fault.New(fault.NotReady, "no daemon carries service %s now", service), id).write(w)
		return
	}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(list.TTLSeconds))
	writeJSON(w, list)
}

func (rl *Relay) serveReady(w http.ResponseWriter, r *http.Request) {
	if rl.fleet.Leaving() || !rl.fleet.Ready() {
		newProblem(rl.notReady(), requestID(r)).write(w)
		return
	}
	writeJSON(w, readyReply{VM: rl.self.ID, Ready: true})
}

// notReady returns the refusal of a daemon that leaves or does not serve yet.
func (rl *Relay) notReady() *fault.Error {
	if rl.fleet.Leaving() {
		return fault.New(fault.NotReady, "this daemon is shutting down")
	}
	return fault.New(fault.NotReady, "this daemon has no settings yet")
}

type readyReply struct {
	VM    fleet.VMID `json:"vm"`
	Ready bool       `json:"ready"`
}

func (rl *Relay) serveUnnamed(w http.ResponseWriter, r *http.Request) {
	newProblem(fault.New(fault.BadRequest, "name the service in the %s header", HeaderService), requestID(r)).write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
