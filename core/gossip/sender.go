package gossip

import (
	"context"
	"slices"
	"time"

	"wisteriarelay.example/core/roster"
)

// sender sends events: to each recipient in the local data centre, and to one gateway
// in each other data centre, which forwards them there. Traffic between data centres
// is billed.
type sender struct {
	*Transport
	fanouts *fanoutCache
}

func (s *sender) loop(ctx context.Context) {
	repeatTimer := time.NewTimer(repeatDelay)
	defer repeatTimer.Stop()
	batchTimer := time.NewTimer(batchDelay)
	defer batchTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-repeatTimer.C:
		case <-s.urgent:
		case <-s.wake:
			batchTimer.Reset(batchDelay)
			select {
			case <-ctx.Done():
				return
			case <-s.urgent:
			case <-batchTimer.C:
			}
		}
		if s.flush() {
			repeatTimer.Reset(repeatDelay)
		}
	}
}

// flush sends the pending events and the repeats, and reports whether events remain to
// be repeated.
func (s *sender) flush() bool {
	s.mu.Lock()
	pending, repeats := s.pending, s.repeats
	s.repeats = failuresIn(s.pending)
	s.pending = nil
	repeat := len(s.repeats) > 0
	s.mu.Unlock()
	s.send(pending, 0)
	// Repeats go through the second gateway, in case the first one has failed.
	s.send(repeats, 1)
	return repeat
}

// failuresIn returns the events that count against a target.
func failuresIn(events []queuedEvent) []queuedEvent {
	var out []queuedEvent
	for _, e := range events {
		if e.event.Result.Bad() {
			out = append(out, e)
		}
	}
	return out
}

// send sends events. In each other data centre they go to the gateway at the given
// position in the order of preference.
func (s *sender) send(events []queuedEvent, gateway int) {
	local := map[roster.Member][]queuedEvent{}
	remote := map[roster.Member][]queuedEvent{}
	index := s.sources.Targets()
	for _, e := range events {
		f := s.fanouts.get(e.service)
		for _, m := range f.localRecipients(e.event) {
			local[m] = append(local[m], e)
		}
		for _, members := range f.remoteRecipients(index[e.target].DataCentre) {
			m := members[gateway%len(members)]
			remote[m] = append(remote[m], e)
		}
	}
	for m, batch := range local {
		s.sendEvents(m, Report{VM: s.self.VM, StartMillis: s.self.StartMillis}, batch)
	}
	for m, batch := range remote {
		s.sendEvents(m, Report{VM: s.self.VM, StartMillis: s.self.StartMillis, Forward: true}, batch)
	}
}

// sendEvents sends events to a member, in as many copies of the report as they need.
func (n *Transport) sendEvents(m roster.Member, r Report, events []queuedEvent) {
	for part := range slices.Chunk(events, maxEvents) {
		r.EventBatch = newEventBatch(part)
		n.sendReport(&r, []roster.Member{m})
	}
}
