package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/watch"
)

// listFollower keeps the target list fresh.
type listFollower struct {
	*Node
	schedule watch.Schedule
	// whole asks for the whole list instead of its changes.
	whole bool
}

func (f *listFollower) loop(ctx context.Context) {
	f.awaitPeers(ctx, f.listed.Load)
	f.whole = !f.listed.Load()
	for ctx.Err() == nil {
		version, asOf := f.list.Position()
		due := f.schedule.Due(asOf, f.list.HeardAt(), f.roster.Rank(time.Now()))
		if wait := time.Until(due); wait > 0 {
			pause(ctx, wait)
			continue
		}
		f.read(ctx, version)
	}
}

func (f *listFollower) read(ctx context.Context, version int64) {
	began := time.Now()
	delta, problems, err := f.call(ctx, version)
	if err != nil {
		f.whole = f.whole || fault.Is(err, fault.HistoryGone)
		f.schedule.Failed(time.Now())
		f.useOldList()
		if ctx.Err() == nil {
			_ = f.logger.Log("msg", "target list not read", "err", err, "version", version)
		}
		return
	}
	f.whole = false
	f.schedule.Succeeded()
	now := time.Now()
	f.listReadAt.Store(&now)
	for _, p := range problems {
		_ = f.logger.Log("msg", "target entry ignored", "err", p)
	}
	delta.Age = time.Since(began)
	applied := f.applyList(delta)
	if applied.Taken && delta.Since != 0 && f.tellsList(now) {
		delta.Changes = applied.Changes
		f.peers.TellList(delta)
	}
}

func (f *listFollower) call(ctx context.Context, version int64) (watch.Delta, []error, error) {
	if f.whole || version == 0 {
		return f.platform.ReadTargets(ctx)
	}
	return f.platform.PollTargets(ctx, version)
}

// listSilence is the time without a piece of the list from a peer after which a
// daemon that reads the list passes it on, whatever its rank.
const listSilence = time.Second

// tellsList reports whether this daemon passes on what it has read: the first does,
// and another one if nobody else seems to. Load pattern: hundreds of targets change at
// once and pieces of that are lost; every daemon that misses one reads the store for
// itself, and none of them has to tell all the others.
func (n *Node) tellsList(now time.Time) bool {
	if n.roster.Rank(now) == 0 {
		return true
	}
	heard := n.listPieceAt.Load()
	return heard == nil || now.Sub(*heard) >= listSilence
}
