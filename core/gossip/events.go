package gossip

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// maxEvents is the largest number of events in one report; with more it would not fit
// in a datagram.
const maxEvents = 64

// EventBatch holds events of one daemon. A daemon numbers its events in sequence from
// its start.
type EventBatch struct {
	_ struct{} `cbor:",toarray"`
	// FirstSeq is the sequence number of the first event.
	FirstSeq uint64
	Events   []EncodedEvent
}

// EncodedEvent is the compact encoding of a sched.Event: each request causes two
// events, which are sent to all carriers. The fields are fixed, because a daemon of an
// earlier version could not decode an event with a further field; new data goes into
// [Report].
type EncodedEvent struct {
	_ struct{} `cbor:",toarray"`
	// Offset is the event's sequence number minus FirstSeq of its batch.
	Offset   uint64
	Target   TargetHash
	InFlight int
	Result   judge.Result
	// Latency is in milliseconds.
	Latency int64
}

// TargetHash identifies one run of a target of a service in events.
type TargetHash uint32

// HashTarget returns the hash of a target. Sender and receiver both know the targets,
// so the hash is enough to identify one; [TargetIndex] leaves out targets with the
// same hash.
func HashTarget(service string, k sched.Key) TargetHash {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.ID)
	_, _ = d.Write(strconv.AppendInt([]byte{0}, k.StartMillis, 10))
	return TargetHash(d.Sum64())
}

// TargetRef identifies a target.
type TargetRef struct {
	Service    string
	Key        sched.Key
	DataCentre string
}

// TargetIndex maps hashes to targets.
type TargetIndex map[TargetHash]TargetRef

// NewTargetIndex returns the index of the targets of all services. Targets with the
// same hash are left out, because events of one could be taken for events of the
// other.
func NewTargetIndex(targets map[string][]sched.Target) TargetIndex {
	index := TargetIndex{}
	collides := map[TargetHash]bool{}
	for service, list := range targets {
		for _, t := range list {
			h := HashTarget(service, t.Key)
			_, taken := index[h]
			collides[h] = collides[h] || taken
			index[h] = TargetRef{Service: service, Key: t.Key, DataCentre: t.DataCentre}
		}
	}
	for h, collision := range collides {
		if collision {
			delete(index, h)
		}
	}
	return index
}

// queuedEvent is an event that waits to be sent to peers.
type queuedEvent struct {
	seq     uint64
	service string
	target  TargetHash
	event   sched.Event
}

func newQueuedEvent(seq uint64, e sched.Event) queuedEvent {
	return queuedEvent{seq: seq, service: e.Service, target: HashTarget(e.Service, e.Target), event: e}
}

// newEventBatch encodes events, which must be in the order of their sequence numbers.
func newEventBatch(events []queuedEvent) *EventBatch {
	out := &EventBatch{FirstSeq: events[0].seq}
	for _, e := range events {
		out.Events = append(out.Events, EncodedEvent{
			Offset:   e.seq - out.FirstSeq,
			Target:   e.target,
			InFlight: e.event.InFlight,
			Result:   e.event.Result,
			Latency:  e.event.Latency.Milliseconds(),
		})
	}
	return out
}

// decode returns the event; ref identifies its target.
func (e *EncodedEvent) decode(ref TargetRef) sched.Event {
	return sched.Event{
		Service:  ref.Service,
		Target:   ref.Key,
		InFlight: e.InFlight,
		Result:   e.Result,
		Latency:  time.Duration(e.Latency) * time.Millisecond,
	}
}
