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

// groupTTL is how long the members of a group are taken as known.
const groupTTL = 100 * time.Millisecond

// recipients are the daemons that get the events of one service.
type recipients struct {
	near []roster.Member
	// strays get only the events that speak against a target.
	strays []roster.Member
	// far holds the members of each other data centre, the preferred gateway first.
	far map[string][]roster.Member
	// local says that each of these only gets the events of its own targets.
	local bool
}

// beyond returns the data centres that get an event of a target in the data centre.
func (r *recipients) beyond(dataCentre string) [][]roster.Member {
	if r.local {
		if members := r.far[dataCentre]; len(members) > 0 {
			return [][]roster.Member{members}
		}
		return nil
	}
	return slices.Collect(maps.Values(r.far))
}

// within returns those of the own data centre that get the event.
func (r *recipients) within(e sched.Event) []roster.Member {
	if !e.Result.Bad() {
		return r.near
	}
	return slices.Concat(r.near, r.strays)
}

// groups remembers the recipients of each service for a moment. It belongs to
// one goroutine.
type groups struct {
	node  *Node
	known map[string]*recipients
	asOf  time.Time
}

func newGroups(n *Node) *groups {
	return &groups{node: n, known: map[string]*recipients{}}
}

func (g *groups) of(service string) *recipients {
	if now := time.Now(); now.Sub(g.asOf) > groupTTL {
		clear(g.known)
		g.asOf = now
	}
	r := g.known[service]
	if r == nil {
		r = g.node.recipients(service)
		g.known[service] = r
	}
	return r
}

func (n *Node) recipients(service string) *recipients {
	audience := n.sources.Group(service)
	out := &recipients{strays: audience.Strays, local: audience.Local, far: map[string][]roster.Member{}}
	for _, m := range audience.Carriers {
		if m.DataCentre == n.self.DataCentre {
			out.near = append(out.near, m)
			continue
		}
		out.far[m.DataCentre] = append(out.far[m.DataCentre], m)
	}
	for _, members := range out.far {
		n.sortGateways(members)
	}
	return out
}

// sortGateways orders the members of another data centre so that the daemons of
// this one spread over them.
func (n *Node) sortGateways(members []roster.Member) {
	rank := func(m roster.Member) uint64 { return xxhash.Sum64String(n.self.VM + " " + m.VM) }
	slices.SortFunc(members, func(a, b roster.Member) int { return cmp.Compare(rank(a), rank(b)) })
}
