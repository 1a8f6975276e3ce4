package sched

import (
	"sync"
	"time"

	"wisteriarelay.example/core/judge"
)

// defaultServiceTime is the mean latency assumed before the first measurement.
const defaultServiceTime = 200 * time.Millisecond

// Event tells the peers about a change in the number of requests in flight at a
// target, or about a result.
type Event struct {
	Service string
	Target  Key
	// InFlight is the number of this daemon's requests in flight at the target after
	// the event.
	InFlight int
	Result   judge.Result
	// Latency is the latency of a request that ended, zero otherwise.
	Latency time.Duration
}

// Pool holds the targets of one service and the queue of requests that wait for one.
type Pool struct {
	service    string
	dataCentre string
	model      judge.Model
	usageFloor float64
	emit       func(Event)

	mu      sync.Mutex
	members map[Key]*member
	// restrictions are what targets said of themselves.
	restrictions restrictions
	latency      ewma
	// slowThreshold is the latency that one answered request in ten exceeds.
	slowThreshold quantile
	queue         queue
	retryTimes    retryTimes
	// overtakenCheck finds waiters that cannot be served in time any more.
	overtakenCheck overtakenCheck
	// queueScannedAt is the time of the last scan over all waiters.
	queueScannedAt time.Time
	// requestCount counts the requests passed to Acquire, evaluatedCount the targets
	// whose cost was computed for them.
	requestCount   uint64
	evaluatedCount uint64
	// monitoredElsewhere holds the data centres whose targets only the daemons there
	// monitor.
	monitoredElsewhere map[string]bool
	// noPeerEvents says that this daemon does not receive the events of its peers.
	noPeerEvents bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithModel sets the model of the targets' failure episodes.
func WithModel(m judge.Model) Option {
	return func(p *Pool) { p.model = m }
}

// WithEmit sets the function that is called with each event; it must not block.
func WithEmit(emit func(Event)) Option {
	return func(p *Pool) { p.emit = emit }
}

// DefaultModel describes targets with episodes of about ten seconds that take up a
// third of the time.
var DefaultModel = judge.Model{EpisodeDuration: 10 * time.Second, DegradedShare: 0.05, FailingShare: 0.25, TimeoutShare: 0.5}

// NewPool returns a pool without targets for a daemon in the data centre.
func NewPool(service, dataCentre string, opts ...Option) *Pool {
	p := &Pool{
		service:       service,
		dataCentre:    dataCentre,
		model:         DefaultModel,
		usageFloor:    defaultUsageFloor,
		emit:          func(Event) {},
		members:       map[Key]*member{},
		slowThreshold: quantile{value: 2 * defaultServiceTime, tailShare: judge.SlowShare},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetTargets replaces the targets of the pool. Targets with the same key keep their
// observed state; withdrawn ones are left out.
func (p *Pool) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	members := make(map[Key]*member, len(targets))
	for _, t := range targets {
		if p.restrictions.isWithdrawn(t.Key, now) {
			continue
		}
		m := p.members[t.Key]
		if m == nil {
			m = newMember(t, now, t.DataCentre == p.dataCentre)
		}
		m.target = t
		members[t.Key] = m
	}
	for k, m := range p.members {
		if members[k] == nil {
			m.removedAt = now
		}
	}
	p.members = members
	p.scanQueue(now)
}

// SetReceivesPeerEvents sets whether this daemon receives the events of its peers. The
// default is true.
func (p *Pool) SetReceivesPeerEvents(receives bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noPeerEvents = !receives
}

// SetMonitoredElsewhere sets the data centres whose targets only the daemons there
// monitor. This daemon receives few events about these targets and does not keep them
// in use.
func (p *Pool) SetMonitoredElsewhere(dataCentres map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.monitoredElsewhere = dataCentres
}

// ReceivesPeerEvents reports whether this daemon receives the events of its peers.
func (p *Pool) ReceivesPeerEvents() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.noPeerEvents
}

// Size returns the number of targets.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// Slots returns the total number of slots of all targets.
func (p *Pool) Slots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := 0
	for _, m := range p.members {
		slots += m.target.Slots
	}
	return slots
}

