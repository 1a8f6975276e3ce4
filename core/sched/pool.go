package sched

import (
	"sync"
	"time"

	"wisteriarelay.example/core/judge"
)

// defaultService is the mean time of a request before any was measured.
const defaultService = 200 * time.Millisecond

// Event is something that peers should know: a change of the work in flight at
// a target, or a result.
type Event struct {
	Service string
	Target  Key
	// InFlight is this daemon's work in flight at the target after the event.
	InFlight int
	Result   judge.Result
	// Latency is the time that a served request took.
	Latency time.Duration
}

// Pool holds the targets of one service.
type Pool struct {
	service    string
	dataCentre string
	model      judge.Model
	floor      float64
	emit       func(Event)

	mu      sync.Mutex
	members map[Key]*member
	usual   latency
	// slow is the time that one answered request in ten exceeds.
	slow  quantile
	queue queue
	// servedAt is when all waiters were last looked through.
	servedAt time.Time
	// asked counts the requests that asked for a target, weighed the targets that
	// were weighed for them.
	asked   uint64
	weighed uint64
	// tended are the data centres whose targets are looked after by their own daemons.
	tended map[string]bool
	// uninformed says that this daemon is not told the results of its peers.
	uninformed bool
}

// Option changes a Pool.
type Option func(*Pool)

// WithModel sets how spells of sickness are expected to go.
func WithModel(m judge.Model) Option {
	return func(p *Pool) { p.model = m }
}

// WithEmit sets the function that is told each event; it must not block.
func WithEmit(emit func(Event)) Option {
	return func(p *Pool) { p.emit = emit }
}

// DefaultModel expects spells of about ten seconds in a third of the time.
var DefaultModel = judge.Model{Spell: 10 * time.Second, Impaired: 0.05, Sick: 0.25, Silent: 0.5}

// NewPool returns a pool without targets for a daemon in the data centre.
func NewPool(service, dataCentre string, opts ...Option) *Pool {
	p := &Pool{
		service:    service,
		dataCentre: dataCentre,
		model:      DefaultModel,
		floor:      defaultFloor,
		emit:       func(Event) {},
		members:    map[Key]*member{},
		slow:       quantile{value: 2 * defaultService, share: judge.SlowShare},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetTargets replaces the targets that get work. What is known of a target
// that stays is kept.
func (p *Pool) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	members := make(map[Key]*member, len(targets))
	for _, t := range targets {
		m := p.members[t.Key]
		if m == nil {
			m = newMember(t, now, t.DataCentre == p.dataCentre)
		}
		m.target = t
		members[t.Key] = m
	}
	p.members = members
	p.serveQueue(now)
}

// SetInformed says whether this daemon is told the results of its peers; a pool
// expects so at first.
func (p *Pool) SetInformed(informed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uninformed = !informed
}

// SetTended sets the data centres whose targets are looked after by their own daemons:
// this one hears little of them, and has no duties there.
func (p *Pool) SetTended(dataCentres map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tended = dataCentres
}

// Informed reports whether this daemon is told the results of its peers.
func (p *Pool) Informed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.uninformed
}

// Size returns the number of targets.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// Slots returns the number of requests that all targets work on at once.
func (p *Pool) Slots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := 0
	for _, m := range p.members {
		slots += m.target.Slots
	}
	return slots
}

// Remove takes a target out at once, for example because another one answered
// at its address.
func (p *Pool) Remove(k Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.members, k)
}

// learn takes in a result that this daemon saw itself.
func (p *Pool) learn(m *member, now time.Time, r judge.Result, took time.Duration) {
	m.evidenceChanged()
	if r == judge.Unreached {
		m.path.Observe(pathModel, now, r)
		return
	}
	if r == judge.Shed {
		m.shedAt = now
	}
	if r.Good() {
		m.path.Observe(pathModel, now, judge.Served)
		m.servedAt = now
	}
	p.take(m, now, r, took)
}

// take takes in a result of any daemon.
func (p *Pool) take(m *member, now time.Time, r judge.Result, took time.Duration) {
	m.evidenceChanged()
	if r.Good() {
		m.speed.add(now, took)
		p.usual.add(now, took)
		p.slow.add(took)
	}
	m.observe(p.model, now, r, took)
	m.noteFailure(now, r)
	p.noteSilence(r, took)
}

const (
	// silenceWeight is the weight of one failure in the share of silent ones.
	silenceWeight = 0.05
	// leastSilence bounds that share from below, so that a first silent failure
	// after many others still counts.
	leastSilence = 0.15
)

// noteSilence follows which share of the failures is silent. Load pattern: in some
// services targets in a spell keep requests open until their deadline, in others
// they reset them at once, and then a slow request says nothing.
func (p *Pool) noteSilence(r judge.Result, took time.Duration) {
	if r != judge.Broken && r != judge.Failed {
		return
	}
	sample := 0.0
	if took > p.slow.value {
		sample = 1
	}
	p.model.Silent = max(p.model.Silent+silenceWeight*(sample-p.model.Silent), leastSilence)
}

// observe moves the belief. What was sent before the last failure and served
// after it says nothing of the target since: targets fail requests as they arrive.
func (m *member) observe(model judge.Model, now time.Time, r judge.Result, took time.Duration) {
	if r.Good() && now.Add(-took).Before(m.badAt) {
		return
	}
	m.belief.Observe(model, now, r)
}

// noteFailure remembers when the target last failed a request.
func (m *member) noteFailure(now time.Time, r judge.Result) {
	if r == judge.Broken || r == judge.Failed {
		m.badAt = now
	}
}

// Learn takes in an event of a peer. A peer that cannot reach a target says
// nothing about the way from here.
func (p *Pool) Learn(peer string, e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	m := p.members[e.Target]
	if m == nil {
		return
	}
	if !p.uninformed {
		m.setPeerLoad(peer, e.InFlight, now)
	}
	m.usedAt = now
	if e.Result == judge.Shed {
		m.shedAt = now
	}
	if e.Result != judge.Unreached {
		p.take(m, now, e.Result, e.Latency)
	}
	p.serveRoom(m, now)
}

// ServiceTime returns the mean time of a request.
func (p *Pool) ServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceTime()
}

// SlowAfter returns the time that one answered request in ten exceeds.
func (p *Pool) SlowAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow.value
}

func (p *Pool) serviceTime() time.Duration {
	if p.usual.mean == 0 {
		return defaultService
	}
	return p.usual.mean
}

// untried returns the number of targets that the request was not sent to yet.
func (p *Pool) untried(a Ask) int {
	n := 0
	for k := range p.members {
		if !a.tried(k) {
			n++
		}
	}
	return n
}
