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
	speed latency
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

// load returns the work in flight of the whole fleet.
func (m *member) load(now time.Time) int {
	n := m.own
	for _, p := range m.peers {
		if now.Sub(p.asOf) < peerLoadTTL {
			n += p.count
		}
	}
	return n
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
