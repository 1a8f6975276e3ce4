package gossip

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// maxEvents bounds the events of one report, so that it fits in a datagram.
const maxEvents = 64

// Results are events of targets at one daemon.
type Results struct {
	_ struct{} `cbor:",toarray"`
	// First is the number of the first event; the sender counts its events from its start.
	First  uint64
	Events []Event
}

// Event is one event of a target in few bytes: each request causes two, which go to
// all carriers. Its fields are fixed, because daemons that do not know a further one
// cannot read it; what is added goes into [Report].
type Event struct {
	_ struct{} `cbor:",toarray"`
	// Offset is the number of the event, counted from Results.First.
	Offset   uint64
	Target   TargetHash
	InFlight int
	Result   judge.Result
	// Latency is in milliseconds.
	Latency int64
}

// TargetHash stands for one run of a target of a service.
type TargetHash uint32

// HashTarget returns the hash of a target. Both ends know the targets; two that
// share a hash are told apart by [TargetIndex].
func HashTarget(service string, k sched.Key) TargetHash {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.ID)
	_, _ = d.Write(strconv.AppendInt([]byte{0}, k.Born, 10))
	return TargetHash(d.Sum64())
}

// TargetRef names a target.
type TargetRef struct {
	Service    string
	Key        sched.Key
	DataCentre string
}

// TargetIndex finds targets by their hashes.
type TargetIndex map[TargetHash]TargetRef

// NewTargetIndex returns the index of the targets of all services. Targets that
// share a hash are left out: what peers say of them cannot be told apart.
func NewTargetIndex(targets map[string][]sched.Target) TargetIndex {
	index := TargetIndex{}
	shared := map[TargetHash]bool{}
	for service, each := range targets {
		for _, t := range each {
			h := HashTarget(service, t.Key)
			_, taken := index[h]
			shared[h] = shared[h] || taken
			index[h] = TargetRef{Service: service, Key: t.Key, DataCentre: t.DataCentre}
		}
	}
	for h, twice := range shared {
		if twice {
			delete(index, h)
		}
	}
	return index
}

// queued is an event on its way to peers.
type queued struct {
	number  uint64
	service string
	target  TargetHash
	event   sched.Event
}

func newQueued(number uint64, e sched.Event) queued {
	return queued{number: number, service: e.Service, target: HashTarget(e.Service, e.Target), event: e}
}

// newResults returns the events, in the order of their numbers, as they are sent.
func newResults(events []queued) *Results {
	out := &Results{First: events[0].number}
	for _, e := range events {
		out.Events = append(out.Events, Event{
			Offset:   e.number - out.First,
			Target:   e.target,
			InFlight: e.event.InFlight,
			Result:   e.event.Result,
			Latency:  e.event.Latency.Milliseconds(),
		})
	}
	return out
}

// decoded returns the event; ref is its target.
func (e *Event) decoded(ref TargetRef) sched.Event {
	return sched.Event{
		Service:  ref.Service,
		Target:   ref.Key,
		InFlight: e.InFlight,
		Result:   e.Result,
		Latency:  time.Duration(e.Latency) * time.Millisecond,
	}
}
