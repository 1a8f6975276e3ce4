package order

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// orderCopy is one copy of an order. Its methods decide whether the copy may run.
type orderCopy struct {
	manager *Manager
	req     Request
	key     Hash
	token   Token
}

// allow returns the decision to run the order, whose record is in the given epoch
// of this incarnation's ledger.
func (c *orderCopy) allow(epoch uint32, claim *openClaim) Decision {
	return Decision{Verdict: VerdictRun, Permit: Permit{manager: c.manager, key: c.key, epoch: epoch, claim: claim}}
}

// beginLocal decides on a key under a token that this incarnation issued.
func (c *orderCopy) beginLocal(ctx context.Context) Decision {
	r, admitted := c.manager.ledger.begin(c.token.Epoch, c.key, c.req.Digest, c.req.MayRun)
	switch {
	case admitted:
		return c.allow(c.token.Epoch, nil)
	case r.state == StateReleased:
		return c.queryGrantee(ctx, *r.grant)
	default:
		return decisionFor(r.reply(c.req.Digest))
	}
}

// reserve records the copy in the ledger of this incarnation before the
// permission to run is requested elsewhere. It returns the epoch of the
// reservation, or 0 if the key is to be closed instead. If done is true, the
// ledger already has a record of the key, and d is the decision.
func (c *orderCopy) reserve() (epoch uint32, d Decision, done bool) {
	if !c.req.MayRun {
		return 0, d, false
	}
	r, known, epoch := c.manager.ledger.reserve(c.key, c.req.Digest)
	if known {
		return 0, decisionFor(r.reply(c.req.Digest)), true
	}
	return epoch, d, false
}

// beginRemote decides on a key under a token that another incarnation issued.
func (c *orderCopy) beginRemote(ctx context.Context) Decision {
	epoch, d, done := c.reserve()
	if done {
		return d
	}
	query := KeyQuery{Ledger: c.token.Issuer, Epoch: c.token.Epoch, Key: c.key, Digest: c.req.Digest, OnUnseen: UnseenClose}
	if epoch != 0 {
		query.OnUnseen, query.Grant = UnseenRelease, &Grant{Grantee: c.manager.self, Epoch: epoch}
	}
	reply, err := c.manager.queryLedger(ctx, query)
	if err == nil && reply.State == StateReleased && reply.Grant.Grantee == c.manager.self {
		return c.useGrant(epoch, *reply.Grant, nil)
	}
	c.cancelReservation(epoch)
	switch {
	case err != nil:
		return unknownDecision(err, "the home of the key can't be asked")
	case reply.State == StateReleased:
		return c.queryGrantee(ctx, *reply.Grant)
	default:
		return decisionFor(reply)
	}
}

// cancelReservation removes the reservation, if there is one.
func (c *orderCopy) cancelReservation(epoch uint32) {
	if epoch != 0 {
		c.manager.ledger.cancelReservation(epoch, c.key)
	}
}

// useGrant decides on a key with a grant to this incarnation. The copy may run
// unless another copy has already used the grant.
func (c *orderCopy) useGrant(epoch uint32, g Grant, claim *openClaim) Decision {
	if epoch == 0 {
		return c.closeLocal(g)
	}
	r, admitted := c.manager.ledger.useGrant(epoch, g.Epoch, c.key, c.req.Digest)
	if admitted {
		return c.allow(g.Epoch, claim)
	}
	return decisionFor(r.reply(c.req.Digest))
}

// closeLocal closes a key with a grant to this incarnation, if no copy has used
// the grant.
func (c *orderCopy) closeLocal(g Grant) Decision {
	reply := c.manager.ledger.answer(c.closeQuery(g))
	return decisionFor(reply)
}

// closeQuery returns a query to the grantee that closes the key unless it has a record.
func (c *orderCopy) closeQuery(g Grant) KeyQuery {
	return KeyQuery{Ledger: g.Grantee, Epoch: g.Epoch, Key: c.key, Digest: c.req.Digest, OnUnseen: UnseenClose}
}

