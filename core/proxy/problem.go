package proxy

import (
	"net/http"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Problem is the body of an error response on the port for callers.
type Problem struct {
	fault.Problem
	// Addresses lists the daemons that carry the service, if this daemon does not
	// serve it.
	Addresses *AddressList `json:"addresses,omitempty"`
}

// newProblem returns the problem of the error for the request with the given id.
func newProblem(e *fault.Error, id string) *Problem {
	return &Problem{Problem: e.Problem(id)}
}

// write sends the problem as the response, with its outcome in the header.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, string(p.Outcome))
	fault.WriteProblem(w, p.Problem, p)
}

// AddressList lists the addresses at which callers reach a service.
type AddressList struct {
	Service    fleet.ServiceID `json:"service"`
	TTLSeconds int             `json:"ttl-seconds"`
	// Addresses are in the order in which the caller should try them.
	Addresses []Address `json:"addresses"`
}

// Address is the address for callers of a daemon that carries the service.
type Address struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	Address    string           `json:"address"`
}
