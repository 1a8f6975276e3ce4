package node

import (
	"slices"
	"time"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/watch"
)

// strayRequests is the number of requests in the span of the retry budget from
// which a daemon is told of failures at the targets of a service that others carry.
const strayRequests = 20

// report returns the daemon's own part of a report.
func (n *Node) report() gossip.Report {
	r := gossip.Report{
		VM:         n.self.VM,
		Born:       n.self.Born,
		DataCentre: n.self.DataCentre,
		Callers:    n.self.Callers,
		Ready:      n.Ready(),
		Leaving:    n.leaving.Load(),
		Cores:      n.self.Cores,
	}
	r.Targets, _ = n.list.Position()
	if t := n.relay.Table(); t != nil {
		r.Config = int64(t.Version)
		r.Carries = n.carried(t.Services())
	}
	return r
}

// carried returns the groups of services whose evidence this daemon wants.
func (n *Node) carried(services []string) []string {
	now := time.Now()
	plan := n.plan()
	var out []string
	for _, s := range services {
		group, cores := plan.Group(s)
		if slices.Contains(out, group) {
			continue
		}
		if n.roster.Carries(now, group, cores) || n.relay.Recent(s) >= strayRequests {
			out = append(out, group)
		}
	}
	return out
}

// plan returns which daemons carry which services.
func (n *Node) plan() *roster.Plan {
	demand := roster.Demand{Slots: map[string]int{}, DataCentres: len(n.roster.DataCentres())}
	if t := n.relay.Table(); t != nil {
		demand.Joined = t.ServicesByHost()
	}
	for _, s := range n.services() {
		demand.Slots[s] = n.relay.Pool(s).Slots()
	}
	return roster.NewPlan(demand)
}

// watched returns the daemons that the own data centre has to hear often, without
// this one, and whether this one is among them.
func (n *Node) watched() (members []roster.Member, self bool) {
	plan := n.plan()
	groups := map[string]float64{}
	for _, s := range n.services() {
		name, cores := plan.Group(s)
		groups[name] = cores
	}
	for _, m := range n.roster.Watched(time.Now(), groups) {
		if m.VM == n.self.VM {
			self = true
			continue
		}
		members = append(members, m)
	}
	return members, self || n.leaving.Load() || !n.Ready()
}

func (n *Node) services() []string {
	if t := n.relay.Table(); t != nil {
		return t.Services()
	}
	return nil
}

// localFrom is the number of carriers of a group from which events stay in the data
// centres of the sender and of the target.
const localFrom = 12

// group returns the other daemons that get the events of the service. Load patterns:
// callers that find no directory spread over all daemons, and if each of these heard
// every event, evidence would grow with the square of the fleet; and a group of weak
// VMs has many carriers, each of which would hear the results of all.
func (n *Node) group(service string) gossip.Audience {
	now := time.Now()
	group, cores := n.plan().Group(service)
	near := n.roster.Carriers(now, group, n.self.DataCentre, cores)
	var out gossip.Audience
	for _, m := range n.roster.Group(now, group, cores) {
		ranked := slices.ContainsFunc(near, func(o roster.Member) bool { return o.VM == m.VM })
		if m.DataCentre == n.self.DataCentre && !ranked {
			out.Strays = append(out.Strays, m)
			continue
		}
		out.Carriers = append(out.Carriers, m)
	}
	out.Local = len(out.Carriers) >= localFrom
	return out
}

// tended returns the data centres whose own daemons alone know their targets of a
// service, because its group is large.
func (n *Node) tended(audience gossip.Audience) map[string]bool {
	out := map[string]bool{}
	for _, m := range audience.Carriers {
		if audience.Local && m.DataCentre != n.self.DataCentre {
			out[m.DataCentre] = true
		}
	}
	return out
}

// carryingPeers returns the daemons that carry a group which this daemon carries.
func (n *Node) carryingPeers() []roster.Member {
	plan := n.plan()
	carried := n.carried(n.services())
	var out []roster.Member
	for _, s := range n.services() {
		group, cores := plan.Group(s)
		if at := slices.Index(carried, group); at >= 0 {
			out = append(out, n.roster.Group(time.Now(), group, cores)...)
			carried = slices.Delete(carried, at, at+1)
		}
	}
	return out
}

