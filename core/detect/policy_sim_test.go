package detect

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Parameters of the simulation, which runs one service with six carriers on a
// virtual clock.
const (
	simWorkTime        = 100 * time.Millisecond
	simWorkSigma       = 0.4 // standard deviation of the logarithm of the work
	simQueueLength     = 16
	simDeadline        = 2 * time.Second
	simDialTimeout     = time.Second
	simProbeWork       = 25 * time.Millisecond
	simAssessInterval  = 500 * time.Millisecond
	simWriteDelay      = 20 * time.Millisecond
	simReportInterval  = 3 * time.Second
	simSuspectInterval = time.Second
	simWarmup          = 30 * time.Second
	simErrorRate       = 0.01 // share of requests that fail at a healthy target
	simCarriers        = 6
)

// simPolicy is a policy of ejection. The product policy is that of this
// package, consecutive ejects a target for 30 s after 5 failures in a row at
// one carrier, and local is the product policy with each carrier by itself.
type simPolicy string

const (
	productPolicy     simPolicy = "product"
	consecutivePolicy simPolicy = "consecutive"
	localPolicy       simPolicy = "local"
)

// condition is how a target treats requests.
type condition struct {
	result       Result
	probability  float64 // share of requests with that result
	slowdown     float64 // factor on the processing time
	failsProbes  bool    // probes fail too
	unrecognised bool    // no body-failure rule matches the failure inside a 200
}

// simCase is one scenario; conditionAt returns a target's fault condition, if
// it has one.
type simCase struct {
	name        string
	targets     int
	preset      fleet.Detection
	load        float64 // as a share of capacity
	span        time.Duration
	conditionAt func(target, carrier int, since time.Duration) (condition, bool)
	// faulty is the number of targets, counted from the first, that are ejected
	// rightly. Each of them is detected once all carriers have stopped using
	// it, or just carrier 0 if oneCarrierOnly is set.
	faulty         int
	oneCarrierOnly bool
	peerWeight     float64 // weight of the requests in flight that peers report
	restart        bool    // target 0 leaves before the fault time and restarts cold
}

type simCarrier struct {
	number              int
	recorder            *Recorder
	service             *Detector
	ejector             *Ejector
	pending             [][]IntervalStats
	verdicts            []Verdict
	states              []TargetState
	inFlight            []int
	peerInFlight        [][]int // by carrier, then target, as last reported
	consecutiveFailures []int   // by target
	ejectedUntil        []time.Duration
	lastPicked          int
	trialInFlight       map[int]bool
	lastReport          time.Duration
	lastProbe           []time.Duration
	probeInFlight       []bool
}

type simResult struct {
	detection                   []time.Duration
	falseEjections, falseAvoids float64
	failed, requests, probes    int
	floorViolations             int
}

type sim struct {
	c          simCase
	policy     simPolicy
	rng        *rand.Rand
	now        time.Duration
	events     simEvents
	scheduled  int
	svc        *fleet.Service
	targets    []*simTarget
	carriers   []*simCarrier
	signals    LeavingSignals
	detected   []time.Duration
	retries    int
	lastStates map[[2]int]State
	simResult
}

func newSim(c simCase, p simPolicy, seed uint64) *sim {
	s := &sim{c: c, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), svc: testService(c.targets), signals: LeavingSignals{}, lastStates: map[[2]int]State{}}
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
			number: i, recorder: NewRecorder(s.svc), service: NewDetector(s.svc, vmName(i)), inFlight: make([]int, c.targets),
			peerInFlight: make([][]int, simCarriers), consecutiveFailures: make([]int, c.targets), ejectedUntil: make([]time.Duration, c.targets),
			trialInFlight: map[int]bool{}, lastProbe: make([]time.Duration, c.targets), probeInFlight: make([]bool, c.targets), lastPicked: i,
		}
		table, rank := shared, func(id fleet.TargetID) int { return (i + simCarriers - int(id[0]-'a')%simCarriers) % simCarriers }
		if p == localPolicy {
			table, rank = &fakeTable{}, func(fleet.TargetID) int { return 0 }
		} else {
			k.service.SetCarriers(testCarriers())
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
	s.schedule(0, s.arrive)
	for _, k := range s.carriers {
		s.schedule(time.Duration(s.rng.Int64N(int64(simAssessInterval))), func() { s.runInterval(k) })
	}
	for len(s.events) > 0 && s.now < simWarmup+s.c.span {
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

func (s *sim) conditionOf(target, carrier int) (condition, bool) {
	if s.now < simWarmup || s.c.conditionAt == nil {
		return condition{}, false
	}
	return s.c.conditionAt(target, carrier, s.now-simWarmup)
}

// arrive starts one request at a random carrier and schedules the next.
func (s *sim) arrive() {
	rate := s.c.load * float64(s.c.targets) * 2 / simWorkTime.Seconds()
	s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.requests++
	s.sendAttempt(s.carriers[s.rng.IntN(simCarriers)], 1, -1, s.now+simDeadline)
}

func (s *sim) sendAttempt(k *simCarrier, attempt, exclude int, deadline time.Duration) {
	i := s.pickTarget(k, exclude)
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
			s.sendAttempt(k, 2, i, deadline)
		default:
			s.failed++
		}
	})
}

