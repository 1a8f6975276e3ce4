package inner

import (
	"context"

	"storj.io/drpc"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Handlers answers the calls of peers. from is the VM id in the peer's
// certificate. A handler that is nil answers fault.NotReady. Errors of package
// fault reach the caller with their kind and detail.
type Handlers struct {
	Report      func(ctx context.Context, from fleet.VMID, m *ReportMsg) (*ReportReplyMsg, error)
	OrderAsk    func(ctx context.Context, from fleet.VMID, m *OrderAskMsg) (*OrderReplyMsg, error)
	Ledger      func(ctx context.Context, from fleet.VMID, m *LedgerMsg) (*LedgerReplyMsg, error)
	RevisionAsk func(ctx context.Context, from fleet.VMID, m *RevisionAskMsg) (*RevisionReplyMsg, error)
	VMsAsk      func(ctx context.Context, from fleet.VMID, m *VMsAskMsg) (*VMsReplyMsg, error)
	StateAsk    func(ctx context.Context, from fleet.VMID, m *StateAskMsg) (*StateReplyMsg, error)
}

// The names of the calls are short, because each report carries one.
const (
	rpcReport      = "report"
	rpcOrderAsk    = "order"
	rpcLedger      = "ledger"
	rpcRevisionAsk = "revision"
	rpcStateAsk    = "state"
	rpcVMsAsk      = "vms"
)

// description lists the calls for the drpc mux.
type description struct{}

const methodCount = 6

// NumMethods returns the number of calls.
func (description) NumMethods() int {
	return methodCount
}

// Method returns the call with the given number.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcReport, Codec{}, receiver((*Handlers).report), (*Handlers).report, true
	case 1:
		return rpcOrderAsk, Codec{}, receiver((*Handlers).orderAsk), (*Handlers).orderAsk, true
	case 2:
		return rpcLedger, Codec{}, receiver((*Handlers).ledger), (*Handlers).ledger, true
	case 3:
		return rpcRevisionAsk, Codec{}, receiver((*Handlers).revisionAsk), (*Handlers).revisionAsk, true
	case 4:
		return rpcStateAsk, Codec{}, receiver((*Handlers).stateAsk), (*Handlers).stateAsk, true
	case 5:
		return rpcVMsAsk, Codec{}, receiver((*Handlers).vmsAsk), (*Handlers).vmsAsk, true
	default:
		return "", nil, nil, nil, false
	}
}

// receiver adapts a typed call to the untyped form of drpc.
func receiver[In, Out any](call func(*Handlers, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(*Handlers), ctx, in.(*In))
	}
}

func (h *Handlers) report(ctx context.Context, m *ReportMsg) (*ReportReplyMsg, error) {
	return handle(ctx, rpcReport, h.Report, m)
}

func (h *Handlers) orderAsk(ctx context.Context, m *OrderAskMsg) (*OrderReplyMsg, error) {
	return handle(ctx, rpcOrderAsk, h.OrderAsk, m)
}

func (h *Handlers) ledger(ctx context.Context, m *LedgerMsg) (*LedgerReplyMsg, error) {
	return handle(ctx, rpcLedger, h.Ledger, m)
}

func (h *Handlers) revisionAsk(ctx context.Context, m *RevisionAskMsg) (*RevisionReplyMsg, error) {
	return handle(ctx, rpcRevisionAsk, h.RevisionAsk, m)
}

func (h *Handlers) stateAsk(ctx context.Context, m *StateAskMsg) (*StateReplyMsg, error) {
	return handle(ctx, rpcStateAsk, h.StateAsk, m)
}

func (h *Handlers) vmsAsk(ctx context.Context, m *VMsAskMsg) (*VMsReplyMsg, error) {
	return handle(ctx, rpcVMsAsk, h.VMsAsk, m)
}

type handler[In, Out any] func(context.Context, fleet.VMID, *In) (*Out, error)

func handle[In, Out any](ctx context.Context, rpc string, h handler[In, Out], m *In) (*Out, error) {
	if h == nil {
		return nil, fault.New(fault.NotReady, "call %s is not served", rpc)
	}
	from, ok := ctx.Value(peerKey{}).(fleet.VMID)
	if !ok {
		return nil, fault.New(fault.Unauthenticated, "call %s comes from an unknown peer", rpc)
	}
	out, err := h(ctx, from, m)
	if err != nil {
		return nil, fault.From(err)
	}
	if out == nil {
		return nil, fault.New(fault.Internal, "call %s has no reply", rpc)
	}
	return out, nil
}

// peerKey is the key of the peer's VM id in the context of a connection.
type peerKey struct{}