// farGroups returns what this daemon tells its data centre of carriers in others.
func (n *Node) farGroups() []gossip.Group {
	now := time.Now()
	plan := n.plan()
	var out []gossip.Group
	for _, name := range n.carried(n.services()) {
		if members := n.roster.FarCarriers(now, name, plan.Cores(name)); len(members) > 0 {
			out = append(out, gossip.Group{Name: name, Members: members})
		}
	}
	return out
}

func (n *Node) told(g gossip.Group) {
	n.roster.Told(time.Now(), g.Name, g.Members)
}

func (n *Node) heard(m roster.Member, r *gossip.Report) bool {
	standing := roster.Standing{Ready: r.Ready, Leaving: r.Leaving, Quiet: r.Quiet}
	begun, ok := n.roster.Heard(time.Now(), m, standing, r.Carries)
	if !ok {
		return false
	}
	n.tellBeliefs(m, begun)
	if r.Config > n.newest.Load() {
		n.newest.Store(r.Config)
	}
	n.helper.offer(m, r)
	return true
}

// tellBeliefs tells a peer that begins to carry groups what is believed of their targets.
func (n *Node) tellBeliefs(m roster.Member, groups []string) {
	if len(groups) == 0 {
		return
	}
	plan := n.plan()
	for _, service := range n.services() {
		if group, _ := plan.Group(service); slices.Contains(groups, group) {
			n.peers.TellBeliefs(m, service, n.relay.Pool(service).Beliefs())
		}
	}
}

// renewTargets puts the targets of the list in place. One call at a time, so that
// none that was overtaken brings back a target that has left.
func (n *Node) renewTargets() {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	targets := n.list.Targets()
	index := gossip.NewTargetIndex(targets)
	n.index.Store(&index)
	n.relay.SetTargets(targets)
}

func (n *Node) targetIndex() gossip.TargetIndex {
	if index := n.index.Load(); index != nil {
		return *index
	}
	return nil
}

func (n *Node) event(peer string, e sched.Event) {
	n.relay.Pool(e.Service).Learn(peer, e)
}

func (n *Node) beliefs(service string, targets []sched.TargetBelief, left int) {
	n.relay.Pool(service).Adopt(targets)
	if left == 0 {
		n.inquiries.answer(service)
	}
}

// listHeard takes in a piece of a change of the target list; only the receiver
// of the datagrams calls it.
func (n *Node) listHeard(p watch.Part) {
	now := time.Now()
	n.listPieceAt.Store(&now)
	if d, ok := n.assembly.Add(p); ok {
		n.applyList(d)
	}
}

// applyList takes in changes of the target list and returns those that matter.
func (n *Node) applyList(d watch.Delta) watch.Applied {
	out := n.list.Apply(time.Now(), d)
	if !out.Taken {
		return out
	}
	if out.Returned {
		_ = n.logger.Log("msg", "store can be read again", "list-version", d.Version)
		if n.readsForOthers() {
			n.askConfig()
		}
	}
	first := !n.listed.Load()
	if first || len(out.Changes) > 0 {
		n.renewTargets()
	}
	if first {
		// Only now, because the daemon is ready from here on.
		n.listed.Store(true)
		n.refresh()
	}
	for _, c := range out.Changes {
		_ = n.logger.Log("msg", "target changed", "target", c.ID, "gone", c.Entry == nil,
			"draining", c.Entry != nil && c.Entry.Draining, "list-version", d.Version, "age", d.Age)
	}
	return out
}

// lookup answers a caller that asks where to connect.
func (n *Node) lookup(host, dataCentre string) ([]string, time.Duration) {
	t := n.relay.Table()
	if t == nil {
		return nil, 0
	}
	group, cores := n.plan().Group(t.MainService(host))
	return n.roster.Answer(time.Now(), group, dataCentre, cores), addressTTL
}

// addressTTL is how long a caller may keep an answer. Callers leave a dead
// daemon within about this time.
const addressTTL = time.Second
