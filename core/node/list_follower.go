package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/watch"
)

// eraReadInterval is the time between two reads of the whole list because of a later era of
// the store, if the first one did not return a list of it.
const eraReadInterval = 800 * time.Millisecond

// targetListFollower keeps the target list up to date with the store.
type targetListFollower struct {
	*Node
	schedule watch.Schedule
	// historyLost is the position from which the store cannot tell the changes, so that the
	// whole list is read.
	historyLost watch.Position
	// era is the latest era of the store that the schedule takes into account.
	era watch.Era
	// wholeReadAt is when the whole list was last read.
	wholeReadAt time.Time
}

func (f *targetListFollower) loop(ctx context.Context) {
	f.waitForPeers(ctx, f.listLoaded.Load)
	for ctx.Err() == nil {
		f.followEra()
		if wait := time.Until(f.due()); wait > 0 {
			f.wait(ctx, wait)
			continue
		}
		position, _ := f.targetList.Position()
		f.read(ctx, position)
	}
}

// followEra ends the backoff after failed reads if a later era is known: the store could be
// read.
func (f *targetListFollower) followEra() {
	if era, _ := f.storeEra.latest(); era > f.era {
		f.era = era
		f.schedule.EndBackoff()
	}
}

// due returns when the next read is due.
func (f *targetListFollower) due() time.Time {
	rank := f.roster.ReaderRank(time.Now())
	position, asOf := f.targetList.Position()
	if f.storeEra.hasEnded(position.Era) {
		return f.schedule.EraDue(f.eraReadStart(), rank)
	}
	due := f.schedule.Due(asOf, f.targetList.RenewedAt(), rank)
	check := f.targetList.CheckDue()
	if check.IsZero() {
		return due
	}
	if checkDue := f.schedule.CheckDue(check, rank); checkDue.Before(due) {
		return checkDue
	}
	return due
}

// eraReadStart returns the time from which on the whole list is read because of a later era:
// when that was noticed, or some time after a read that did not return a list of it.
func (f *targetListFollower) eraReadStart() time.Time {
	_, noticedAt := f.storeEra.latest()
	if f.wholeReadAt.Before(noticedAt) {
		return noticedAt
	}
	return f.wholeReadAt.Add(eraReadInterval)
}

// wait waits for the duration, until a peer sends changes of a list that this daemon cannot
// apply, or until a later era is known.
func (f *targetListFollower) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.storeEra.ended(f.era):
	case <-f.listReadRequests:
		f.schedule.EndBackoff()
	}
}

// requestListRead ends the backoff after failed reads of the target list.
func (n *Node) requestListRead() {
	select {
	case n.listReadRequests <- struct{}{}:
	default:
	}
}

// read reads the changes after the position, or the whole list, applies them and sends
// them to the peers if this is up to this daemon.
func (f *targetListFollower) read(ctx context.Context, position watch.Position) {
	r := f.fetch(ctx, position)
	if r.err != nil {
		f.failed(ctx, r)
		return
	}
	f.historyLost = watch.Position{}
	f.schedule.Succeeded()
	now := time.Now()
	f.listReadAt.Store(&now)
	if r.full {
		f.wholeReadAt = now
	}
	for _, p := range r.problems {
		_ = f.logger.Log("msg", "target entry ignored", "err", p)
	}
	applied := f.applyList(fromStore, r.delta)
	if !applied.Accepted() {
		f.rejected(position, applied.Rejection)
		return
	}
	if position.Version == 0 || !f.sendsList(now) {
		return
	}
	if applied.EraStart != nil {
		f.sendFirstList()
		return
	}
	f.sendListChanges(position)
}

// rejected prepares the next read after one whose result does not fit the list.
func (f *targetListFollower) rejected(position watch.Position, reason watch.Rejection) {
	f.schedule.Rejected(time.Now())
	if reason == watch.EraGap {
		f.historyLost = position
	}
}

// fetch reads the changes after the position from the store, or the whole list if they
// cannot be had. After a failed read it probes the store.
func (f *targetListFollower) fetch(ctx context.Context, position watch.Position) *listRead {
	full := position == f.historyLost || f.storeEra.hasEnded(position.Era)
	r := listRead{platform: f.platform, since: position, full: full}
	if interval, probes := f.schedule.ProbeInterval(f.roster.ReaderRank(time.Now())); probes {
		return newListProbe(r, interval).first(ctx)
	}
	r.do(ctx)
	return &r
}

// failed records a failed read.
func (f *targetListFollower) failed(ctx context.Context, r *listRead) {
	if fault.Is(r.err, fault.HistoryGone) {
		f.historyLost = r.since
	}
	f.schedule.Failed(r.backoffFrom, f.roster.ReaderRank(time.Now()))
	f.applyStaleList()
	if ctx.Err() == nil {
		_ = f.logger.Log("msg", "target list not read", "err", r.err, "version", r.since.Version)
	}
}
