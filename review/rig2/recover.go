package main

import (
	"context"
	"time"
)

const (
	// recovery is recovery_s of the bounds, minShare the share of requests that has to be
	// served later than that after the machines are back.
	recovery = 15 * time.Second
	minShare = 0.25
	// requestInterval is the time between two requests of the consumers.
	requestInterval = 25 * time.Millisecond
	calmTime        = 5 * time.Second
)

// recovered applies the rule RECOVER: of the requests sent later than recovery after the
// machines are back, a quarter or more is served, if a quarter or more was before.
func (r *Rig) recovered(c *Consumers, began, fault, back, end time.Time) bool {
	before, servedBefore := c.Share(began, fault)
	after, servedAfter := c.Share(back.Add(recovery), end)
	r.Record.Notef("before the final fault %d of %d requests were served", servedBefore, before)
	r.Record.Notef("later than %s after the machines were back %d of %d requests were served: %v", recovery, servedAfter, after, c.Outcomes(back.Add(recovery), end))
	if float64(servedBefore) < minShare*float64(before) {
		return true
	}
	return float64(servedAfter) >= minShare*float64(after)
}

const (
	// outage is how long the store is away each time. The site files have 8.0 s.
	outage = 8 * time.Second
	// outageAfter is when the first outage begins, after the machines are back.
	outageAfter = 2 * time.Second
	// betweenOutages is how long the store answers between the two.
	betweenOutages = 400 * time.Millisecond
	// pingAfterReturn is when the upstreams' next heartbeats come after the store's return.
	pingAfterReturn = time.Second
	upstreamCount   = 8
)

// storeAwayTwice is the case of a store that is away twice, with a short return in between.
func storeAwayTwice(r *Rig) (broken bool, err error) {
	r.PutConfig(1, 16384)
	firstPing := time.Now().Add(heartbeatInterval)
	if err := r.AddUpstreams("stock", upstreamCount, firstPing); err != nil {
		return false, err
	}
	if err := r.StartFleet("a", "a", "b", "b"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	c := NewConsumers(r.Fleet, r.Record, "GET", "/check/1")
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		c.run(ctx, requestInterval)
	}()
	time.Sleep(calmTime)
	r.PutConfig(2, 16384)
	fault := time.Now()
	back, err := r.finalFault()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(back.Add(outageAfter)))
	if r.Trouble {
		r.storeOutages(firstPing)
	} else {
		time.Sleep(2*outage + betweenOutages)
	}
	end := time.Now()
	time.Sleep(2 * time.Second)
	stop()
	<-ended
	return !r.recovered(c, began, fault, back, end), nil
}

// storeOutages makes the store unavailable twice. The first outage ends pingAfterReturn
// before the upstreams' next heartbeats, and is a little shorter than the second for that.
func (r *Rig) storeOutages(firstPing time.Time) {
	latest := time.Now().Add(outage + pingAfterReturn)
	ping := firstPing.Add(latest.Sub(firstPing).Truncate(heartbeatInterval))
	r.outageUntil(ping.Add(-pingAfterReturn))
	time.Sleep(betweenOutages)
	r.outageUntil(time.Now().Add(outage))
}

func (r *Rig) outageUntil(end time.Time) {
	r.Store.SetDown(true)
	r.Record.Notef("the store is down for %s", time.Until(end).Round(time.Millisecond))
	time.Sleep(time.Until(end))
	r.Store.SetDown(false)
	r.Record.Notef("the store answers again")
}

// largeHeaderLimit is the case of a configuration whose limit on heads stands for none.
func largeHeaderLimit(r *Rig) (broken bool, err error) {
	const noLimit = 1<<31 - 1
	r.PutConfig(1, 16384)
	if err := r.AddUpstreams("stock", upstreamCount, time.Now().Add(heartbeatInterval)); err != nil {
		return false, err
	}
	if err := r.StartFleet("a", "a", "b", "b"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	c := NewConsumers(r.Fleet, r.Record, "GET", "/check/1")
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		c.run(ctx, requestInterval)
	}()
	time.Sleep(calmTime)
	limit := int64(16384)
	if r.Trouble {
		limit = noLimit
	}
	r.PutConfig(2, limit)
	fault := time.Now()
	back, err := r.finalFault()
	if err != nil {
		return false, err
	}
	end := back.Add(recovery + 5*time.Second)
	time.Sleep(time.Until(end))
	stop()
	<-ended
	return !r.recovered(c, began, fault, back, end), nil
}