func (s *sim) observe(k *simCarrier, i int, res Result, latency time.Duration) {
	id := targetName(i)
	k.recorder.Record(id, res, latency)
	if k.trialInFlight[i] {
		k.trialInFlight[i] = false
		k.ejector.RecordTrialRequest(id, res, latency)
	}
	switch {
	case res == OK:
		k.consecutiveFailures[i] = 0
	case res.IsFailure():
		k.consecutiveFailures[i]++
	}
	if s.policy == consecutivePolicy && k.consecutiveFailures[i] >= 5 && k.ejectedUntil[i] <= s.now {
		k.ejectedUntil[i], k.consecutiveFailures[i] = s.now+30*time.Second, 0
		s.recordState(k.number, i, Ejected)
	}
}

// pickTarget uses round robin for the consecutive policy. Otherwise it takes
// the target with the fewest requests in flight by weight, avoided targets
// last.
func (s *sim) pickTarget(k *simCarrier, exclude int) int {
	n := s.c.targets
	if s.policy == consecutivePolicy {
		for range n {
			k.lastPicked = (k.lastPicked + 1) % n
			if k.ejectedUntil[k.lastPicked] <= s.now && k.lastPicked != exclude && !s.isLeaving(k.lastPicked) {
				return k.lastPicked
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
		for _, p := range k.peerInFlight {
			if p != nil {
				cost += float64(p[i]) * s.c.peerWeight
			}
		}
		cost = (cost + 1) / st.Weight
		switch st.State {
		case Ejected, Leaving:
			continue
		case Avoided:
			cost += 2 * simQueueLength
		case Trial:
			prober := i%simCarriers == k.number || s.policy == localPolicy
			if prober && !k.trialInFlight[i] && exclude < 0 {
				k.trialInFlight[i] = true
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

func (s *sim) isLeaving(i int) bool {
	_, ok := s.signals[targetName(i)]
	return ok
}

func (s *sim) restartTarget() {
	switch {
	case s.c.restart && s.now < simWarmup && s.now > simWarmup/2:
		s.signals = LeavingSignals{targetName(0): {Since: s.time()}}
	case s.now >= simWarmup:
		s.signals = LeavingSignals{}
	}
}

// runInterval assesses, reports and probes for one carrier and schedules its
// next interval.
func (s *sim) runInterval(k *simCarrier) {
	s.schedule(simAssessInterval, func() { s.runInterval(k) })
	s.restartTarget()
	rows := k.recorder.Collect()
	if s.policy == consecutivePolicy {
		s.recordDetection(k)
		return
	}
	now := s.time()
	k.service.SetOutOfService(k.ejector.Current().Ejections, s.signals, now)
	k.service.Add(vmName(k.number), carrierDCs[k.number], rows, now)
	k.pending = append(k.pending, rows)
	k.verdicts = k.service.Assess(now)
	k.ejector.submit(Assessment{Service: s.svc, Verdicts: k.verdicts, Signals: s.signals, MedianLatency: k.service.MedianLatency()}, now)
	s.schedule(simWriteDelay, func() {
		_ = k.ejector.reconcile(context.Background(), s.time())
		s.useStates(k)
	})
	s.useStates(k)
	s.report(k)
	s.probe(k)
	s.recordDetection(k)
}

func (s *sim) useStates(k *simCarrier) {
	k.states = States(s.svc, k.ejector.Current().Ejections, s.signals, k.verdicts, k.service.StartTimes(), s.time())
	for i, st := range k.states {
		s.recordState(k.number, i, st.State)
	}
}

func (s *sim) report(k *simCarrier) {
	interval := simReportInterval
	if len(k.service.Suspects()) > 0 {
		interval = simSuspectInterval
	}
	if s.policy == localPolicy || s.now-k.lastReport < interval-simAssessInterval/2 {
		return
	}
	k.lastReport = s.now
	data := EncodeStats(NewTargetIndex(s.svc), MergeStats(k.pending...))
	k.pending = nil
	cached, inFlight := k.ejector.Current(), append([]int(nil), k.inFlight...)
	s.schedule(time.Millisecond, func() {
		for _, p := range s.carriers {
			if p != k {
				_ = p.service.AddWire(vmName(k.number), carrierDCs[k.number], data, s.time())
				p.peerInFlight[k.number] = inFlight
				p.ejector.RecordPeerVersion(cached.Version)
			}
		}
	})
}

func (s *sim) probe(k *simCarrier) {
	suspects := k.service.Suspects()
	for i, st := range k.states {
		interval := s.svc.Policy.Probe.Interval
		if suspects[st.Target] || st.State == Trial {
			interval = simSuspectInterval
		}
		if i%simCarriers != k.number && s.policy != localPolicy || k.probeInFlight[i] || s.now-k.lastProbe[i] < interval-simAssessInterval/2 || s.isLeaving(i) {
			continue
		}
		k.lastProbe[i], k.probeInFlight[i] = s.now, true
		s.probes++
		c, faulty := s.conditionOf(i, k.number)
		start := s.now
		done := func(ok bool) {
			k.probeInFlight[i] = false
			res := OK
			if !ok || faulty && (c.failsProbes || c.result == Unreachable) {
				res = Failed
			}
			k.recorder.RecordProbe(st.Target, res, s.now-start)
			k.ejector.RecordTrialProbe(st.Target, res)
		}
		j := &simJob{work: simProbeWork, done: done}
		if !s.enqueue(i, j) {
			done(false)
			continue
		}
		s.schedule(s.svc.Policy.Probe.Timeout, func() { s.endJob(i, j, false) })
	}
}

// recordState counts false ejections and false avoids when a target's state
// changes. One carrier's ejection counts as a sixth of an ejection in the
// fleet.
func (s *sim) recordState(carrier, i int, st State) {
	key := [2]int{carrier, i}
	before := s.lastStates[key]
	s.lastStates[key] = st
	expected := i < s.c.faulty && s.now >= simWarmup && (!s.c.oneCarrierOnly || carrier == 0 && st == Avoided)
	if expected || st == before {
		return
	}
	switch {
	case st == Ejected && before != Trial:
		s.falseEjections += 1.0 / simCarriers
	case st == Avoided:
		s.falseAvoids += 1.0 / simCarriers
	}
}

// recordDetection checks the floor at one carrier, and records when all
// carriers have stopped using a faulty target.
func (s *sim) recordDetection(k *simCarrier) {
	usable := 0
	for i := range s.c.targets {
		if st := s.carrierState(k, i); st != Ejected && st != Trial && st != Leaving {
			usable++
		}
	}
	if usable < s.svc.Policy.Floor.MinTargets(s.c.targets)-len(s.signals) {
		s.floorViolations++
	}
	for i := range s.c.faulty {
		if s.now < simWarmup || s.detected[i] > 0 {
			continue
		}
		held := true
		for _, p := range s.carriers {
			if st := s.carrierState(p, i); (st == Ready || st == SlowStart) && (!s.c.oneCarrierOnly || p.number == 0) {
				held = false
			}
		}
		if held {
			s.detected[i] = s.now - simWarmup
		}
	}
}

func (s *sim) carrierState(k *simCarrier, i int) State {
	switch {
	case s.policy != consecutivePolicy:
		return k.states[i].State
	case s.isLeaving(i):
		return Leaving
	case k.ejectedUntil[i] > s.now:
		return Ejected
	default:
		return Ready
	}
}
