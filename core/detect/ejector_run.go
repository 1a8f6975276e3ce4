package detect

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// run reconciles the row with the assessments: at the start, when a peer
// reports a higher version, and on each tick. It also applies the changes that
// operators ask for.
func (e *Ejector) run(ctx context.Context) {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.operatorChanges:
			c.reply <- e.applyOperatorChange(c)
		case <-e.wake:
			e.reconcileWithBackoff(ctx, time.Now())
		case <-timer.C:
			e.reconcileWithBackoff(ctx, time.Now())
			timer.Reset(e.jitter(reconcileInterval))
		}
	}
}

// applyOperatorChange writes a change for an operator. It reads the row first
// if the copy is missing or stale.
func (e *Ejector) applyOperatorChange(c operatorChange) error {
	if e.cached.Load().ReadAt.IsZero() || e.stale {
		if err := e.read(c.ctx, time.Now()); err != nil {
			return err
		}
	}
	return e.write(c.ctx, c.change, time.Now())
}

// reconcileWithBackoff reconciles unless an earlier failure of the store is too
// recent: after each failure it waits for a growing, jittered pause. Condemned
// targets are avoided by the daemon meanwhile.
func (e *Ejector) reconcileWithBackoff(ctx context.Context, now time.Time) {
	if now.Before(e.retryAt) {
		return
	}
	if err := e.reconcile(ctx, now); err != nil && ctx.Err() == nil {
		e.retryAt = now.Add(e.retry.NextBackOff())
		return
	}
	e.retry.Reset()
}

// reconcile reads the row if the copy is stale, too old or older than a peer's,
// and writes the changes that are due by the latest assessment.
func (e *Ejector) reconcile(ctx context.Context, now time.Time) error {
	if e.stale || !now.Before(e.nextRead) || e.peerVersion.Load() > e.cached.Load().Version {
		if err := e.read(ctx, now); err != nil {
			return err
		}
	}
	latest := e.latest.Load()
	if latest == nil {
		return nil
	}
	a := &latest.Assessment
	if now.Sub(latest.at) > maxAssessmentAge {
		a = &Assessment{Service: a.Service, Signals: a.Signals, MedianLatency: a.MedianLatency}
	}
	e.trackCondemned(a, now)
	due, first := e.dueChanges(a, now)
	if !due {
		return nil
	}
	// Any daemon but the first in rank reads before it writes: reads are
	// cheaper than writes, and the first has most likely written by now.
	if !first {
		if err := e.read(ctx, now); err != nil {
			return err
		}
	}
	err := e.write(ctx, func(j Ejections) (Ejections, error) { return e.withDueChanges(j, a, now), nil }, now)
	if fault.Is(err, fault.StoreConflict) {
		return nil
	}
	return err
}

// trackCondemned updates the time since when each target is condemned without a
// break.
func (e *Ejector) trackCondemned(a *Assessment, now time.Time) {
	next := map[fleet.TargetID]time.Time{}
	for _, v := range a.Verdicts {
		if v.Action != Condemn {
			continue
		}
		next[v.Target] = now
		if t, ok := e.condemnedSince[v.Target]; ok {
			next[v.Target] = t
		}
	}
	e.condemnedSince = next
}

// dueChanges reports whether the copy of the row lacks a change that is due,
// and whether this daemon is the first to write it.
func (e *Ejector) dueChanges(a *Assessment, now time.Time) (due, first bool) {
	j := e.cached.Load().Ejections
	return e.withDueChanges(j, a, now).Sequence != j.Sequence, e.isFirstWriter(j, a, now)
}

// isFirstWriter reports whether this daemon is first in rank for a condemned
// target that is not listed, or for an entry whose trial is due or running.
// Entries by hand have no time of their trial and always count as due.
func (e *Ejector) isFirstWriter(j Ejections, a *Assessment, now time.Time) bool {
	for id := range e.condemnedSince {
		if _, ok := j.Find(id); !ok && e.rank(id) == 0 {
			return true
		}
	}
	for _, entry := range j.Entries {
		if e.rank(entry.Target) == 0 && (entry.Phase == PhaseTrial || !now.Before(entry.Until)) {
			return true
		}
	}
	return false
}

