package order

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Verdict is what may be done with one copy of an order.
type Verdict uint8

// The verdicts. Only VerdictRun allows the request to be sent.
const (
	VerdictUnknown Verdict = iota
	VerdictRun
	VerdictReplay
	VerdictInProgress
	VerdictNotRun
	VerdictMismatch
	VerdictInvalid
	verdictCount
)

var verdictNames = [verdictCount]string{"unknown", "run", "replay", "in-progress", "not-run", "mismatch", "invalid"}

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string {
	if v >= verdictCount {
		return "invalid"
	}
	return verdictNames[v]
}

// Request is one copy of an order.
type Request struct {
	// Key is the value of the Idempotency-Key header.
	Key       string
	Service   fleet.ServiceID
	Workspace fleet.WorkspaceID
	// Digest may be missing only if Carried is false; no response is returned then.
	Digest Hash
	Mode   fleet.OrderKeyMode
	// Carried says that this daemon can run requests of the service. If it is
	// false the key is closed as not run where that is possible.
	Carried bool
}

// Decision is the verdict on one copy of an order.
type Decision struct {
	Verdict Verdict
	// Response comes with VerdictReplay, if it is still kept.
	Response *Response
	// Fault is the error for the caller; nil with VerdictRun and with a Response.
	Fault *fault.Error
	// Ticket comes with VerdictRun; its Finish is called once.
	Ticket Ticket
}

// Ticket is the right to run an order once. The zero ticket stands for an
// order without a key.
type Ticket struct {
	manager *Manager
	key     Hash
	epoch   uint32
	claim   *heldClaim
}

// heldClaim is a claim of this incarnation that waits for its outcome.
type heldClaim struct {
	key string
	row ClaimRow
}

// Finish records the outcome of the order, and its response with outcome run.
// NotRun may be stated only if no byte of the request can have been acted on;
// it closes the key for good.
func (t Ticket) Finish(outcome fault.Outcome, res *Response) {
	if t.manager == nil {
		return
	}
	t.manager.ledger.finish(t.epoch, t.key, outcome, res)
	if t.claim != nil {
		t.manager.claims.settle(t.claim.key, t.claim.row, outcome, res)
	}
}

// decide returns the decision for a reply that allows no run.
func decide(r OrderReply) Decision {
	switch r.State {
	case StateAsking, StateRunning:
		return refuse(VerdictInProgress, fault.OrderInProgress, "another copy of the order is running")
	case StateRun:
		return Decision{Verdict: VerdictReplay, Response: r.Response}
	case StateRunDropped:
		return refuse(VerdictReplay, fault.OrderAnswerDropped, "the order was run; its response is no longer kept")
	case StateNotRun:
		return refuse(VerdictNotRun, fault.OrderClosed, "the key is closed")
	case StateMismatch:
		return refuse(VerdictMismatch, fault.OrderKeyMismatch, "the key belongs to a request with other content")
	default:
		return unknown(nil, "the order may have been run")
	}
}

func refuse(v Verdict, k fault.Kind, detail string) Decision {
	return Decision{Verdict: v, Fault: fault.New(k, "%s", detail)}
}

func unknown(cause error, detail string) Decision {
	e := fault.New(fault.OrderUnknown, "%s", detail)
	e.Cause = cause
	return Decision{Verdict: VerdictUnknown, Fault: e}
}

func invalid(err error) Decision {
	return Decision{Verdict: VerdictInvalid, Fault: fault.From(err)}
}

// AskHome sends an ask to the daemon that runs as the incarnation and returns
// its reply, or an error if no reply came.
type AskHome func(ctx context.Context, to fleet.Incarnation, ask OrderAsk) (OrderReply, error)