// queryGrantee queries the only incarnation that may run the order. If that has
// no record of the key, it closes the key, since a grant is made only once.
func (c *orderCopy) queryGrantee(ctx context.Context, g Grant) Decision {
	reply, err := c.manager.queryLedger(ctx, c.closeQuery(g))
	if err != nil {
		return unknownDecision(err, "the daemon that may have run the order can't be asked")
	}
	return decisionFor(reply)
}

// queryLedger sends a query to a ledger wherever it may be: in this daemon, at
// the incarnation that owns it, or at a daemon to which it was handed over.
func (m *Manager) queryLedger(ctx context.Context, query KeyQuery) (KeyReply, error) {
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
func (m *Manager) queryIncarnation(ctx context.Context, to fleet.Incarnation, query KeyQuery) (KeyReply, error) {
	reply, err := m.queryPeer(ctx, to, query)
	if err != nil {
		return KeyReply{}, err
	}
	if err := reply.Validate(); err != nil {
		return KeyReply{}, err
	}
	if reply.State == StateNotHeld {
		return KeyReply{}, fault.New(fault.PeerUnreachable, "%s doesn't hold the ledger of %s", to, query.Ledger)
	}
	return reply, nil
}

// beginClaim decides on a key that is recorded as a claim in the table service.
func (c *orderCopy) beginClaim(ctx context.Context) Decision {
	epoch, d, done := c.reserve()
	if done {
		return d
	}
	rowKey := claimRowKey(c.req.Workspace, c.key)
	row := ClaimRow{
		ID:     c.manager.claims.newID(),
		Grant:  Grant{Grantee: c.manager.self, Epoch: max(epoch, 1)},
		Digest: c.req.Digest,
		State:  StateRunning,
	}
	if epoch == 0 {
		row.State = StateNotRun
	}
	limited, cancel := context.WithTimeout(ctx, c.manager.queryTimeout)
	defer cancel()
	err := c.manager.claims.insert(limited, rowKey, row)
	if err == nil && epoch == 0 {
		return decisionFor(KeyReply{State: StateNotRun})
	}
	if err == nil {
		return c.useGrant(epoch, row.Grant, &openClaim{rowKey, row})
	}
	if !fault.Is(err, fault.StoreConflict) {
		c.cancelReservation(epoch)
		return unknownDecision(err, "the key can't be claimed")
	}
	other, err := c.manager.claims.read(limited, rowKey)
	if err != nil {
		c.cancelReservation(epoch)
		return unknownDecision(err, "the claim of the key can't be read")
	}
	return c.decideByClaim(ctx, epoch, rowKey, other)
}

// decideByClaim decides on a key by the claim row that it already has.
func (c *orderCopy) decideByClaim(ctx context.Context, epoch uint32, rowKey string, row ClaimRow) Decision {
	known := record{digest: row.Digest, state: row.State, response: row.Response}
	if known.forDigest(c.req.Digest).state == StateMismatch {
		c.cancelReservation(epoch)
		return decisionFor(KeyReply{State: StateMismatch})
	}
	if row.State == StateRunning && row.Grant.Grantee == c.manager.self {
		// The row comes from an earlier insert by this incarnation whose reply was lost.
		return c.useGrant(epoch, row.Grant, &openClaim{rowKey, row})
	}
	c.cancelReservation(epoch)
	switch row.State {
	case StateRun, StateNotRun, StateUnknown:
		return decisionFor(known.reply(c.req.Digest))
	case StateRunDropped:
		// The order ran. The row has no response, but the owner's ledger may
		// still have it.
		if d := c.queryGrantee(ctx, row.Grant); d.Verdict == VerdictReplay {
			return d
		}
		return decisionFor(KeyReply{State: StateRunDropped})
	default:
		return c.queryGrantee(ctx, row.Grant)
	}
}
