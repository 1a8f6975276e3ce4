package proxy

import (
	"context"
	"net/http"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Orders holds the decisions about orders; until it is wired, orders are refused.
type Orders struct{}

func (v *visit) serveOrder(context.Context, *Carrier) {
	v.refuse(fault.New(fault.NotReady, "orders are not served yet"))
}

func (v *visit) closeElsewhere(*fleet.Service) bool {
	return false
}

func (rl *Relay) serveToken(w http.ResponseWriter, r *http.Request) {
	newProblem(fault.New(fault.NotReady, "orders are not served yet"), requestID(r)).write(w)
}
