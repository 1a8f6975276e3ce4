package sched

import (
	"time"

	"wisteriarelay.example/core/fault"
)

const (
	// withdrawnTTL is how long a withdrawn target is remembered. It outlasts any entry of
	// the target in an old target list.
	withdrawnTTL = 10 * time.Minute
	// maxWithdrawn is the largest number of withdrawn targets that are remembered.
	maxWithdrawn = 4096
	// maxBackoff limits how long a target may ask for no requests.
	maxBackoff = time.Minute
)

// restrictions are what targets said of themselves in their responses. They hold whatever
// the target list says, for one run of a target each.
type restrictions struct {
	// withdrawn holds when a target said that it leaves, or was found to be replaced.
	withdrawn map[Key]time.Time
	// backoff holds until when a target wants no requests.
	backoff map[Key]time.Time
}

// backingOff reports whether the target wants no requests now.
func (r *restrictions) backingOff(k Key, now time.Time) bool {
	return now.Before(r.backoff[k])
}

// setBackoff records that the target wants no requests until a time. An earlier one that
// ends later stays in force.
func (r *restrictions) setBackoff(k Key, now, until time.Time) {
	if r.backoff == nil {
		r.backoff = map[Key]time.Time{}
	}
	for other, end := range r.backoff {
		if !now.Before(end) {
			delete(r.backoff, other)
		}
	}
	if until.After(r.backoff[k]) {
		r.backoff[k] = until
	}
}

// withdraw records that the target must get no further requests.
func (r *restrictions) withdraw(k Key, now time.Time) {
	if r.withdrawn == nil {
		r.withdrawn = map[Key]time.Time{}
	}
	r.forgetWithdrawn(now)
	r.withdrawn[k] = now
}

// forgetWithdrawn forgets the targets that were withdrawn withdrawnTTL ago, and the oldest
// one if there are too many.
func (r *restrictions) forgetWithdrawn(now time.Time) {
	var oldest Key
	for k, at := range r.withdrawn {
		if now.Sub(at) >= withdrawnTTL {
			delete(r.withdrawn, k)
			continue
		}
		if first, ok := r.withdrawn[oldest]; !ok || at.Before(first) {
			oldest = k
		}
	}
	if len(r.withdrawn) >= maxWithdrawn {
		delete(r.withdrawn, oldest)
	}
}

// isWithdrawn reports whether the target must get no requests.
func (r *restrictions) isWithdrawn(k Key, now time.Time) bool {
	at, ok := r.withdrawn[k]
	return ok && now.Sub(at) < withdrawnTTL
}

// Withdraw removes a target for good, because it said that it leaves or another one
// answered at its address. It reports whether that was news. The target list cannot bring
// this run of the target back.
func (p *Pool) Withdraw(k Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.restrictions.isWithdrawn(k, now) {
		return false
	}
	p.restrictions.withdraw(k, now)
	if m := p.members[k]; m != nil {
		m.removedAt = now
		delete(p.members, k)
	}
	p.refuseHopeless(now)
	return true
}

// Backoff lets a target get no requests for some time, because it asked for it. It
// returns when that ends.
func (p *Pool) Backoff(k Key, d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.restrictions.setBackoff(k, now, now.Add(min(d, maxBackoff)))
	p.refuseHopeless(now)
	return p.restrictions.backoff[k]
}

// AvailableIn returns the time until the first target may get requests; 0 if one may now,
// or if there is no target.
func (p *Pool) AvailableIn() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	at, ok := p.availableAt(Request{}, now)
	if !ok {
		return 0
	}
	return at.Sub(now)
}

// availableAt returns when the first target to which the request was not sent yet may get
// requests, and false if there is no such target.
func (p *Pool) availableAt(req Request, now time.Time) (at time.Time, ok bool) {
	for k := range p.members {
		if req.hasTried(k) {
			continue
		}
		end := now
		if p.restrictions.backingOff(k, now) {
			end = p.restrictions.backoff[k]
		}
		if !ok || end.Before(at) {
			at, ok = end, true
		}
	}
	return at, ok
}

// checkAvailable fails with fault.NoTarget if no target to which the request was not sent
// yet may get requests now. It does not wait for one: all of them are overloaded, and the
// caller is told when to come back.
func (p *Pool) checkAvailable(req Request, now time.Time) error {
	at, ok := p.availableAt(req, now)
	switch {
	case !ok:
		return fault.New(fault.NoTarget, "service %s has no further target", p.service)
	case at.After(now):
		return fault.New(fault.NoTarget, "all targets of service %s ask for no requests for %s", p.service, at.Sub(now))
	}
	return nil
}

// refuseHopeless ends the wait of requests that no target may get now.
func (p *Pool) refuseHopeless(now time.Time) {
	var hopeless []*waiter
	for _, l := range p.queue.levels {
		for w := range l.inOrder() {
			if err := p.checkAvailable(w.request, now); err != nil {
				w.refused <- err
				hopeless = append(hopeless, w)
			}
		}
	}
	for _, w := range hopeless {
		p.queue.remove(w)
	}
}
