package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
)

// fanoutTTL is how long the recipients of a service's events are cached.
const fanoutTTL = 100 * time.Millisecond

// fanout holds the daemons to which the events of one service are sent.
type fanout struct {
	// local holds the carriers in the local data centre.
	local []roster.Member
	// failuresOnly holds daemons that get only events that count against a target.
	failuresOnly []roster.Member
	// remote holds the carriers in other data centres, by data centre, the preferred
	// gateway first.
	remote map[string][]roster.Member
	// ownTargetsOnly is true if each other data centre gets only the events of its own
	// targets.
	ownTargetsOnly bool
}

// remoteRecipients returns the carriers in other data centres that get the events of a
// target in the given data centre, one list for each data centre.
func (f *fanout) remoteRecipients(dataCentre string) [][]roster.Member {
	if f.ownTargetsOnly {
		if members := f.remote[dataCentre]; len(members) > 0 {
			return [][]roster.Member{members}
		}
		return nil
	}
	return slices.Collect(maps.Values(f.remote))
}

// localRecipients returns the daemons of the local data centre that get the event.
func (f *fanout) localRecipients(e sched.Event) []roster.Member {
	if !e.Result.Bad() {
		return f.local
	}
	return slices.Concat(f.local, f.failuresOnly)
}

// fanoutCache caches the fanouts of services for fanoutTTL. It must be used by one
// goroutine only.
type fanoutCache struct {
	transport *Transport
	fanouts   map[string]*fanout
	asOf      time.Time
}

func newFanoutCache(n *Transport) *fanoutCache {
	return &fanoutCache{transport: n, fanouts: map[string]*fanout{}}
}

// get returns the fanout of the service, from the cache if it is recent enough.
func (c *fanoutCache) get(service string) *fanout {
	if now := time.Now(); now.Sub(c.asOf) > fanoutTTL {
		clear(c.fanouts)
		c.asOf = now
	}
	f := c.fanouts[service]
	if f == nil {
		f = c.transport.newFanout(service)
		c.fanouts[service] = f
	}
	return f
}

// newFanout returns the current fanout of the service.
func (n *Transport) newFanout(service string) *fanout {
	recipients := n.sources.Recipients(service)
	out := &fanout{failuresOnly: recipients.FailuresOnly, ownTargetsOnly: recipients.OwnTargetsOnly, remote: map[string][]roster.Member{}}
	for _, m := range recipients.Carriers {
		if m.DataCentre == n.self.DataCentre {
			out.local = append(out.local, m)
			continue
		}
		out.remote[m.DataCentre] = append(out.remote[m.DataCentre], m)
	}
	for _, members := range out.remote {
		n.sortGateways(members)
	}
	return out
}

// sortGateways orders the members of another data centre by rendezvous hashing, so
// that the daemons of this one use different gateways.
func (n *Transport) sortGateways(members []roster.Member) {
	weight := func(m roster.Member) uint64 { return xxhash.Sum64String(n.self.VM + " " + m.VM) }
	slices.SortFunc(members, func(a, b roster.Member) int { return cmp.Compare(weight(a), weight(b)) })
}
