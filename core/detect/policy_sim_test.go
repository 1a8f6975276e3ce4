package detect

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/fleet"
)

// The simulation runs one service with six carriers on a virtual clock.
const (
	simWork     = 100 * time.Millisecond
	simSpread   = 0.4 // standard deviation of the logarithm of the work
	simQueue    = 16
	simDeadline = 2 * time.Second
	simDial     = time.Second
	simProbe    = 25 * time.Millisecond
	simAssess   = 500 * time.Millisecond
	simWrite    = 20 * time.Millisecond
	simReport   = 3 * time.Second
	simSuspect  = time.Second
	simWarm     = 30 * time.Second
	simErrors   = 0.01 // share of requests that fail at a healthy target
	simCarriers = 6
)

type simPolicy string

const (
	productPolicy     simPolicy = "product"
	consecutivePolicy simPolicy = "consecutive"
	localPolicy       simPolicy = "local"
)

// ill is how a target treats a request.
type ill struct {
	res    Result
	share  float64 // of requests with that result
	slow   float64 // factor on the work
	dead   bool    // probes fail too
	unruly bool    // failure inside a 200 without a body-failure rule
}

// simCase is one scenario; sick gives a target's condition, if it has one.
type simCase struct {
	name    string
	targets int
	preset  fleet.Detection
	load    float64 // share of capacity
	span    time.Duration
	sick    func(target, carrier int, since time.Duration) (ill, bool)
	// faulty targets are those whose ejection is right; all carriers must
	// stop using them unless only one is cut off.
	faulty  int
	oneWay  bool
	trust   float64 // weight of the work in flight that peers report
	restart bool    // target 0 is away before the fault time and comes back cold
}

type simCarrier struct {
	n        int
	rec      *Recorder
	service  *Service
	ejector  *Ejector
	pending  [][]Row
	verdicts []Verdict
	states   []TargetState
	inFlight []int
	peers    [][]int // by carrier, as last reported
	fails    []int   // in a row
	out      []time.Duration
	next     int
	trying   map[int]bool
	reported time.Duration
	probed   []time.Duration
	probing  []bool
}

type simResult struct {
	detection                   []time.Duration
	falseEjections, falseAvoids float64
	failed, requests, probes    int
	floorViolations             int
}

type sim struct {
	c        simCase
	policy   simPolicy
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	count    int
	svc      *fleet.Service
	targets  []*simTarget
	carriers []*simCarrier
	signs    LeavingSignals
	detected []time.Duration
	retries  int
	held     map[[2]int]State
	simResult
}

func newSim(c simCase, p simPolicy, seed uint64) *sim {
	s := &sim{c: c, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), svc: testService(c.targets), signs: LeavingSignals{}, held: map[[2]int]State{}}
	s.svc.Policy.Detection = c.preset
	if p == localPolicy {
		s.svc.Policy.Detection.MinObservers = 1
	}
	s.detected = make([]time.Duration, c.faulty)
	shared := &fakeTable{}
	for range c.targets {
		s.targets = append(s.targets, &simTarget{})
	}
	for i := range simCarriers {
		k := &simCarrier{
			n: i, rec: NewRecorder(s.svc), service: NewService(s.svc, vmName(i)), inFlight: make([]int, c.targets),
			peers: make([][]int, simCarriers), fails: make([]int, c.targets), out: make([]time.Duration, c.targets),
			trying: map[int]bool{}, probed: make([]time.Duration, c.targets), probing: make([]bool, c.targets), next: i,
		}
		table, rank := shared, func(id fleet.TargetID) int { return (i + simCarriers - int(id[0]-'a')%simCarriers) % simCarriers }
		if p == localPolicy {
			table, rank = &fakeTable{}, func(fleet.TargetID) int { return 0 }
		} else {
			k.service.SetCarriers(benchCarriers())
		}
		k.ejector = NewEjector(s.svc.ID, fleet.Incarnation(vmName(i)), table.table(), WithRank(rank))
		k.ejector.jitter = func(d time.Duration) time.Duration { return d }
		k.states = States(s.svc, NewEjections(s.svc.ID), nil, nil, nil, s.time())
		s.carriers = append(s.carriers, k)
	}
	return s
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) run() simResult {
	s.after(0, s.arrive)
	for _, k := range s.carriers {
		s.after(time.Duration(s.rng.Int64N(int64(simAssess))), func() { s.tick(k) })
	}
	for len(s.events) > 0 && s.now < simWarm+s.c.span {
		e := s.events.next()
		s.now = e.at
		e.do()
	}
	for _, at := range s.detected {
		if at == 0 {
			at = s.c.span
		}
		s.detection = append(s.detection, at)
	}
	return s.simResult
}

