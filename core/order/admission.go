package order

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// admission decides whether one copy of an order may run.
type admission struct {
	manager *Manager
	req     Request
	key     Hash
	token   Token
}

// allow returns the decision to run the order, whose record is in the given epoch
// of this incarnation's ledger.
func (a *admission) allow(epoch uint32, claim *openClaim) Decision {
	return Decision{Verdict: VerdictRun, Ticket: Ticket{manager: a.manager, key: a.key, epoch: epoch, claim: claim}}
}

// beginLocal decides on a key under a token that this incarnation issued.
func (a *admission) beginLocal(ctx context.Context) Decision {
	r, admitted := a.manager.ledger.begin(a.token.Epoch, a.key, a.req.Digest, a.req.Carried)
	switch {
	case admitted:
		return a.allow(a.token.Epoch, nil)
	case r.state == StateReleased:
		return a.queryGrantee(ctx, *r.grant)
	default:
		return decisionFor(r.reply(a.req.Digest))
	}
}

// reserve records the copy in the ledger of this incarnation before the
// permission to run is requested elsewhere. It returns the epoch of the
// reservation, or 0 if the key is to be closed instead. If done is true, the
// ledger already has a record of the key, and d is the decision.
func (a *admission) reserve() (epoch uint32, d Decision, done bool) {
	if !a.req.Carried {
		return 0, d, false
	}
	r, known, epoch := a.manager.ledger.reserve(a.key, a.req.Digest)
	if known {
		return 0, decisionFor(r.reply(a.req.Digest)), true
	}
	return epoch, d, false
}

// beginRemote decides on a key under a token that another incarnation issued.
func (a *admission) beginRemote(ctx context.Context) Decision {
	epoch, d, done := a.reserve()
	if done {
		return d
	}
	query := OrderAsk{Ledger: a.token.Issuer, Epoch: a.token.Epoch, Key: a.key, Digest: a.req.Digest, Want: WantClose}
	if epoch != 0 {
		query.Want, query.Asker = WantRelease, &Grant{Holder: a.manager.self, Epoch: epoch}
	}
	reply, err := a.manager.queryLedger(ctx, query)
	if err == nil && reply.State == StateReleased && reply.Grant.Holder == a.manager.self {
		return a.useGrant(epoch, *reply.Grant, nil)
	}
	a.cancelReservation(epoch)
	switch {
	case err != nil:
		return unknownDecision(err, "the home of the key can't be asked")
	case reply.State == StateReleased:
		return a.queryGrantee(ctx, *reply.Grant)
	default:
		return decisionFor(reply)
	}
}

// cancelReservation removes the reservation, if there is one.
func (a *admission) cancelReservation(epoch uint32) {
	if epoch != 0 {
		a.manager.ledger.cancelReservation(epoch, a.key)
	}
}

// useGrant decides on a key with a grant to this incarnation. The copy may run
// unless another copy has already used the grant.
func (a *admission) useGrant(epoch uint32, g Grant, claim *openClaim) Decision {
	if epoch == 0 {
		return a.closeLocal(g)
	}
	r, admitted := a.manager.ledger.useGrant(epoch, g.Epoch, a.key, a.req.Digest)
	if admitted {
		return a.allow(g.Epoch, claim)
	}
	return decisionFor(r.reply(a.req.Digest))
}

// closeLocal closes a key with a grant to this incarnation, if no copy has used
// the grant.
func (a *admission) closeLocal(g Grant) Decision {
	reply := a.manager.ledger.answer(a.closeQuery(g))
	return decisionFor(reply)
}

// closeQuery returns a query to the grantee that closes the key unless it has a record.
func (a *admission) closeQuery(g Grant) OrderAsk {
	return OrderAsk{Ledger: g.Holder, Epoch: g.Epoch, Key: a.key, Digest: a.req.Digest, Want: WantClose}
}

// queryGrantee queries the only incarnation that may run the order. If that has
// no record of the key, it closes the key, since a grant is made only once.
func (a *admission) queryGrantee(ctx context.Context, g Grant) Decision {
	reply, err := a.manager.queryLedger(ctx, a.closeQuery(g))
	if err != nil {
		return unknownDecision(err, "the daemon that may have run the order can't be asked")
	}
	return decisionFor(reply)
}

