package proxy

import (
	"net/http"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Problem is the body of a failure response on the callers' port.
type Problem struct {
	fault.Problem
	// Addresses lists the carriers of the service if this daemon is none of them.
	Addresses *AddressList `json:"addresses,omitempty"`
}

func newProblem(e *fault.Error, id string) *Problem {
	return &Problem{Problem: e.Problem(id)}
}

func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set(HeaderOutcome, string(p.Outcome))
	fault.WriteProblem(w, p.Problem, p)
}

// AddressList is the response to a caller that asks which addresses to use.
type AddressList struct {
	Service    fleet.ServiceID `json:"service"`
	TTLSeconds int             `json:"ttl-seconds"`
	// Addresses are in the order in which to try them.
	Addresses []Address `json:"addresses"`
}

// Address is one daemon that carries the service.
type Address struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	Address    string           `json:"address"`
}