// withDueChanges returns the list with every change that is due at this daemon.
// A condemned target that the floor keeps in service is not added; it stays
// avoided.
func (e *Ejector) withDueChanges(j Ejections, a *Assessment, now time.Time) Ejections {
	by := string(e.writer)
	n := j
	if fitted := j.ApplySettings(a.Service, now); len(fitted.Entries) != len(j.Entries) {
		n = fitted
	}
	for _, entry := range n.Entries {
		n = e.withDuePhase(n, entry, a, now)
	}
	for _, v := range a.Verdicts {
		since, ok := e.condemnedSince[v.Target]
		if !ok || now.Sub(since) < e.writeDelay(v.Target) {
			continue
		}
		if next, err := n.Eject(a.Service, a.Signals, v, by, now); err == nil && len(next.Entries) > len(n.Entries) {
			n = next
		}
	}
	return n
}

// withDuePhase returns the list with the entry moved to its next phase, if that
// is due.
func (e *Ejector) withDuePhase(n Ejections, entry Ejection, a *Assessment, now time.Time) Ejections {
	switch entry.Phase {
	case PhaseEjected:
		if now.Before(entry.Until.Add(e.writeDelay(entry.Target))) {
			return n
		}
		if next, err := n.BeginTrial(a.Service, entry.Target, now); err == nil {
			return next
		}
	case PhaseTrial:
		passed, decided := e.trials.outcome(entry.Target, a.Service.Policy.Detection.SlowFactor, a.MedianLatency, now)
		if !decided {
			return n
		}
		if next, err := n.EndTrial(a.Service, entry.Target, passed, string(e.writer), now); err == nil {
			return next
		}
	}
	return n
}

// writeDelay returns how long this daemon waits for those before it in rank to
// change the row for the target.
func (e *Ejector) writeDelay(id fleet.TargetID) time.Duration {
	return time.Duration(e.rank(id)) * delayPerRank
}

// read fetches the row; a missing row is an empty list with version 0. The
// table is the authority on versions: a version that a peer reported and the
// table does not have is forgotten.
func (e *Ejector) read(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reported, before := e.peerVersion.Load(), e.cached.Load()
	row, err := e.table.Get(ctx, RowKey(e.service))
	switch {
	case fault.Is(err, fault.RowMissing):
		e.cached.CompareAndSwap(before, &CachedRow{Ejections: NewEjections(e.service), ReadAt: now})
	case err != nil:
		return err
	default:
		j, err := DecodeEjections(e.service, row.Value)
		if err != nil {
			return err
		}
		e.cacheIfNewer(CachedRow{Ejections: j, Version: row.Version, Value: row.Value, ReadAt: now})
	}
	e.peerVersion.CompareAndSwap(reported, e.cached.Load().Version)
	e.stale = false
	e.nextRead = now.Add(e.jitter(refreshInterval))
	return nil
}

// write applies a change to the row by compare-and-swap. After a lost reply,
// the write id in the row tells whether an earlier attempt took effect.
func (e *Ejector) write(ctx context.Context, change transition, now time.Time) error {
	var writeIDs []string
	replyLost := false
	for range writeAttempts {
		l := e.cached.Load()
		for _, id := range writeIDs {
			if l.HasWrite(id) {
				return nil
			}
		}
		next, err := change(l.Ejections)
		if err != nil || next.Sequence == l.Sequence {
			return err
		}
		id := e.newWriteID()
		writeIDs = append(writeIDs, id)
		err = e.compareAndSwap(ctx, next.WithWriteID(id), l.Version, id)
		switch {
		case err == nil:
			// Apply does not return the new version, so the row is read back.
			e.stale = true
			_ = e.read(ctx, now)
			return nil
		case fault.Is(err, fault.StoreUnavailable), fault.Is(err, fault.MessageInvalid):
			return err
		case !fault.Is(err, fault.StoreConflict):
			replyLost = true
		}
		e.stale = true
		if err := e.read(ctx, now); err != nil {
			return e.writeError(replyLost, err)
		}
	}
	return e.writeError(replyLost, fault.New(fault.StoreConflict, "ejection list of %s changed %d times", e.service, writeAttempts))
}

// writeError returns err, as fault.StoreAmbiguous if the reply to an attempt
// was lost.
func (e *Ejector) writeError(replyLost bool, err error) error {
	if replyLost {
		return fault.Wrap(err, fault.StoreAmbiguous, "ejection list of %s: change not confirmed yet", e.service)
	}
	return err
}

// compareAndSwap writes the list if the row still has the version.
func (e *Ejector) compareAndSwap(ctx context.Context, j Ejections, version uint64, id string) error {
	data, err := j.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := RowKey(e.service)
	return e.table.Apply(ctx, store.Tx{
		ID:    id,
		Conds: []store.Cond{{Key: key, Version: version}},
		Puts:  []store.Put{{Key: key, Value: data}},
	})
}
