package gossip

import (
	"math"
	"slices"
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
)

// maxBeliefs is the largest number of targets in one report; with more it would not
// fit in a datagram.
const maxBeliefs = 28

// ServiceEstimates holds the sender's beliefs about some targets of a service.
type ServiceEstimates struct {
	Service string            `cbor:"1,keyasint"`
	Targets []encodedEstimate `cbor:"2,keyasint"`
	// Remaining is the number of reports on the service that follow this one.
	Remaining int `cbor:"3,keyasint,omitempty"`
}

// encodedEstimate is the compact encoding of a sched.TargetBelief.
type encodedEstimate struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	StartMillis int64
	// Impaired and Sick are probabilities, scaled to the range from 0 to
	// math.MaxUint8.
	Impaired uint8
	Sick     uint8
	// Age and OnsetAge are in milliseconds; a negative OnsetAge means that the target
	// is not in a spell of failures.
	Age      int64
	OnsetAge int64
	// Load is the number of requests that the whole fleet has in flight at the target.
	Load int
}

func encodeBelief(b sched.TargetEstimate) encodedEstimate {
	scale := func(p float64) uint8 { return uint8(math.Round(p * math.MaxUint8)) }
	out := encodedEstimate{
		ID:          b.ID,
		StartMillis: b.StartMillis,
		Impaired:    scale(b.Snapshot.Degraded),
		Sick:        scale(b.Snapshot.Failing),
		Age:         b.Snapshot.Age.Milliseconds(),
		OnsetAge:    -1,
		Load:        b.Load,
	}
	if b.Snapshot.EpisodeAge >= 0 {
		out.OnsetAge = b.Snapshot.EpisodeAge.Milliseconds()
	}
	return out
}

func (b *encodedEstimate) decode() sched.TargetEstimate {
	sick := float64(b.Sick) / math.MaxUint8
	s := judge.Snapshot{
		Degraded:   min(float64(b.Impaired)/math.MaxUint8, 1-sick),
		Failing:    sick,
		Age:        time.Duration(max(b.Age, 0)) * time.Millisecond,
		EpisodeAge: -1,
	}
	if b.OnsetAge >= 0 {
		s.EpisodeAge = time.Duration(b.OnsetAge) * time.Millisecond
	}
	return sched.TargetEstimate{ID: b.ID, StartMillis: b.StartMillis, Snapshot: s, Load: b.Load}
}

// SendEstimates sends a peer this daemon's beliefs about the targets of a service, in as
// many reports as they need.
func (n *Transport) SendEstimates(to roster.Member, service string, targets []sched.TargetEstimate) {
	remaining := (len(targets) + maxBeliefs - 1) / maxBeliefs
	for part := range slices.Chunk(targets, maxBeliefs) {
		remaining--
		out := ServiceEstimates{Service: service, Remaining: remaining}
		for _, t := range part {
			out.Targets = append(out.Targets, encodeBelief(t))
		}
		n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, Estimates: []ServiceEstimates{out}}, []roster.Member{to})
	}
}

// RequestEstimates requests from peers their beliefs about the targets of a service.
func (n *Transport) RequestEstimates(members []roster.Member, service string) {
	n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, EstimateRequests: []string{service}}, members)
}

// handleBeliefs calls the handlers for the beliefs in a report and for the services
// whose beliefs it requests.
func (r *receiver) handleBeliefs(report *Report, from string) {
	for _, b := range report.Estimates {
		targets := make([]sched.TargetEstimate, 0, len(b.Targets))
		for i := range b.Targets {
			targets = append(targets, b.Targets[i].decode())
		}
		r.handlers.Beliefs(b.Service, targets, b.Remaining)
	}
	for _, service := range report.EstimateRequests {
		r.handlers.EstimateRequest(roster.Member{VM: report.VM, StartMillis: report.StartMillis, PeerAddress: from}, service)
	}
}