func (s *sim) condition(target, carrier int) (ill, bool) {
	if s.now < simWarm || s.c.sick == nil {
		return ill{}, false
	}
	return s.c.sick(target, carrier, s.now-simWarm)
}

// arrive starts one request at a random carrier and plans the next.
func (s *sim) arrive() {
	rate := s.c.load * float64(s.c.targets) * 2 / simWork.Seconds()
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.requests++
	s.try(s.carriers[s.rng.IntN(simCarriers)], 1, -1, s.now+simDeadline)
}

func (s *sim) try(k *simCarrier, attempt, exclude int, deadline time.Duration) {
	i := s.pick(k, exclude)
	if i < 0 {
		s.failed++
		return
	}
	start := s.now
	k.inFlight[i]++
	s.send(k, i, deadline, func(res Result, good bool) {
		k.inFlight[i]--
		s.observe(k, i, res, s.now-start)
		switch {
		case good:
		case res != OK && attempt == 1 && s.now < deadline && 10*s.retries < s.requests+100:
			s.retries++
			s.try(k, 2, i, deadline)
		default:
			s.failed++
		}
	})
}

func (s *sim) observe(k *simCarrier, i int, res Result, latency time.Duration) {
	id := targetName(i)
	k.rec.Record(id, res, latency)
	if k.trying[i] {
		k.trying[i] = false
		k.ejector.Trial(id, res, latency)
	}
	switch {
	case res == OK:
		k.fails[i] = 0
	case res.IsFailure():
		k.fails[i]++
	}
	if s.policy == consecutivePolicy && k.fails[i] >= 5 && k.out[i] <= s.now {
		k.out[i], k.fails[i] = s.now+30*time.Second, 0
		s.note(k.n, i, Ejected)
	}
}

