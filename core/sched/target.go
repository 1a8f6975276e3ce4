package sched

import (
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/judge"
)

// Key names one incarnation of a target.
type Key struct {
	ID string
	// Born is the Unix time in milliseconds at which the target started.
	Born int64
}

// Target is one back end as service discovery describes it.
type Target struct {
	Key
	Address    string
	DataCentre string
	// Slots is the number of requests the target works on at once.
	Slots int
	// WarmAt is when the target reaches its full speed after its start.
	WarmAt time.Time
}

// peerLoadTTL is how long a peer's work in flight counts after its last report.
const peerLoadTTL = 3 * time.Second

// peerLoad is the work in flight that one peer reported.
type peerLoad struct {
	count int
	asOf  time.Time
}

// member is a target with what is known of it.
type member struct {
	target Target
	belief judge.Belief
	// path is what this daemon alone knows of the way to the target.
	path  judge.Belief
	own   int
	peers map[string]peerLoad
	// peerCount is the work in flight of all peers as of countedAt.
	peerCount int
	countedAt time.Time
	// rate is the expected share of failures, used until rateUntil.
	rate      float64
	rateUntil time.Time
	speed     latency
	// shedAt is when the target last refused a request, usedAt when it last got one.
	shedAt time.Time
	// badAt is when the target last failed a request.
	badAt   time.Time
	usedAt  time.Time
	addedAt time.Time
	// servedAt is when the target last served a request of this daemon.
	servedAt time.Time
	// turn is this daemon's delay among those that keep the target at the floor.
	turn time.Duration
}

func newMember(t Target, now time.Time, near bool) *member {
	m := &member{target: t, peers: map[string]peerLoad{}, addedAt: now, turn: rand.N(turnSpan)}
	if !near {
		m.turn += turnSpan
	}
	return m
}

// loadCheck is how often the work in flight of peers is looked through for reports
// that no longer count.
const loadCheck = 100 * time.Millisecond

// load returns the work in flight of the whole fleet.
func (m *member) load(now time.Time) int {
	if now.Sub(m.countedAt) >= loadCheck {
		m.count(now)
	}
	return m.own + m.peerCount
}

// count adds up the work of peers that reported lately, and forgets the others.
func (m *member) count(now time.Time) {
	m.peerCount, m.countedAt = 0, now
	for name, p := range m.peers {
		if now.Sub(p.asOf) >= peerLoadTTL {
			delete(m.peers, name)
			continue
		}
		m.peerCount += p.count
	}
}

// setPeerLoad takes in the work in flight of a peer.
func (m *member) setPeerLoad(peer string, count int, now time.Time) {
	m.peerCount += count - m.peers[peer].count
	m.peers[peer] = peerLoad{count: count, asOf: now}
}

// rateTTL is how long an expected share of failures is used again: it is needed for
// every target when one is chosen.
const rateTTL = 10 * time.Millisecond

// failRate joins what the fleet knows of the target with what this daemon knows
// of the way to it.
func (m *member) failRate(model judge.Model, now time.Time) float64 {
	if now.Before(m.rateUntil) {
		return m.rate
	}
	m.rate = 1 - (1-m.belief.FailRate(model, now))*(1-m.path.FailRate(pathModel, now))
	m.rateUntil = now.Add(rateTTL)
	return m.rate
}

// evidenceChanged lets the expected share of failures be worked out anew.
func (m *member) evidenceChanged() {
	m.rateUntil = time.Time{}
}

const (
	// latencyWeight is the weight of a new sample in a mean latency.
	latencyWeight = 0.2
	// latencyMemory is the time constant with which a target's own latency is forgotten.
	latencyMemory = 5 * time.Second
)

// latency is a moving mean of the time that requests take.
type latency struct {
	mean time.Duration
	asOf time.Time
}

func (l *latency) add(now time.Time, d time.Duration) {
	if l.mean == 0 {
		l.mean = d
	}
	l.mean += time.Duration(latencyWeight * float64(d-l.mean))
	l.asOf = now
}

// quantile follows the time that only a small share of requests exceeds.
type quantile struct {
	value time.Duration
	share float64
}

// quantileStep is the relative step by which one sample moves a quantile.
const quantileStep = 0.1

func (q *quantile) add(d time.Duration) {
	if d > q.value {
		q.value += time.Duration(quantileStep * (1 - q.share) * float64(q.value))
		return
	}
	q.value -= time.Duration(quantileStep * q.share * float64(q.value))
}

// excess returns how much slower than usual the target was, less as time passes.
func (l *latency) excess(now time.Time, usual time.Duration) time.Duration {
	slower := l.mean - usual
	age := now.Sub(l.asOf)
	if l.mean == 0 || slower <= 0 || age >= latencyMemory {
		return 0
	}
	return time.Duration(float64(slower) * (1 - float64(age)/float64(latencyMemory)))
}
