package gossip

import (
	"math"
	"slices"
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
)

// maxEstimates is the largest number of targets in one report; with more it would not
// fit in a datagram.
const maxEstimates = 28

// ServiceEstimates holds the sender's health estimates of some targets of a service.
type ServiceEstimates struct {
	Service string            `cbor:"1,keyasint"`
	Targets []encodedEstimate `cbor:"2,keyasint"`
	// Remaining is the number of reports on the service that follow this one.
	Remaining int `cbor:"3,keyasint,omitempty"`
}

// encodedEstimate is the compact encoding of a sched.TargetEstimate.
type encodedEstimate struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	StartMillis int64
	// Degraded and Sick are the probabilities that the target is degraded or failing,
	// scaled to the range from 0 to math.MaxUint8.
	Degraded uint8
	Failing  uint8
	// Age and EpisodeAge, the age of the episode, are in milliseconds; a negative
	// EpisodeAge means that the target is not in an episode.
	Age        int64
	EpisodeAge int64
	// Load is the number of requests that the whole fleet has in flight at the target.
	Load int
}

func encodeEstimate(b sched.TargetEstimate) encodedEstimate {
	scale := func(p float64) uint8 { return uint8(math.Round(p * math.MaxUint8)) }
	out := encodedEstimate{
		ID:          b.ID,
		StartMillis: b.StartMillis,
		Degraded:    scale(b.Snapshot.Degraded),
		Failing:     scale(b.Snapshot.Failing),
		Age:         b.Snapshot.Age.Milliseconds(),
		EpisodeAge:  -1,
		Load:        b.Load,
	}
	if b.Snapshot.EpisodeAge >= 0 {
		out.EpisodeAge = b.Snapshot.EpisodeAge.Milliseconds()
	}
	return out
}

func (b *encodedEstimate) decode() sched.TargetEstimate {
	failing := float64(b.Failing) / math.MaxUint8
	s := judge.Snapshot{
		Degraded:   min(float64(b.Degraded)/math.MaxUint8, 1-failing),
		Failing:    failing,
		Age:        time.Duration(max(b.Age, 0)) * time.Millisecond,
		EpisodeAge: -1,
	}
	if b.EpisodeAge >= 0 {
		s.EpisodeAge = time.Duration(b.EpisodeAge) * time.Millisecond
	}
	return sched.TargetEstimate{ID: b.ID, StartMillis: b.StartMillis, Snapshot: s, Load: b.Load}
}

// SendEstimates sends a peer this daemon's health estimates of the targets of a
// service, in as many reports as they need.
func (n *Transport) SendEstimates(to roster.Member, service string, targets []sched.TargetEstimate) {
	remaining := (len(targets) + maxEstimates - 1) / maxEstimates
	for part := range slices.Chunk(targets, maxEstimates) {
		remaining--
		out := ServiceEstimates{Service: service, Remaining: remaining}
		for _, t := range part {
			out.Targets = append(out.Targets, encodeEstimate(t))
		}
		n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, Estimates: []ServiceEstimates{out}}, []roster.Member{to})
	}
}

// RequestEstimates requests from peers their health estimates of the targets of a
// service.
func (n *Transport) RequestEstimates(members []roster.Member, service string) {
	n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, EstimateRequests: []string{service}}, members)
}

// handleEstimates calls the handlers for the estimates in a report and for the services
// whose estimates it requests.
func (r *receiver) handleEstimates(report *Report, from string) {
	for _, b := range report.Estimates {
		targets := make([]sched.TargetEstimate, 0, len(b.Targets))
		for i := range b.Targets {
			targets = append(targets, b.Targets[i].decode())
		}
		r.handlers.Estimates(b.Service, targets, b.Remaining)
	}
	for _, service := range report.EstimateRequests {
		r.handlers.EstimateRequest(roster.Member{VM: report.VM, StartMillis: report.StartMillis, PeerAddress: from}, service)
	}
}
