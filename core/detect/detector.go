package detect

import (
	"maps"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// longWindowFactor is the length of the long window in windows; evidence is
// kept for that long. A target with few requests is assessed by its newest
// requests within the long window, and a target that is avoided, and so gets no
// requests, stays avoided for as long.
const longWindowFactor = 10

// Detector assesses the targets of one service by the evidence of all its
// carriers. Its methods may be called concurrently; none of them is on the
// request path.
type Detector struct {
	self fleet.VMID

	mu            sync.Mutex
	svc           *fleet.Service
	targetIndex   TargetIndex
	previousIndex TargetIndex
	carriers      map[fleet.VMID]fleet.DataCentre
	observers     map[fleet.VMID]*observer
	// outOfService holds targets that are in the ejection list or leaving; they
	// are not assessed.
	outOfService map[fleet.TargetID]bool
	// started holds when targets last came up or returned to service, for slow
	// start.
	started      map[fleet.TargetID]time.Time
	verdictSince map[fleet.TargetID]time.Time
	// slowTargets holds the targets with a verdict of slowness as of the last
	// Assess.
	slowTargets map[fleet.TargetID]bool
	suspects    map[fleet.TargetID]bool
	// undersampled holds the suspects for which this daemon has too little
	// evidence of its own.
	undersampled  map[fleet.TargetID]bool
	medianLatency time.Duration
}

// NewDetector returns a Detector without evidence; self is the VM of this daemon.
func NewDetector(svc *fleet.Service, self fleet.VMID) *Detector {
	s := &Detector{
		self:         self,
		carriers:     map[fleet.VMID]fleet.DataCentre{},
		observers:    map[fleet.VMID]*observer{},
		outOfService: map[fleet.TargetID]bool{},
		started:      map[fleet.TargetID]time.Time{},
		verdictSince: map[fleet.TargetID]time.Time{},
		slowTargets:  map[fleet.TargetID]bool{},
		suspects:     map[fleet.TargetID]bool{},
	}
	s.svc = svc
	s.targetIndex = NewTargetIndex(svc)
	s.previousIndex = s.targetIndex
	return s
}

// Update replaces the settings. Targets that are new to the list start slowly.
func (s *Detector) Update(svc *fleet.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[fleet.TargetID]bool{}
	for i := range s.svc.Targets {
		known[s.svc.Targets[i].ID] = true
	}
	listed := map[fleet.TargetID]bool{}
	for i := range svc.Targets {
		id := svc.Targets[i].ID
		listed[id] = true
		if !known[id] {
			s.markStarted(id, now)
		}
	}
	for id := range known {
		if !listed[id] {
			s.dropEvidence(id)
			delete(s.started, id)
			delete(s.outOfService, id)
		}
	}
	s.svc = svc
	if next := NewTargetIndex(svc); next.digest != s.targetIndex.digest {
		s.previousIndex, s.targetIndex = s.targetIndex, next
	}
}

// SetCarriers sets which VMs carry the service, and their data centres.
// Evidence of other observers is dropped.
func (s *Detector) SetCarriers(carriers map[fleet.VMID]fleet.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carriers = carriers
	for id := range s.observers {
		if _, ok := carriers[id]; !ok {
			delete(s.observers, id)
		}
	}
}

// SetOutOfService sets which targets are ejected, in trial or leaving. These are not
// assessed. When a target comes back, its old evidence is dropped and it is in
// slow start, during which slowness weighs less.
func (s *Detector) SetOutOfService(ej Ejections, signals LeavingSignals, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outOfService := map[fleet.TargetID]bool{}
	for _, e := range ej.Entries {
		outOfService[e.Target] = true
	}
	for id := range signals {
		outOfService[id] = true
	}
	for id := range s.outOfService {
		if !outOfService[id] {
			s.markStarted(id, now)
		}
	}
	s.outOfService = outOfService
}

// markStarted begins the slow start of a target, without the evidence from
// before.
func (s *Detector) markStarted(id fleet.TargetID, now time.Time) {
	s.dropEvidence(id)
	s.started[id] = now
}

func (s *Detector) dropEvidence(id fleet.TargetID) {
	for _, o := range s.observers {
		delete(o.series, id)
	}
	delete(s.verdictSince, id)
	delete(s.slowTargets, id)
	delete(s.suspects, id)
}

// StartTimes returns when targets last came up, were added or returned to service;
// States derives slow start from it.
func (s *Detector) StartTimes() map[fleet.TargetID]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[fleet.TargetID]time.Time, len(s.started))
	for id, at := range s.started {
		out[id] = at
	}
	return out
}

// Add adds the statistics of one observer, which may be this daemon itself. An
// observer that this daemon can hear but not reach counts like any other.
func (s *Detector) Add(observer fleet.VMID, dc fleet.DataCentre, stats []IntervalStats, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(observer, dc, stats, now)
}

// AddWire adds statistics in wire form. Data encoded with a target list that is
// neither the present nor the previous one is rejected with
// fault.MessageInvalid, since its positions could stand for other targets.
func (s *Detector) AddWire(observer fleet.VMID, dc fleet.DataCentre, data []byte, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats, err := DecodeStats(s.targetIndex, data)
	if err != nil && fault.Is(err, fault.MessageInvalid) {
		if older, olderErr := DecodeStats(s.previousIndex, data); olderErr == nil {
			stats, err = older, nil
		}
	}
	if err != nil {
		return err
	}
	s.add(observer, dc, stats, now)
	return nil
}

func (s *Detector) add(id fleet.VMID, dc fleet.DataCentre, stats []IntervalStats, now time.Time) {
	o := s.observers[id]
	if o == nil {
		o = &observer{id: id, series: map[fleet.TargetID]*series{}}
		s.observers[id] = o
	}
	o.dc, o.lastReport = dc, now
	keep := longWindowFactor * s.svc.Policy.Detection.Window
	for _, r := range stats {
		if s.outOfService[r.Target] || !s.hasTarget(r.Target) {
			continue
		}
		se := o.series[r.Target]
		if se == nil {
			se = &series{}
			o.series[r.Target] = se
		}
		se.add(r, now, keep)
	}
}

func (s *Detector) hasTarget(id fleet.TargetID) bool {
	for i := range s.svc.Targets {
		if s.svc.Targets[i].ID == id {
			return true
		}
	}
	return false
}

// MedianLatency returns the median latency over the targets as of the last Assess, or
// 0 if it is unknown.
func (s *Detector) MedianLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.medianLatency
}

// Suspects returns the targets that need closer observation as of the last
// Assess. They are probed and reported on every second.
func (s *Detector) Suspects() map[fleet.TargetID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[fleet.TargetID]bool, len(s.suspects))
	for id := range s.suspects {
		out[id] = true
	}
	return out
}

// UndersampledSuspects returns the suspects for which this daemon has too little
// evidence of its own, as of the last Assess. Daemons use targets of their own
// data centre first, so without a few requests to these targets the observers
// in other data centres could never agree or disagree.
func (s *Detector) UndersampledSuspects() map[fleet.TargetID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.undersampled)
}
