package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/retry"
)

const (
	// upkeepInterval is the time between two rounds of upkeep.
	upkeepInterval = 100 * time.Millisecond
	// registerRetry is the wait after a failed registration.
	registerRetry = time.Second
)

// upkeep renews what follows from the passing of time.
type upkeep struct{ *Node }

func (u *upkeep) loop(ctx context.Context) {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	for {
		if u.list.Expire(time.Now()) {
			u.renewTargets()
		}
		u.refresh()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// refresh renews what follows from the configuration, the targets and the peers.
// The daemon becomes ready only with its part of the retry budget, which needs its
// own place among the daemons first.
func (n *Node) refresh() {
	able := n.relay.Table() != nil && n.listed.Load()
	leaving := n.leaving.Load()
	n.roster.SetSelf(able && !leaving, leaving)
	n.share()
	if able {
		n.prepared.open()
	}
}

// share deals out the fleet's budget of extra sends among the carriers of each
// service, and says which services this daemon hears results of.
func (n *Node) share() {
	t := n.relay.Table()
	if t == nil {
		return
	}
	now := time.Now()
	plan := n.plan()
	start := n.startKind(now)
	for _, s := range t.Services() {
		group, cores := plan.Group(s)
		carries := n.roster.Carries(now, group, cores)
		n.relay.Pool(s).SetInformed(carries)
		n.relay.Pool(s).SetTended(n.tended(n.group(s)))
		part := retry.PartOf(1, start)
		part.Slack = 0
		if carries {
			part = retry.PartOf(len(n.roster.Group(now, group, cores))+1, start)
		}
		n.relay.SetPart(s, part)
	}
}

// startKind returns how this run began, as far as the retry budget is concerned.
func (n *Node) startKind(now time.Time) retry.Start {
	s := n.settings.Load()
	switch {
	case s.FirstStart || now.Sub(n.startedAt) >= seconds(s.RetryBudget.SpanSeconds):
		return retry.Settled
	case n.roster.YoungerThanMost():
		return retry.Alone
	default:
		return retry.WithFleet
	}
}

// registration writes the daemon into the store and then reads the others from
// it. In this order at least one of two daemons that start together finds the other.
type registration struct{ *Node }

func (r *registration) loop(ctx context.Context) {
	r.until(ctx, r.write)
	if !r.acquainted.Load() {
		r.until(ctx, r.read)
	}
}

func (r *registration) until(ctx context.Context, step func(context.Context) bool) {
	for ctx.Err() == nil && !step(ctx) {
		pause(ctx, registerRetry)
	}
}

func (r *registration) read(ctx context.Context) bool {
	members, err := r.platform.ReadMembers(ctx)
	if err != nil {
		_ = r.logger.Log("msg", "members not read", "err", err)
		return false
	}
	for _, m := range members {
		r.roster.Add(m)
	}
	r.acquainted.Store(true)
	r.peers.Beat()
	return true
}

func (r *registration) write(ctx context.Context) bool {
	if err := r.platform.WriteMember(ctx, r.self); err != nil {
		_ = r.logger.Log("msg", "registration not written", "err", err)
		return false
	}
	return true
}
