package order

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// copyOf is one copy of an order on its way through the manager.
type copyOf struct {
	manager *Manager
	req     Request
	hash    Hash
	token   Token
}

// run returns the decision to run under a record of this ledger.
func (c *copyOf) run(epoch uint32, claim *heldClaim) Decision {
	return Decision{Verdict: VerdictRun, Ticket: Ticket{manager: c.manager, key: c.hash, epoch: epoch, claim: claim}}
}

// beginOwn decides on a key under a token of this incarnation.
func (c *copyOf) beginOwn(ctx context.Context) Decision {
	r, admitted := c.manager.ledger.begin(c.token.Epoch, c.hash, c.req.Digest, c.req.Carried)
	switch {
	case admitted:
		return c.run(c.token.Epoch, nil)
	case r.state == StateReleased:
		return c.askHolder(ctx, *r.grant)
	default:
		return decide(r.reply(c.req.Digest))
	}
}

// reserve records the copy in this ledger before it asks for the right to run.
// It returns epoch 0 if the key is to be closed instead; with done, the ledger
// already decides.
func (c *copyOf) reserve() (epoch uint32, d Decision, done bool) {
	if !c.req.Carried {
		return 0, d, false
	}
	r, known, epoch := c.manager.ledger.reserve(c.hash, c.req.Digest)
	if known {
		return 0, decide(r.reply(c.req.Digest)), true
	}
	return epoch, d, false
}

// beginForeign decides on a key whose home is another incarnation.
func (c *copyOf) beginForeign(ctx context.Context) Decision {
	epoch, d, done := c.reserve()
	if done {
		return d
	}
	ask := OrderAsk{Ledger: c.token.Home, Epoch: c.token.Epoch, Key: c.hash, Digest: c.req.Digest, Want: WantClose}
	if epoch != 0 {
		ask.Want, ask.Asker = WantRelease, &Grant{Holder: c.manager.self, Epoch: epoch}
	}
	reply, err := c.manager.askLedger(ctx, ask)
	if err == nil && reply.State == StateReleased && reply.Grant.Holder == c.manager.self {
		return c.useGrant(epoch, *reply.Grant, nil)
	}
	c.unreserve(epoch)
	switch {
	case err != nil:
		return unknown(err, "the home of the key can't be asked")
	case reply.State == StateReleased:
		return c.askHolder(ctx, *reply.Grant)
	default:
		return decide(reply)
	}
}

func (c *copyOf) unreserve(epoch uint32) {
	if epoch != 0 {
		c.manager.ledger.drop(epoch, c.hash)
	}
}

// useGrant runs under the right that this incarnation holds, if no copy did.
func (c *copyOf) useGrant(epoch uint32, g Grant, claim *heldClaim) Decision {
	if epoch == 0 {
		return c.askOwn(g)
	}
	r, admitted := c.manager.ledger.take(epoch, g.Epoch, c.hash, c.req.Digest)
	if admitted {
		return c.run(g.Epoch, claim)
	}
	return decide(r.reply(c.req.Digest))
}

// askOwn closes a key whose right to run this incarnation holds already.
func (c *copyOf) askOwn(g Grant) Decision {
	reply := c.manager.ledger.answer(c.closeAsk(g))
	return decide(reply)
}

func (c *copyOf) closeAsk(g Grant) OrderAsk {
	return OrderAsk{Ledger: g.Holder, Epoch: g.Epoch, Key: c.hash, Digest: c.req.Digest, Want: WantClose}
}

// askHolder asks the one incarnation that may run the key. If that has not
// seen it, it closes it, since the right to run is given away only once.
func (c *copyOf) askHolder(ctx context.Context, g Grant) Decision {
	reply, err := c.manager.askLedger(ctx, c.closeAsk(g))
	if err != nil {
		return unknown(err, "the daemon that may have run the order can't be asked")
	}
	return decide(reply)
}

// askLedger asks for a ledger where it may be: here, at its owner, at those
// to whom it was handed over.
func (m *Manager) askLedger(ctx context.Context, ask OrderAsk) (OrderReply, error) {
	if ask.Ledger == m.self {
		return m.ledger.answer(ask), nil
	}
	if reply := m.holdings.answer(ask); reply.State != StateNotHeld {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	reply, err := m.askOne(ctx, ask.Ledger, ask)
	if err == nil {
		return reply, nil
	}
	for _, h := range m.holders(ask.Ledger) {
		if h == m.self || h == ask.Ledger {
			continue
		}
		if reply, holderErr := m.askOne(ctx, h, ask); holderErr == nil {
			return reply, nil
		}
	}
	return reply, err
}

// askOne returns an error unless the daemon holds the ledger.
func (m *Manager) askOne(ctx context.Context, to fleet.Incarnation, ask OrderAsk) (OrderReply, error) {
	reply, err := m.ask(ctx, to, ask)
	if err != nil {
		return OrderReply{}, err
	}
	if err := reply.Validate(); err != nil {
		return OrderReply{}, err
	}
	if reply.State == StateNotHeld {
		return OrderReply{}, fault.New(fault.PeerUnreachable, "%s doesn't hold the ledger of %s", to, ask.Ledger)
	}
	return reply, nil
}

// beginClaim decides on a key that is claimed in the table service.
func (c *copyOf) beginClaim(ctx context.Context) Decision {
	epoch, d, done := c.reserve()
	if done {
		return d
	}
	key := claimKey(c.req.Workspace, c.hash)
	row := ClaimRow{
		ID:     c.manager.claims.newID(),
		Holder: Grant{Holder: c.manager.self, Epoch: max(epoch, 1)},
		Digest: c.req.Digest,
		State:  StateRunning,
	}
	if epoch == 0 {
		row.State = StateNotRun
	}
	limited, cancel := context.WithTimeout(ctx, c.manager.timeout)
	defer cancel()
	err := c.manager.claims.insert(limited, key, row)
	if err == nil && epoch == 0 {
		return decide(OrderReply{State: StateNotRun})
	}
	if err == nil {
		return c.useGrant(epoch, row.Holder, &heldClaim{key, row})
	}
	if !fault.Is(err, fault.StoreConflict) {
		c.unreserve(epoch)
		return unknown(err, "the key can't be claimed")
	}
	other, err := c.manager.claims.read(limited, key)
	if err != nil {
		c.unreserve(epoch)
		return unknown(err, "the claim of the key can't be read")
	}
	return c.resolveClaim(ctx, epoch, key, other)
}

// resolveClaim decides by the row that stands in the place of the key.
func (c *copyOf) resolveClaim(ctx context.Context, epoch uint32, key string, row ClaimRow) Decision {
	known := record{digest: row.Digest, state: row.State, res: row.Response}
	if known.checked(c.req.Digest).state == StateMismatch {
		c.unreserve(epoch)
		return decide(OrderReply{State: StateMismatch})
	}
	if row.State == StateRunning && row.Holder.Holder == c.manager.self {
		// An earlier attempt of this incarnation whose reply was lost.
		return c.useGrant(epoch, row.Holder, &heldClaim{key, row})
	}
	c.unreserve(epoch)
	switch row.State {
	case StateRun, StateNotRun, StateUnknown:
		return decide(known.reply(c.req.Digest))
	case StateRunDropped:
		// The order ran; its holder may still have the response.
		if d := c.askHolder(ctx, row.Holder); d.Verdict == VerdictReplay {
			return d
		}
		return decide(OrderReply{State: StateRunDropped})
	default:
		return c.askHolder(ctx, row.Holder)
	}
}
