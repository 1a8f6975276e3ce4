package sched

import (
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/judge"
)

// Key identifies one run of a target: a target that restarts gets a new key.
type Key struct {
	ID string
	// StartMillis is the Unix time in milliseconds at which the target started.
	StartMillis int64
}

// Target is one back end as reported by service discovery.
type Target struct {
	Key
	Address    string
	DataCentre string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// WarmAt is when the target reaches its full speed after a start.
	WarmAt time.Time
}

// peerLoadTTL is how long a peer's last report of its requests in flight is valid.
const peerLoadTTL = 3 * time.Second

// peerLoad is the number of requests in flight that one peer reported.
type peerLoad struct {
	count int
	asOf  time.Time
}

// member is a target of the pool with its observed state. Requests in flight are
// those at this target.
type member struct {
	target Target
	// estimate is the health of the target as seen by the whole fleet.
	estimate judge.Estimate
	// path is the health of the network path from this daemon to the target.
	path judge.Estimate
	// ownLoad is the number of this daemon's requests in flight.
	ownLoad   int
	peerLoads map[string]peerLoad
	// peerTotal is the number of requests in flight of all peers as of peerTotalAt.
	peerTotal   int
	peerTotalAt time.Time
	// cachedFailRate is the expected failure rate, valid until cachedUntil.
	cachedFailRate float64
	cachedUntil    time.Time
	latency        ewma
	refusals       refusals
	// shedAt is when the target last refused a request.
	shedAt time.Time
	// failedAt is when the target last failed a request.
	failedAt time.Time
	// usedAt is when any daemon last sent a request to the target.
	usedAt  time.Time
	addedAt time.Time
	// servedAt is when the target last served a request of this daemon.
	servedAt time.Time
	// removedAt is when the target was removed from the pool; zero while it belongs to
	// the pool.
	removedAt time.Time
	// jitter delays the requests that this daemon sends to keep the target in use,
	// so that only one of the daemons does so.
	jitter time.Duration
}

func newMember(t Target, now time.Time, local bool) *member {
	m := &member{target: t, peerLoads: map[string]peerLoad{}, addedAt: now, jitter: rand.N(floorJitter)}
	if !local {
		m.jitter += floorJitter
	}
	return m
}

// peerLoadInterval is how often expired reports are removed from the peers' load.
const peerLoadInterval = 100 * time.Millisecond

// load returns the number of requests that the whole fleet has in flight.
func (m *member) load(now time.Time) int {
	if now.Sub(m.peerTotalAt) >= peerLoadInterval {
		m.sumPeerLoads(now)
	}
	return m.ownLoad + m.peerTotal
}

// sumPeerLoads recomputes peerTotal and deletes expired reports.
func (m *member) sumPeerLoads(now time.Time) {
	m.peerTotal, m.peerTotalAt = 0, now
	for name, p := range m.peerLoads {
		if now.Sub(p.asOf) >= peerLoadTTL {
			delete(m.peerLoads, name)
			continue
		}
		m.peerTotal += p.count
	}
}

// setPeerLoad records the number of requests that a peer has in flight.
func (m *member) setPeerLoad(peer string, count int, now time.Time) {
	m.peerTotal += count - m.peerLoads[peer].count
	m.peerLoads[peer] = peerLoad{count: count, asOf: now}
}

// failRateTTL is how long a computed failure rate is reused. Each choice of a target
// needs the failure rate of every target.
const failRateTTL = 10 * time.Millisecond

// failRate returns the expected failure rate of a request from this daemon. It combines
// the health of the target, known to the fleet, with that of the path from this daemon.
func (m *member) failRate(model judge.Model, now time.Time) float64 {
	if now.Before(m.cachedUntil) {
		return m.cachedFailRate
	}
	m.cachedFailRate = 1 - (1-m.estimate.FailRate(model, now))*(1-m.path.FailRate(pathModel, now))
	m.cachedUntil = now.Add(failRateTTL)
	return m.cachedFailRate
}

// invalidateFailRate discards the cached failure rate.
func (m *member) invalidateFailRate() {
	m.cachedUntil = time.Time{}
}

const (
	// latencyWeight is the weight of a new sample in an [ewma].
	latencyWeight = 0.2
	// latencyDecayTime is the age at which a target's measured latency stops counting.
	latencyDecayTime = 5 * time.Second
)

// ewma is an exponentially weighted moving average of request latencies.
type ewma struct {
	mean time.Duration
	asOf time.Time
}

func (l *ewma) add(now time.Time, d time.Duration) {
	if l.mean == 0 {
		l.mean = d
	}
	l.mean += time.Duration(latencyWeight * float64(d-l.mean))
	l.asOf = now
}

// quantile estimates the latency that only tailShare of the requests exceed.
type quantile struct {
	value     time.Duration
	tailShare float64
}

// quantileStep scales the relative change of the estimate with each sample.
const quantileStep = 0.1

func (q *quantile) add(d time.Duration) {
	if d > q.value {
		q.value += time.Duration(quantileStep * (1 - q.tailShare) * float64(q.value))
		return
	}
	q.value -= time.Duration(quantileStep * q.tailShare * float64(q.value))
}

// excess returns how far the mean exceeds the usual latency. The result decreases
// linearly to zero with the age of the last sample.
func (l *ewma) excess(now time.Time, usual time.Duration) time.Duration {
	slower := l.mean - usual
	age := now.Sub(l.asOf)
	if l.mean == 0 || slower <= 0 || age >= latencyDecayTime {
		return 0
	}
	return time.Duration(float64(slower) * (1 - float64(age)/float64(latencyDecayTime)))
}
