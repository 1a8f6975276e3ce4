package gossip

import (
	"math"
	"slices"
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
)

// maxBeliefs bounds the targets of one report, so that it fits in a datagram.
const maxBeliefs = 28

// Beliefs are what the sender believes of some targets of one service.
type Beliefs struct {
	Service string   `cbor:"1,keyasint"`
	Targets []belief `cbor:"2,keyasint"`
	// Left is the number of reports on the service that follow this one.
	Left int `cbor:"3,keyasint,omitempty"`
}

// belief is a sched.TargetBelief in few bytes.
type belief struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
	// Impaired and Sick are probabilities in shares of math.MaxUint8.
	Impaired uint8
	Sick     uint8
	// Age and OnsetAge are in milliseconds; a negative OnsetAge stands for no spell.
	Age      int64
	OnsetAge int64
	// Load is the work in flight of the whole fleet at the target.
	Load int
}

func newBelief(b sched.TargetBelief) belief {
	share := func(p float64) uint8 { return uint8(math.Round(p * math.MaxUint8)) }
	out := belief{
		ID:       b.ID,
		Born:     b.Born,
		Impaired: share(b.Snapshot.Impaired),
		Sick:     share(b.Snapshot.Sick),
		Age:      b.Snapshot.Age.Milliseconds(),
		OnsetAge: -1,
		Load:     b.Load,
	}
	if b.Snapshot.OnsetAge >= 0 {
		out.OnsetAge = b.Snapshot.OnsetAge.Milliseconds()
	}
	return out
}

func (b *belief) decoded() sched.TargetBelief {
	sick := float64(b.Sick) / math.MaxUint8
	s := judge.Snapshot{
		Impaired: min(float64(b.Impaired)/math.MaxUint8, 1-sick),
		Sick:     sick,
		Age:      time.Duration(max(b.Age, 0)) * time.Millisecond,
		OnsetAge: -1,
	}
	if b.OnsetAge >= 0 {
		s.OnsetAge = time.Duration(b.OnsetAge) * time.Millisecond
	}
	return sched.TargetBelief{ID: b.ID, Born: b.Born, Snapshot: s, Load: b.Load}
}

// TellBeliefs tells a peer what is believed of the targets of a service.
func (n *Node) TellBeliefs(to roster.Member, service string, targets []sched.TargetBelief) {
	left := (len(targets) + maxBeliefs - 1) / maxBeliefs
	for part := range slices.Chunk(targets, maxBeliefs) {
		left--
		out := Beliefs{Service: service, Left: left}
		for _, t := range part {
			out.Targets = append(out.Targets, newBelief(t))
		}
		n.sendAll(&Report{VM: n.self.VM, Born: n.self.Born, Beliefs: []Beliefs{out}}, []roster.Member{to})
	}
}

// AskBeliefs asks peers what they believe of the targets of a service.
func (n *Node) AskBeliefs(members []roster.Member, service string) {
	n.sendAll(&Report{VM: n.self.VM, Born: n.self.Born, Asks: []string{service}}, members)
}

// takeBeliefs hands on what a report says of targets, and what it asks.
func (r *receiver) takeBeliefs(report *Report, from string) {
	for _, b := range report.Beliefs {
		targets := make([]sched.TargetBelief, 0, len(b.Targets))
		for i := range b.Targets {
			targets = append(targets, b.Targets[i].decoded())
		}
		r.handlers.Beliefs(b.Service, targets, b.Left)
	}
	for _, service := range report.Asks {
		r.handlers.Asked(roster.Member{VM: report.VM, Born: report.Born, Inner: from}, service)
	}
}
