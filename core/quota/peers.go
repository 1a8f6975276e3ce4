package quota

import (
	"slices"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// answerTimeout is how long a candidate may leave a message unanswered before it is
	// suspected.
	answerTimeout = 250 * time.Millisecond
	// suspicionTime is how long a suspected candidate gets no message. After it, the
	// candidate is used again as soon as it answers an empty request: a candidate that
	// is gone for good must not hold up requests every time.
	suspicionTime = 2 * time.Second
	// leavingTime replaces suspicionTime for a candidate that said that it leaves.
	leavingTime = 30 * time.Second
	// probeDelay is how long a message may be unanswered before an empty request is sent
	// every probeInterval, so that a lost datagram or two are not taken for a failure.
	probeDelay    = 80 * time.Millisecond
	probeInterval = 40 * time.Millisecond
)

// peerState is what this daemon knows of whether a candidate answers.
type peerState struct {
	// unansweredSince is when the first message without an answer was sent; zero if
	// there is none.
	unansweredSince time.Time
	suspected       bool
	// probeAt is when a candidate that does not answer gets an empty request again.
	probeAt time.Time
	// leavingEpoch is the run that said that it leaves.
	leavingEpoch uint64
}

// peers holds the state of the candidates.
type peers struct {
	candidates [ShardCount][]roster.Member
	byVM       map[string]*peerState
}

func (p *peers) state(vm string) *peerState {
	s := p.byVM[vm]
	if s == nil {
		s = &peerState{}
		p.byVM[vm] = s
	}
	return s
}

// prune forgets daemons that are no candidates.
func (p *peers) prune() {
	for vm := range p.byVM {
		isCandidate := slices.ContainsFunc(p.candidates[:], func(list []roster.Member) bool {
			return slices.ContainsFunc(list, func(m roster.Member) bool { return m.VM == vm })
		})
		if !isCandidate {
			delete(p.byVM, vm)
		}
	}
}

// coordinator returns the first candidate of a shard that is not suspected; ok is false if
// there is none.
func (p *peers) coordinator(s Shard) (m roster.Member, ok bool) {
	for _, m := range p.candidates[s] {
		if state := p.byVM[m.VM]; state == nil || !state.suspected {
			return m, true
		}
	}
	return roster.Member{}, false
}

// sent records that a message was sent to a candidate.
func (p *peers) sent(now time.Time, vm string) {
	if s := p.state(vm); s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// answered records a reply of a candidate.
func (p *peers) answered(now time.Time, vm string, m *ReplyMsg) {
	s := p.state(vm)
	s.unansweredSince = time.Time{}
	switch {
	case m.Leaving:
		s.suspected, s.probeAt, s.leavingEpoch = true, now.Add(leavingTime), m.Epoch
	case m.Epoch != s.leavingEpoch:
		s.suspected = false
	}
}

// check suspects the candidates that have not answered, and returns those that are to be
// probed. After a pause of this daemon, answers may not have been read.
func (p *peers) check(now time.Time, paused bool) []roster.Member {
	var probes []roster.Member
	for vm, s := range p.byVM {
		if paused && !s.unansweredSince.IsZero() {
			s.unansweredSince = now
		}
		if !s.probeDue(now) {
			continue
		}
		if m, known := p.find(vm); known {
			probes = append(probes, m)
		}
	}
	return probes
}

// probeDue suspects a candidate that has not answered for too long, and reports whether it
// gets an empty request now.
func (s *peerState) probeDue(now time.Time) bool {
	unanswered := time.Duration(0)
	if !s.unansweredSince.IsZero() {
		unanswered = now.Sub(s.unansweredSince)
	}
	if unanswered >= answerTimeout {
		s.suspected, s.unansweredSince, s.probeAt = true, time.Time{}, now.Add(suspicionTime)
	}
	if now.Before(s.probeAt) || !s.suspected && unanswered < probeDelay {
		return false
	}
	s.probeAt = now.Add(probeInterval)
	if s.suspected {
		s.probeAt = now.Add(suspicionTime)
	}
	return true
}

// find returns the candidate on a VM.
func (p *peers) find(vm string) (m roster.Member, ok bool) {
	for _, list := range p.candidates {
		i := slices.IndexFunc(list, func(m roster.Member) bool { return m.VM == vm })
		if i >= 0 {
			return list[i], true
		}
	}
	return m, false
}
