package gossip

import (
	"context"
	"slices"
	"time"

	"wisteriarelay.example/core/roster"
)

// sender sends events: to each member of the group in the own data centre, and
// to one in each other, which passes them on there. Traffic between data centres
// is paid for.
type sender struct {
	*Node
	groups *groups
}

func (s *sender) loop(ctx context.Context) {
	repeat := time.NewTimer(repeatAfter)
	defer repeat.Stop()
	gather := time.NewTimer(gatherTime)
	defer gather.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-repeat.C:
		case <-s.urgent:
		case <-s.wake:
			gather.Reset(gatherTime)
			select {
			case <-ctx.Done():
				return
			case <-s.urgent:
			case <-gather.C:
			}
		}
		if s.flush() {
			repeat.Reset(repeatAfter)
		}
	}
}

// flush sends the queued events and reports whether some have to be repeated.
func (s *sender) flush() bool {
	s.mu.Lock()
	fresh, again := s.fresh, s.again
	s.again = bad(s.fresh)
	s.fresh = nil
	repeat := len(s.again) > 0
	s.mu.Unlock()
	s.send(fresh, 0)
	// The second gateway gets the repetition, in case the first one is lost.
	s.send(again, 1)
	return repeat
}

// bad returns the events that speak against a target.
func bad(events []queued) []queued {
	var out []queued
	for _, e := range events {
		if e.event.Result.Bad() {
			out = append(out, e)
		}
	}
	return out
}

// send sends events; gateway is the position of the gateway that is used in
// other data centres.
func (s *sender) send(events []queued, gateway int) {
	near := map[roster.Member][]queued{}
	far := map[roster.Member][]queued{}
	index := s.sources.Targets()
	for _, e := range events {
		r := s.groups.of(e.service)
		for _, m := range r.within(e.event) {
			near[m] = append(near[m], e)
		}
		for _, members := range r.beyond(index[e.target].DataCentre) {
			m := members[gateway%len(members)]
			far[m] = append(far[m], e)
		}
	}
	for m, theirs := range near {
		s.sendEvents(m, Report{VM: s.self.VM, Born: s.self.Born}, theirs)
	}
	for m, theirs := range far {
		s.sendEvents(m, Report{VM: s.self.VM, Born: s.self.Born, Forward: true}, theirs)
	}
}

// sendEvents sends events with a report in as many datagrams as they need.
func (n *Node) sendEvents(m roster.Member, r Report, events []queued) {
	for part := range slices.Chunk(events, maxEvents) {
		r.Results = newResults(part)
		n.sendAll(&r, []roster.Member{m})
	}
}