// recordOwn records a result of one of this daemon's requests. Unreached is evidence
// about the network path only.
func (p *Pool) recordOwn(m *member, now time.Time, r judge.Result, took time.Duration) {
	m.invalidateFailRate()
	if r == judge.Unreached {
		m.path.Observe(pathModel, now, r)
		return
	}
	if r == judge.Shed {
		m.shedAt = now
	}
	if r.Success() {
		m.path.Observe(pathModel, now, judge.Served)
		m.servedAt = now
	}
	m.refusals.add(now, r)
	p.record(m, now, r, took)
}

// record records a result of a request of any daemon.
func (p *Pool) record(m *member, now time.Time, r judge.Result, took time.Duration) {
	m.invalidateFailRate()
	if r.Success() {
		m.latency.add(now, took)
		p.latency.add(now, took)
		p.slowThreshold.add(took)
	}
	m.updateEstimate(p.model, now, r, took)
	m.recordFailure(now, r)
	p.updateTimeoutShare(r, took)
}

const (
	// timeoutShareWeight is the weight of one failure in the model's TimeoutShare.
	timeoutShareWeight = 0.05
	// minTimeoutShare is the lower bound of the model's TimeoutShare, so that the first
	// timeout after many other failures still counts.
	minTimeoutShare = 0.15
)

// updateTimeoutShare updates the share of failures that are timeouts: those that take
// longer than slowThreshold. During an episode, targets of some services leave requests
// without a response until the deadline, while those of others reset them at once. With
// the latter, a slow request says nothing about its target.
func (p *Pool) updateTimeoutShare(r judge.Result, took time.Duration) {
	if r != judge.Broken && r != judge.Failed {
		return
	}
	sample := 0.0
	if took > p.slowThreshold.value {
		sample = 1
	}
	p.model.TimeoutShare = max(p.model.TimeoutShare+timeoutShareWeight*(sample-p.model.TimeoutShare), minTimeoutShare)
}

// updateEstimate updates the health of the target with a result. A success of a request
// that was sent before the target last failed is ignored: targets fail requests on
// arrival, so it is no evidence that the target has recovered.
func (m *member) updateEstimate(model judge.Model, now time.Time, r judge.Result, took time.Duration) {
	if r.Success() && now.Add(-took).Before(m.failedAt) {
		return
	}
	m.estimate.Observe(model, now, r)
}

// recordFailure sets failedAt if the result is a failure of the target.
func (m *member) recordFailure(now time.Time, r judge.Result) {
	if r == judge.Broken || r == judge.Failed {
		m.failedAt = now
	}
}

// ApplyPeerEvent applies an event of a peer. The result Unreached is ignored, because
// the peer's path to the target is not the path from here.
func (p *Pool) ApplyPeerEvent(peer string, e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	m := p.members[e.Target]
	if m == nil {
		return
	}
	if !p.noPeerEvents {
		m.setPeerLoad(peer, e.InFlight, now)
		// Other daemons are told of failures only, so that all results would look like
		// refusals to them.
		m.refusals.add(now, e.Result)
	}
	m.usedAt = now
	if e.Result == judge.Shed {
		m.shedAt = now
	}
	if e.Result != judge.Unreached {
		p.record(m, now, e.Result, e.Latency)
	}
	p.grantWaiting(e.Target, now)
}

// ServiceTime returns the mean latency of a request.
func (p *Pool) ServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceTime()
}

// SlowThreshold returns the latency that one answered request in ten exceeds.
func (p *Pool) SlowThreshold() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowThreshold.value
}

func (p *Pool) serviceTime() time.Duration {
	if p.latency.mean == 0 {
		return defaultServiceTime
	}
	return p.latency.mean
}
