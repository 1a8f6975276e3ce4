package main

import (
	"context"
	"time"
)

const (
	// drainTime is drain_ms of the bounds.
	drainTime = 2 * time.Second
	// stableTime is stable_window_ms of the bounds.
	stableTime = 3 * time.Second
)

// lateWriteThenOutage is the case of an upstream that drains. An earlier write of its entry
// takes effect late, and then the store is away.
func lateWriteThenOutage(r *Rig) (broken bool, err error) {
	r.PutConfig(1, 16384)
	if err := r.AddUpstreams("stock", 4, time.Now().Add(heartbeatInterval)); err != nil {
		return false, err
	}
	u, err := NewUpstream("stock-leaving", "stock", "a", r.Store, r.Record)
	if err != nil {
		return false, err
	}
	u.Ping()
	if err := r.StartFleet("a", "b"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	c := NewConsumers(r.Fleet, r.Record, "POST", "/order/1")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx, requestInterval)
	}()
	drained := r.playLeaving(u, c)
	stop()
	<-ended
	return r.reachedLate(u, c, drained), nil
}

// The times of the case, counted from the ping whose answer is lost.
const (
	quietFrom  = 2600 * time.Millisecond
	reportAt   = stableTime + 200*time.Millisecond
	quietUntil = reportAt + 1200*time.Millisecond
	// lateness is how late the store performs the write: 1 to 6 s are allowed.
	lateness = 5200 * time.Millisecond
	// downAt is before the upstream's next ping, which is due heartbeatInterval after the
	// second one that says it drains. Daemons have read the late write by then.
	downAt = reportAt + 2*heartbeatInterval - 100*time.Millisecond
	// endAt is when the upstream has ended its work and the case ends.
	endAt = reportAt + 13*time.Second
)

// playLeaving plays the pings of the upstream that leaves and the outage, and returns when
// the store had acknowledged that it drains.
func (r *Rig) playLeaving(u *Upstream, c *Consumers) (drained time.Time) {
	began := time.Now()
	await := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	if r.Trouble {
		u.PingLate(lateness)
	} else {
		u.Ping()
	}
	await(heartbeatInterval)
	u.Ping()
	await(quietFrom)
	c.SetPaused(true)
	await(2 * heartbeatInterval)
	u.Ping()
	await(reportAt)
	drained = u.Drain()
	await(quietUntil)
	c.SetPaused(false)
	await(reportAt + heartbeatInterval)
	u.Ping()
	await(downAt)
	if r.Trouble {
		r.outageUntil(time.Now().Add(outage))
		r.Store.Expire("servers", u.ID)
	}
	await(endAt)
	return drained
}

// reachedLate applies the rule DRAIN: no request that was sent later than drainTime after
// the acknowledgement reaches the upstream.
func (r *Rig) reachedLate(u *Upstream, c *Consumers, drained time.Time) bool {
	sentAt := c.SentAt()
	late := 0
	for _, run := range u.Runs() {
		if after := sentAt[run.ID].Sub(drained); after > drainTime {
			late++
			r.Record.Notef("%s was sent %.3f s after the acknowledgement, and %s ran it", run.ID, after.Seconds(), u.ID)
		}
	}
	r.Record.Notef("%d of %d requests at %s were sent later than %s after the acknowledgement that it leaves", late, len(u.Runs()), u.ID, drainTime)
	return late > 0
}

const (
	// silence is how long the store answers no call. The site files have 4.5 s.
	silence = 4400 * time.Millisecond
	// beforeLeaving is the time from a read of the daemons to the removal of the entry,
	// beforeOutage that from the removal to the outage.
	beforeLeaving = 100 * time.Millisecond
	beforeOutage  = 50 * time.Millisecond
	// touchMargin is added to stableTime before requests count.
	touchMargin = 50 * time.Millisecond
)

// leftBeforeOutage is the case of an upstream whose entry is removed just before the store
// is away. Its service has no requests until the daemons are in touch again.
func leftBeforeOutage(r *Rig) (broken bool, err error) {
	r.PutConfig(1, 16384)
	if err := r.AddUpstreams("stock", 4, time.Now().Add(heartbeatInterval)); err != nil {
		return false, err
	}
	u, err := NewUpstream("stock-leaving", "stock", "a", r.Store, r.Record)
	if err != nil {
		return false, err
	}
	u.Ping()
	if err := r.StartFleet("a", "b", "c"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	c := NewConsumers(r.Fleet, r.Record, "POST", "/order/1")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx, requestInterval)
	}()
	time.Sleep(stableTime)
	u.Ping()
	c.SetPaused(true)
	time.Sleep(time.Second)
	r.awaitListRead()
	time.Sleep(beforeLeaving)
	left := u.Leave()
	time.Sleep(beforeOutage)
	if r.Trouble {
		r.Store.SetSilent(true)
		r.Record.Notef("the store answers no call for %s", silence)
	}
	time.Sleep(silence)
	if r.Trouble {
		r.Store.SetSilent(false)
		r.Record.Notef("the store answers again")
	}
	time.Sleep(stableTime + touchMargin)
	c.SetPaused(false)
	time.Sleep(2 * time.Second)
	stop()
	<-ended
	return r.reachedLate(u, c, left), nil
}

// awaitListRead waits for the next call that reads the changes of the upstreams' entries.
func (r *Rig) awaitListRead() {
	read := make(chan struct{}, 1)
	r.Store.OnFeedCall(func(table string) {
		if table != "servers" {
			return
		}
		select {
		case read <- struct{}{}:
		default:
		}
	})
	<-read
	r.Store.OnFeedCall(nil)
}
