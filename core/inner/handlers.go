package inner

import (
	"context"

	"storj.io/drpc"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Handlers holds the functions that answer calls of peers, one for each RPC. from
// is the VM id in the peer's certificate. Calls to a nil handler fail with
// fault.NotReady. Errors of package fault reach the calling peer with their kind
// and detail.
type Handlers struct {
	Report   func(ctx context.Context, from fleet.VMID, m *ReportMsg) (*ReportReplyMsg, error)
	Order    func(ctx context.Context, from fleet.VMID, m *OrderRequestMsg) (*OrderReplyMsg, error)
	Ledger   func(ctx context.Context, from fleet.VMID, m *LedgerMsg) (*LedgerReplyMsg, error)
	Revision func(ctx context.Context, from fleet.VMID, m *RevisionRequestMsg) (*RevisionReplyMsg, error)
	VMs      func(ctx context.Context, from fleet.VMID, m *VMsRequestMsg) (*VMsReplyMsg, error)
	State    func(ctx context.Context, from fleet.VMID, m *StateRequestMsg) (*StateReplyMsg, error)
}

// Names of the RPCs on the wire. They are short, because each call transmits one.
const (
	rpcReport   = "report"
	rpcOrder    = "order"
	rpcLedger   = "ledger"
	rpcRevision = "revision"
	rpcState    = "state"
	rpcVMs      = "vms"
)

// rpcDescription implements drpc.Description, which lists the RPCs for the drpc mux.
type rpcDescription struct{}

const rpcCount = 6

// NumMethods returns the number of RPCs.
func (rpcDescription) NumMethods() int {
	return rpcCount
}

// Method returns the RPC with the given index.
func (rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcReport, Codec{}, newReceiver((*Handlers).handleReport), (*Handlers).handleReport, true
	case 1:
		return rpcOrder, Codec{}, newReceiver((*Handlers).handleOrder), (*Handlers).handleOrder, true
	case 2:
		return rpcLedger, Codec{}, newReceiver((*Handlers).handleLedger), (*Handlers).handleLedger, true
	case 3:
		return rpcRevision, Codec{}, newReceiver((*Handlers).handleRevision), (*Handlers).handleRevision, true
	case 4:
		return rpcState, Codec{}, newReceiver((*Handlers).handleState), (*Handlers).handleState, true
	case 5:
		return rpcVMs, Codec{}, newReceiver((*Handlers).handleVMs), (*Handlers).handleVMs, true
	default:
		return "", nil, nil, nil, false
	}
}

// newReceiver adapts a typed handler method to the untyped drpc.Receiver.
func newReceiver[In, Out any](call func(*Handlers, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(*Handlers), ctx, in.(*In))
	}
}

func (h *Handlers) handleReport(ctx context.Context, m *ReportMsg) (*ReportReplyMsg, error) {
	return callHandler(ctx, rpcReport, h.Report, m)
}

func (h *Handlers) handleOrder(ctx context.Context, m *OrderRequestMsg) (*OrderReplyMsg, error) {
	return callHandler(ctx, rpcOrder, h.Order, m)
}

func (h *Handlers) handleLedger(ctx context.Context, m *LedgerMsg) (*LedgerReplyMsg, error) {
	return callHandler(ctx, rpcLedger, h.Ledger, m)
}

func (h *Handlers) handleRevision(ctx context.Context, m *RevisionRequestMsg) (*RevisionReplyMsg, error) {
	return callHandler(ctx, rpcRevision, h.Revision, m)
}

func (h *Handlers) handleState(ctx context.Context, m *StateRequestMsg) (*StateReplyMsg, error) {
	return callHandler(ctx, rpcState, h.State, m)
}

func (h *Handlers) handleVMs(ctx context.Context, m *VMsRequestMsg) (*VMsReplyMsg, error) {
	return callHandler(ctx, rpcVMs, h.VMs, m)
}

type handlerFunc[In, Out any] func(context.Context, fleet.VMID, *In) (*Out, error)

// callHandler calls h with the VM id of the peer. It guarantees that an error is of
// package fault and that a reply is not nil.
func callHandler[In, Out any](ctx context.Context, rpc string, h handlerFunc[In, Out], m *In) (*Out, error) {
	if h == nil {
		return nil, fault.New(fault.NotReady, "call %s is not served", rpc)
	}
	from, ok := ctx.Value(peerContextKey{}).(fleet.VMID)
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

// peerContextKey is the context key under which a connection stores the VM id of the peer.
type peerContextKey struct{}
