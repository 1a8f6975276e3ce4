package order

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Verdict says what happens with one copy of an order.
type Verdict uint8

// The verdicts. Only VerdictRun permits sending the request to a target.
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

// Request describes one copy of an order: its first request or a repeat with the
// same key.
type Request struct {
	// Key is the value of the Idempotency-Key header.
	Key       string
	Service   fleet.ServiceID
	Workspace fleet.WorkspaceID
	// Digest is the digest of the request. It may be zero only if MayRun is
	// false; the decision then has no response.
	Digest  Hash
	KeyMode fleet.OrderKeyMode
	// MayRun says that this daemon may run the order. If it is false, the key
	// is closed as not run, provided that no copy ran or may still run.
	MayRun bool
}

// Decision is the verdict on one copy of an order.
type Decision struct {
	Verdict Verdict
	// Response is the first response, set with VerdictReplay if it is still kept.
	Response *Response
	// Fault is the error for the caller. It is nil with VerdictRun and if there
	// is a Response.
	Fault *fault.Error
	// Permit is set with VerdictRun. The caller must call its Finish once.
	Permit Permit
}

// Permit is the permission to run an order once. The zero Permit is for an order
// without a key, whose outcome is not recorded.
type Permit struct {
	manager *Manager
	key     Hash
	epoch   uint32
	claim   *openClaim
}

// openClaim is a claim row that this incarnation owns and that has no outcome yet.
type openClaim struct {
	rowKey string
	row    ClaimRow
}

// Finish records the outcome of the order and, with fault.Run, its response. The
// outcome may be fault.NotRun only if it is certain that the target did not act
// on any part of the request; the key can then never be used again.
func (p Permit) Finish(outcome fault.Outcome, res *Response) {
	if p.manager == nil {
		return
	}
	p.manager.ledger.finish(p.epoch, p.key, outcome, res)
	if p.claim != nil {
		p.manager.claims.enqueueOutcome(p.claim.rowKey, p.claim.row, outcome, res)
	}
}

// decisionFor returns the decision for a reply that does not permit the copy to run.
func decisionFor(r KeyReply) Decision {
	switch r.State {
	case StateAsking, StateRunning:
		return refusedDecision(VerdictInProgress, fault.OrderInProgress, "another copy of the order is running")
	case StateRun:
		return Decision{Verdict: VerdictReplay, Response: r.Response}
	case StateRunDropped:
		return refusedDecision(VerdictReplay, fault.OrderAnswerDropped, "the order was run; its response is no longer kept")
	case StateNotRun:
		return refusedDecision(VerdictNotRun, fault.OrderClosed, "the key is closed")
	case StateMismatch:
		return refusedDecision(VerdictMismatch, fault.OrderKeyMismatch, "the key belongs to a request with other content")
	default:
		return unknownDecision(nil, "the order may have been run")
	}
}

func refusedDecision(v Verdict, k fault.Kind, detail string) Decision {
	return Decision{Verdict: v, Fault: fault.New(k, "%s", detail)}
}

func unknownDecision(cause error, detail string) Decision {
	e := fault.New(fault.OrderUnknown, "%s", detail)
	e.Cause = cause
	return Decision{Verdict: VerdictUnknown, Fault: e}
}

func invalidDecision(err error) Decision {
	return Decision{Verdict: VerdictInvalid, Fault: fault.From(err)}
}

// QueryFunc sends a query to the daemon with the given incarnation and returns
// its reply, or an error if there was none.
type QueryFunc func(ctx context.Context, to fleet.Incarnation, query KeyQuery) (KeyReply, error)
