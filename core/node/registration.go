package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

const (
	// registrationRetryDelay is the delay after a failed store call of the
	// registration.
	registrationRetryDelay = time.Second
	// registrationCheckSpread is the time over which the daemons of a fleet check whether a
	// new era of the store still has their rows.
	registrationCheckSpread = 3 * time.Second
)

// registration writes the daemon to the store and then reads the other members from
// it. This order ensures that of two daemons that start together at least one finds
// the other. It does both again if the store comes back from a copy without the row.
type registration struct {
	*Node
	// era is the latest era of the store which is known to have the row.
	era watch.Era
}

func (r *registration) loop(ctx context.Context) {
	r.retryUntilDone(ctx, r.register)
	if !r.membersKnown.Load() {
		r.retryUntilDone(ctx, r.loadMembers)
	}
	r.era = r.storeEra.earliest()
	for r.awaitEnd(ctx) {
		sleep(ctx, rand.N(registrationCheckSpread))
		r.retryUntilDone(ctx, r.check)
	}
}

// awaitEnd waits until the era has ended. It returns false if ctx ends before.
func (r *registration) awaitEnd(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.storeEra.ended(r.era):
		return true
	}
}

func (r *registration) retryUntilDone(ctx context.Context, step func(context.Context) bool) {
	for ctx.Err() == nil && !step(ctx) {
		sleep(ctx, registrationRetryDelay)
	}
}

// check looks for the row in the present era, and registers the daemon again without it.
func (r *registration) check(ctx context.Context) bool {
	era, _ := r.storeEra.latest()
	members, ok := r.readMembers(ctx)
	if !ok {
		return false
	}
	isSelf := func(m roster.Member) bool { return m.VM == r.self.VM && m.StartMillis == r.self.StartMillis }
	if !slices.ContainsFunc(members, isSelf) {
		_ = r.logger.Log("msg", "registration lost by the store", "era", era)
		if !r.register(ctx) || !r.loadMembers(ctx) {
			return false
		}
	}
	r.era = era
	return true
}

func (r *registration) loadMembers(ctx context.Context) bool {
	if _, ok := r.readMembers(ctx); !ok {
		return false
	}
	r.membersKnown.Store(true)
	r.gossip.SendHeartbeat()
	return true
}

// readMembers reads the members from the store and adds them to the roster.
func (r *registration) readMembers(ctx context.Context) ([]roster.Member, bool) {
	members, err := r.platform.ReadMembers(ctx)
	if err != nil {
		_ = r.logger.Log("msg", "members not read", "err", err)
		return nil, false
	}
	for _, m := range members {
		r.roster.Add(m)
	}
	return members, true
}

func (r *registration) register(ctx context.Context) bool {
	if err := r.platform.WriteMember(ctx, r.self); err != nil {
		_ = r.logger.Log("msg", "registration in the store failed", "err", err)
		return false
	}
	return true
}
