package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// serveAddresses responds with the addresses of the daemons that carry a service.
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

// serveReady responds with a success status while the daemon accepts requests.
func (rl *Relay) serveReady(w http.ResponseWriter, r *http.Request) {
	if rl.fleet.Leaving() || !rl.fleet.Ready() {
		newProblem(rl.notReady(), requestID(r)).write(w)
		return
	}
	writeJSON(w, readyResponse{VM: rl.self.ID, Ready: true})
}

// notReady returns the error of a daemon that is shutting down or has no settings yet.
func (rl *Relay) notReady() *fault.Error {
	if rl.fleet.Leaving() {
		return fault.New(fault.NotReady, "this daemon is shutting down")
	}
	return fault.New(fault.NotReady, "this daemon has no settings yet")
}

// readyResponse is the response to a readiness check.
type readyResponse struct {
	VM    fleet.VMID `json:"vm"`
	Ready bool       `json:"ready"`
}

// refuseMissingService refuses a request that names no service and matches no
// endpoint of the daemon.
func (rl *Relay) refuseMissingService(w http.ResponseWriter, r *http.Request) {
	newProblem(fault.New(fault.BadRequest, "name the service in the %s header", HeaderService), requestID(r)).write(w)
}

// writeJSON responds with v as JSON and the status 200.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