// pick is round robin for consecutive errors; else the least work in flight,
// by weight, with avoided targets last.
func (s *sim) pick(k *simCarrier, exclude int) int {
	n := s.c.targets
	if s.policy == consecutivePolicy {
		for range n {
			k.next = (k.next + 1) % n
			if k.out[k.next] <= s.now && k.next != exclude && !s.away(k.next) {
				return k.next
			}
		}
		return s.rng.IntN(n)
	}
	best, bestCost := -1, math.Inf(1)
	for i, st := range k.states {
		if i == exclude {
			continue
		}
		cost := s.rng.Float64()/8 + float64(k.inFlight[i])
		for _, p := range k.peers {
			if p != nil {
				cost += float64(p[i]) * s.c.trust
			}
		}
		cost = (cost + 1) / st.Weight
		switch st.State {
		case Ejected, Leaving:
			continue
		case Avoided:
			cost += 2 * simQueue
		case Trial:
			prober := i%simCarriers == k.n || s.policy == localPolicy
			if prober && !k.trying[i] && exclude < 0 {
				k.trying[i] = true
				return i
			}
			continue
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (s *sim) away(i int) bool {
	_, ok := s.signs[targetName(i)]
	return ok
}

func (s *sim) restartTarget() {
	switch {
	case s.c.restart && s.now < simWarm && s.now > simWarm/2:
		s.signs = LeavingSignals{targetName(0): {Since: s.time()}}
	case s.now >= simWarm:
		s.signs = LeavingSignals{}
	}
}

// tick assesses, reports and probes for one carrier.
func (s *sim) tick(k *simCarrier) {
	s.after(simAssess, func() { s.tick(k) })
	s.restartTarget()
	rows := k.rec.Drain()
	if s.policy == consecutivePolicy {
		s.watch(k)
		return
	}
	now := s.time()
	k.service.Follow(k.ejector.Current().Ejections, s.signs, now)
	k.service.Add(vmName(k.n), carrierDCs[k.n], rows, now)
	k.pending = append(k.pending, rows)
	k.verdicts = k.service.Assess(now)
	k.ejector.submit(Assessment{Service: s.svc, Verdicts: k.verdicts, Signs: s.signs, Typical: k.service.Typical()}, now)
	s.after(simWrite, func() {
		_ = k.ejector.reconcile(context.Background(), s.time())
		s.useStates(k)
	})
	s.useStates(k)
	s.report(k)
	s.probe(k)
	s.watch(k)
}

func (s *sim) useStates(k *simCarrier) {
	k.states = States(s.svc, k.ejector.Current().Ejections, s.signs, k.verdicts, k.service.Started(), s.time())
	for i, st := range k.states {
		s.note(k.n, i, st.State)
	}
}

func (s *sim) report(k *simCarrier) {
	interval := simReport
	if len(k.service.Suspects()) > 0 {
		interval = simSuspect
	}
	if s.policy == localPolicy || s.now-k.reported < interval-simAssess/2 {
		return
	}
	k.reported = s.now
	data := EncodeRows(NewRoster(s.svc), MergeRows(k.pending...))
	k.pending = nil
	row, flight := k.ejector.Current(), append([]int(nil), k.inFlight...)
	s.after(time.Millisecond, func() {
		for _, p := range s.carriers {
			if p != k {
				_ = p.service.AddWire(vmName(k.n), carrierDCs[k.n], data, s.time())
				p.peers[k.n] = flight
				p.ejector.Hear(row.Version)
			}
		}
	})
}

func (s *sim) probe(k *simCarrier) {
	suspects := k.service.Suspects()
	for i, st := range k.states {
		interval := s.svc.Policy.Probe.Interval
		if suspects[st.Target] || st.State == Trial {
			interval = simSuspect
		}
		if i%simCarriers != k.n && s.policy != localPolicy || k.probing[i] || s.now-k.probed[i] < interval-simAssess/2 || s.away(i) {
			continue
		}
		k.probed[i], k.probing[i] = s.now, true
		s.probes++
		c, sick := s.condition(i, k.n)
		start := s.now
		done := func(ok bool) {
			k.probing[i] = false
			res := OK
			if !ok || sick && (c.dead || c.res == Unreachable) {
				res = Failed
			}
			k.rec.RecordProbe(st.Target, res, s.now-start)
			k.ejector.TrialProbe(st.Target, res)
		}
		j := &simJob{work: simProbe, done: done}
		if !s.enqueue(i, j) {
			done(false)
			continue
		}
		s.after(s.svc.Policy.Probe.Timeout, func() { s.end(i, j, false) })
	}
}

// note counts false ejections and avoids when a target's state changes. One
// carrier's ejection counts as a sixth of one in the fleet.
func (s *sim) note(carrier, i int, st State) {
	key := [2]int{carrier, i}
	before := s.held[key]
	s.held[key] = st
	sick := i < s.c.faulty && s.now >= simWarm && (!s.c.oneWay || carrier == 0 && st == Avoided)
	if sick || st == before {
		return
	}
	switch {
	case st == Ejected && before != Trial:
		s.falseEjections += 1.0 / simCarriers
	case st == Avoided:
		s.falseAvoids += 1.0 / simCarriers
	}
}

// watch checks the floor at one carrier and notes when all carriers hold a
// faulty target back.
func (s *sim) watch(k *simCarrier) {
	usable := 0
	for i := range s.c.targets {
		if st := s.state(k, i); st != Ejected && st != Trial && st != Leaving {
			usable++
		}
	}
	if usable < s.svc.Policy.Floor.Of(s.c.targets)-len(s.signs) {
		s.floorViolations++
	}
	for i := range s.c.faulty {
		if s.now < simWarm || s.detected[i] > 0 {
			continue
		}
		held := true
		for _, p := range s.carriers {
			if st := s.state(p, i); (st == Ready || st == SlowStart) && (!s.c.oneWay || p.n == 0) {
				held = false
			}
		}
		if held {
			s.detected[i] = s.now - simWarm
		}
	}
}

func (s *sim) state(k *simCarrier, i int) State {
	switch {
	case s.policy != consecutivePolicy:
		return k.states[i].State
	case s.away(i):
		return Leaving
	case k.out[i] > s.now:
		return Ejected
	default:
		return Ready
	}
}
