package detect

import (
	"maps"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// wideWindows is the number of windows for which evidence is kept. A target
// with few requests is judged by its newest requests within that time, and a
// target that was avoided, and so gets no requests, stays avoided as long.
const wideWindows = 10

// Service holds the evidence about one service, merged over all carriers.
// Its methods may be called from several goroutines; none is on the request
// path.
type Service struct {
	self fleet.VMID

	mu        sync.Mutex
	svc       *fleet.Service
	roster    Roster
	previous  Roster
	carriers  map[fleet.VMID]fleet.DataCentre
	observers map[fleet.VMID]*observer
	// held targets are listed in the ejection list or leaving; they are not judged.
	held map[fleet.TargetID]bool
	// started says when a target came up or returned, for slow start.
	started map[fleet.TargetID]time.Time
	since   map[fleet.TargetID]time.Time
	// slow targets have a verdict of slowness as of the last Assess.
	slow    map[fleet.TargetID]bool
	suspect map[fleet.TargetID]bool
	// unconfirmed holds the suspects about which this daemon has too little
	// evidence of its own.
	unconfirmed map[fleet.TargetID]bool
	typical     time.Duration
}

// NewService returns an empty collection of evidence at the daemon self.
func NewService(svc *fleet.Service, self fleet.VMID) *Service {
	s := &Service{
		self:      self,
		carriers:  map[fleet.VMID]fleet.DataCentre{},
		observers: map[fleet.VMID]*observer{},
		held:      map[fleet.TargetID]bool{},
		started:   map[fleet.TargetID]time.Time{},
		since:     map[fleet.TargetID]time.Time{},
		slow:      map[fleet.TargetID]bool{},
		suspect:   map[fleet.TargetID]bool{},
	}
	s.svc = svc
	s.roster = NewRoster(svc)
	s.previous = s.roster
	return s
}

// Update takes over new settings. Targets that are new to the list start slowly.
func (s *Service) Update(svc *fleet.Service, now time.Time) {
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
			s.restart(id, now)
		}
	}
	for id := range known {
		if !listed[id] {
			s.drop(id)
			delete(s.started, id)
			delete(s.held, id)
		}
	}
	s.svc = svc
	if next := NewRoster(svc); next.digest != s.roster.digest {
		s.previous, s.roster = s.roster, next
	}
}

// SetCarriers states which VMs carry the service and where they stand.
// Evidence of other observers is dropped.
func (s *Service) SetCarriers(carriers map[fleet.VMID]fleet.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carriers = carriers
	for id := range s.observers {
		if _, ok := carriers[id]; !ok {
			delete(s.observers, id)
		}
	}
}

// Follow tells which targets are ejected, in trial or leaving: they are not
// judged meanwhile, and when they come back their old evidence is dropped and
// slowness weighs less for the time of slow start.
func (s *Service) Follow(ej Ejections, signs Signs, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := map[fleet.TargetID]bool{}
	for _, e := range ej.Entries {
		held[e.Target] = true
	}
	for id := range signs {
		held[id] = true
	}
	for id := range s.held {
		if !held[id] {
			s.restart(id, now)
		}
	}
	s.held = held
}

func (s *Service) restart(id fleet.TargetID, now time.Time) {
	s.drop(id)
	s.started[id] = now
}

func (s *Service) drop(id fleet.TargetID) {
	for _, o := range s.observers {
		delete(o.series, id)
	}
	delete(s.since, id)
	delete(s.slow, id)
	delete(s.suspect, id)
}

// Started returns when targets last came up, joined or returned; States turns
// it into slow start.
func (s *Service) Started() map[fleet.TargetID]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[fleet.TargetID]time.Time, len(s.started))
	for id, at := range s.started {
		out[id] = at
	}
	return out
}

// Add merges rows of one observer, this daemon's own included. Evidence of an
// observer that is heard only one way counts like any other.
func (s *Service) Add(observer fleet.VMID, dc fleet.DataCentre, rows []Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(observer, dc, rows, now)
}

// AddWire merges rows in wire form. Rows written with a target list that is
// neither the present nor the previous one are refused with
// fault.MessageInvalid, since their numbers could mean other targets.
func (s *Service) AddWire(observer fleet.VMID, dc fleet.DataCentre, data []byte, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, err := DecodeRows(s.roster, data)
	if err != nil && fault.Is(err, fault.MessageInvalid) {
		if older, olderErr := DecodeRows(s.previous, data); olderErr == nil {
			rows, err = older, nil
		}
	}
	if err != nil {
		return err
	}
	s.add(observer, dc, rows, now)
	return nil
}

func (s *Service) add(id fleet.VMID, dc fleet.DataCentre, rows []Row, now time.Time) {
	o := s.observers[id]
	if o == nil {
		o = &observer{id: id, series: map[fleet.TargetID]*series{}}
		s.observers[id] = o
	}
	o.dc, o.heard = dc, now
	keep := wideWindows * s.svc.Policy.Detection.Window
	for _, r := range rows {
		if s.held[r.Target] || !s.lists(r.Target) {
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

func (s *Service) lists(id fleet.TargetID) bool {
	for i := range s.svc.Targets {
		if s.svc.Targets[i].ID == id {
			return true
		}
	}
	return false
}

// Typical returns the median latency over the targets as of the last Assess, or
// 0 if it is not known.
func (s *Service) Typical() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.typical
}

// Suspects returns the targets that need closer observation, as of the last
// Assess: they are probed and reported on every second.
func (s *Service) Suspects() map[fleet.TargetID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[fleet.TargetID]bool, len(s.suspect))
	for id := range s.suspect {
		out[id] = true
	}
	return out
}

// Unconfirmed returns the suspects about which this daemon has too little
// evidence of its own, as of the last Assess. Daemons use targets of their own
// data centre first, so that without a few requests to these targets the
// observers of other data centres could never agree or disagree.
func (s *Service) Unconfirmed() map[fleet.TargetID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.unconfirmed)
}