// queryLedger sends a query to a ledger wherever it may be: in this daemon, at
// the incarnation that owns it, or at a daemon to which it was handed over.
func (m *Manager) queryLedger(ctx context.Context, query OrderAsk) (OrderReply, error) {
	if query.Ledger == m.self {
		return m.ledger.answer(query), nil
	}
	if reply := m.imported.answer(query); reply.State != StateNotHeld {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.queryTimeout)
	defer cancel()
	reply, err := m.queryIncarnation(ctx, query.Ledger, query)
	if err == nil {
		return reply, nil
	}
	for _, importer := range m.importers(query.Ledger) {
		if importer == m.self || importer == query.Ledger {
			continue
		}
		if reply, importerErr := m.queryIncarnation(ctx, importer, query); importerErr == nil {
			return reply, nil
		}
	}
	return reply, err
}

// queryIncarnation sends a query to another incarnation. It returns an error if
// that does not have the ledger.
func (m *Manager) queryIncarnation(ctx context.Context, to fleet.Incarnation, query OrderAsk) (OrderReply, error) {
	reply, err := m.queryPeer(ctx, to, query)
	if err != nil {
		return OrderReply{}, err
	}
	if err := reply.Validate(); err != nil {
		return OrderReply{}, err
	}
	if reply.State == StateNotHeld {
		return OrderReply{}, fault.New(fault.PeerUnreachable, "%s doesn't hold the ledger of %s", to, query.Ledger)
	}
	return reply, nil
}

// beginClaim decides on a key that is recorded as a claim in the table service.
func (a *admission) beginClaim(ctx context.Context) Decision {
	epoch, d, done := a.reserve()
	if done {
		return d
	}
	rowKey := claimRowKey(a.req.Workspace, a.key)
	row := ClaimRow{
		ID:     a.manager.claims.newID(),
		Grant:  Grant{Holder: a.manager.self, Epoch: max(epoch, 1)},
		Digest: a.req.Digest,
		State:  StateRunning,
	}
	if epoch == 0 {
		row.State = StateNotRun
	}
	limited, cancel := context.WithTimeout(ctx, a.manager.queryTimeout)
	defer cancel()
	err := a.manager.claims.insert(limited, rowKey, row)
	if err == nil && epoch == 0 {
		return decisionFor(OrderReply{State: StateNotRun})
	}
	if err == nil {
		return a.useGrant(epoch, row.Grant, &openClaim{rowKey, row})
	}
	if !fault.Is(err, fault.StoreConflict) {
		a.cancelReservation(epoch)
		return unknownDecision(err, "the key can't be claimed")
	}
	other, err := a.manager.claims.read(limited, rowKey)
	if err != nil {
		a.cancelReservation(epoch)
		return unknownDecision(err, "the claim of the key can't be read")
	}
	return a.decideByClaim(ctx, epoch, rowKey, other)
}

// decideByClaim decides on a key by the claim row that it already has.
func (a *admission) decideByClaim(ctx context.Context, epoch uint32, rowKey string, row ClaimRow) Decision {
	known := record{digest: row.Digest, state: row.State, response: row.Response}
	if known.forDigest(a.req.Digest).state == StateMismatch {
		a.cancelReservation(epoch)
		return decisionFor(OrderReply{State: StateMismatch})
	}
	if row.State == StateRunning && row.Grant.Holder == a.manager.self {
		// The row comes from an earlier insert by this incarnation whose reply was lost.
		return a.useGrant(epoch, row.Grant, &openClaim{rowKey, row})
	}
	a.cancelReservation(epoch)
	switch row.State {
	case StateRun, StateNotRun, StateUnknown:
		return decisionFor(known.reply(a.req.Digest))
	case StateRunDropped:
		// The order ran. The row has no response, but the owner's ledger may
		// still have it.
		if d := a.queryGrantee(ctx, row.Grant); d.Verdict == VerdictReplay {
			return d
		}
		return decisionFor(OrderReply{State: StateRunDropped})
	default:
		return a.queryGrantee(ctx, row.Grant)
	}
}
