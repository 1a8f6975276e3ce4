package detect

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// run reads the row at the start, when a higher version is heard of and at the
// latest every rereadInterval, and carries due changes into it.
func (e *Ejector) run(ctx context.Context) {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-e.orders:
			o.reply <- e.obey(o)
		case <-e.wake:
			e.step(ctx, time.Now())
		case <-timer.C:
			e.step(ctx, time.Now())
			timer.Reset(e.spread(ejectorTick))
		}
	}
}

func (e *Ejector) obey(o order) error {
	if e.listing.Load().Read.IsZero() || e.stale {
		if err := e.read(o.ctx, time.Now()); err != nil {
			return err
		}
	}
	return e.write(o.ctx, o.change, time.Now())
}

// step does what is due. After a failure of the store it waits with growing,
// jittered pauses; the daemon avoids condemned targets meanwhile.
func (e *Ejector) step(ctx context.Context, now time.Time) {
	if now.Before(e.retryAt) {
		return
	}
	if err := e.attend(ctx, now); err != nil && ctx.Err() == nil {
		e.retryAt = now.Add(e.retry.NextBackOff())
		return
	}
	e.retry.Reset()
}

func (e *Ejector) attend(ctx context.Context, now time.Time) error {
	if e.stale || !now.Before(e.nextRead) || e.heard.Load() > e.listing.Load().Version {
		if err := e.read(ctx, now); err != nil {
			return err
		}
	}
	latest := e.latest.Load()
	if latest == nil {
		return nil
	}
	a := &latest.Assessment
	if now.Sub(latest.at) > assessmentHold {
		a = &Assessment{Service: a.Service, Signs: a.Signs, Typical: a.Typical}
	}
	e.remember(a, now)
	due, first := e.due(a, now)
	if !due {
		return nil
	}
	// A daemon that is not first reads before it writes: reads are cheaper
	// than writes, and the first one has most likely written by now.
	if !first {
		if err := e.read(ctx, now); err != nil {
			return err
		}
	}
	err := e.write(ctx, func(j Ejections) (Ejections, error) { return e.advance(j, a, now), nil }, now)
	if fault.Is(err, fault.StoreConflict) {
		return nil
	}
	return err
}

// remember notes since when targets are condemned without a break.
func (e *Ejector) remember(a *Assessment, now time.Time) {
	next := map[fleet.TargetID]time.Time{}
	for _, v := range a.Verdicts {
		if v.Action != Condemn {
			continue
		}
		next[v.Target] = now
		if t, ok := e.condemned[v.Target]; ok {
			next[v.Target] = t
		}
	}
	e.condemned = next
}

// due reports whether the row in use lacks a change, and whether this daemon
// is the first to make it.
func (e *Ejector) due(a *Assessment, now time.Time) (due, first bool) {
	j := e.listing.Load().Ejections
	return e.advance(j, a, now).Sequence != j.Sequence, e.isFirst(j, a, now)
}

func (e *Ejector) isFirst(j Ejections, a *Assessment, now time.Time) bool {
	for id := range e.condemned {
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

// advance applies every change that is due at this daemon. A target that the
// floor keeps in service is left out and stays avoided.
func (e *Ejector) advance(j Ejections, a *Assessment, now time.Time) Ejections {
	by := string(e.writer)
	n := j
	if fitted := j.Fit(a.Service, now); len(fitted.Entries) != len(j.Entries) {
		n = fitted
	}
	for _, entry := range n.Entries {
		n = e.advanceEntry(n, entry, a, now)
	}
	for _, v := range a.Verdicts {
		since, ok := e.condemned[v.Target]
		if !ok || now.Sub(since) < e.wait(v.Target) {
			continue
		}
		if next, err := n.Eject(a.Service, a.Signs, v, by, now); err == nil && len(next.Entries) > len(n.Entries) {
			n = next
		}
	}
	return n
}

func (e *Ejector) advanceEntry(n Ejections, entry Ejection, a *Assessment, now time.Time) Ejections {
	switch entry.Phase {
	case PhaseEjected:
		if now.Before(entry.Until.Add(e.wait(entry.Target))) {
			return n
		}
		if next, err := n.BeginTrial(a.Service, entry.Target, now); err == nil {
			return next
		}
	case PhaseTrial:
		passed, decided := e.trials.outcome(entry.Target, a.Service.Policy.Detection.SlowFactor, a.Typical, now)
		if !decided {
			return n
		}
		if next, err := n.TrialResult(a.Service, entry.Target, passed, string(e.writer), now); err == nil {
			return next
		}
	}
	return n
}

func (e *Ejector) wait(id fleet.TargetID) time.Duration {
	return time.Duration(e.rank(id)) * dutyDelay
}

// read fetches the row; a missing row is an empty list with version 0. The
// table decides about versions that peers report: one that it does not have is
// forgotten.
func (e *Ejector) read(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	heard, before := e.heard.Load(), e.listing.Load()
	row, err := e.table.Get(ctx, RowKey(e.service))
	switch {
	case fault.Is(err, fault.RowMissing):
		e.listing.CompareAndSwap(before, &Listing{Ejections: NewEjections(e.service), Read: now})
	case err != nil:
		return err
	default:
		j, err := DecodeEjections(e.service, row.Value)
		if err != nil {
			return err
		}
		e.adopt(Listing{Ejections: j, Version: row.Version, Value: row.Value, Read: now})
	}
	e.heard.CompareAndSwap(heard, e.listing.Load().Version)
	e.stale = false
	e.nextRead = now.Add(e.spread(rereadInterval))
	return nil
}

// write carries a change into the row by compare-and-swap. The write id in the
// row tells, after a lost reply, whether an earlier attempt took effect.
func (e *Ejector) write(ctx context.Context, change transition, now time.Time) error {
	var ids []string
	lost := false
	for range writeAttempts {
		l := e.listing.Load()
		for _, id := range ids {
			if l.Has(id) {
				return nil
			}
		}
		next, err := change(l.Ejections)
		if err != nil || next.Sequence == l.Sequence {
			return err
		}
		id := e.changeID()
		ids = append(ids, id)
		err = e.apply(ctx, next.Stamp(id), l.Version, id)
		switch {
		case err == nil:
			// Apply does not tell the new version, so the row is read back.
			e.stale = true
			_ = e.read(ctx, now)
			return nil
		case fault.Is(err, fault.StoreUnavailable), fault.Is(err, fault.MessageInvalid):
			return err
		case !fault.Is(err, fault.StoreConflict):
			lost = true
		}
		e.stale = true
		if err := e.read(ctx, now); err != nil {
			return e.unresolved(lost, err)
		}
	}
	return e.unresolved(lost, fault.New(fault.StoreConflict, "ejection list of %s changed %d times", e.service, writeAttempts))
}

func (e *Ejector) unresolved(lost bool, err error) error {
	if lost {
		return fault.Wrap(err, fault.StoreAmbiguous, "ejection list of %s: change not confirmed yet", e.service)
	}
	return err
}

func (e *Ejector) apply(ctx context.Context, j Ejections, version uint64, id string) error {
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
