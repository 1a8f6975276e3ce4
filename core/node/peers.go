package node

import (
	"slices"
	"time"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
)

// minRequestsForEvents is the number of requests for a service, within the window
// of the retry budget, from which a daemon that does not carry the service receives
// the failures at its targets.
const minRequestsForEvents = 20

// heartbeat returns this daemon's heartbeat.
func (n *Node) heartbeat() gossip.Report {
	r := gossip.Report{
		VM:            n.self.VM,
		StartMillis:   n.self.StartMillis,
		DataCentre:    n.self.DataCentre,
		CallerAddress: n.self.CallerAddress,
		Ready:         n.Ready(),
		Leaving:       n.leaving.Load(),
		Cores:         n.self.Cores,
	}
	position, _ := n.targetList.Position()
	r.ListVersion = position.Version
	if t := n.relay.Table(); t != nil {
		r.ConfigVersion = int64(t.Version)
		r.ConfigAge = n.reportedConfigAge()
		r.Carries = n.subscribedGroups(t.Services())
	}
	return r
}

// subscribedGroups returns the groups of services whose target events this daemon
// wants to receive: those that it carries, and those for which it gets at least
// minRequestsForEvents requests. A holder of quotas carries their group too.
func (n *Node) subscribedGroups(services []string) []string {
	now := time.Now()
	plan := n.plan()
	var out []string
	if n.holdsQuotas() {
		out = append(out, roster.QuotaGroup)
	}
	for _, s := range services {
		group, cores := plan.Group(s)
		if slices.Contains(out, group) {
			continue
		}
		if n.roster.Carries(now, group, cores) || n.relay.RecentRequests(s) >= minRequestsForEvents {
			out = append(out, group)
		}
	}
	return out
}

// plan returns the assignment of services to groups.
func (n *Node) plan() *roster.Plan {
	demand := roster.Demand{Slots: map[string]int{}, DataCentres: len(n.roster.DataCentres())}
	if t := n.relay.Table(); t != nil {
		demand.ServicesByHost = t.ServicesByHost()
	}
	for _, s := range n.services() {
		demand.Slots[s] = n.relay.TargetPool(s).Slots()
	}
	return roster.NewPlan(demand)
}

// monitored returns the daemons from which the local data centre needs frequent
// heartbeats, without this one, and whether this one has to send them.
func (n *Node) monitored() (members []roster.Member, self bool) {
	plan := n.plan()
	groups := map[string]float64{}
	for _, s := range n.services() {
		name, cores := plan.Group(s)
		groups[name] = cores
	}
	if n.hasQuotas() {
		groups[roster.QuotaGroup] = 0
	}
	for _, m := range n.roster.Monitored(time.Now(), groups) {
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

// localEventsMinCarriers is the number of other carriers of a group from which
// events are sent only within the data centres of the sender and of the target.
const localEventsMinCarriers = 12

// eventRecipients returns the other daemons that receive the events of the service.
// Under load, callers that cannot reach the address endpoint spread over all
// daemons; if each of these received every event, the number of event messages
// would grow with the square of the fleet. And a group of small VMs has many
// carriers, each of which would receive the results of all others.
func (n *Node) eventRecipients(service string) gossip.Recipients {
	now := time.Now()
	group, cores := n.plan().Group(service)
	localCarriers := n.roster.Carriers(now, group, n.self.DataCentre, cores)
	var out gossip.Recipients
	for _, m := range n.roster.GroupPeers(now, group, cores) {
		isCarrier := slices.ContainsFunc(localCarriers, func(o roster.Member) bool { return o.VM == m.VM })
		if m.DataCentre == n.self.DataCentre && !isCarrier {
			out.FailuresOnly = append(out.FailuresOnly, m)
			continue
		}
		out.Carriers = append(out.Carriers, m)
	}
	out.OwnTargetsOnly = len(out.Carriers) >= localEventsMinCarriers
	return out
}

// remotelyMonitored returns the data centres whose targets of a service are
// monitored only by the daemons there, because the group has so many carriers that
// events stay local.
func (n *Node) remotelyMonitored(recipients gossip.Recipients) map[string]bool {
	out := map[string]bool{}
	for _, m := range recipients.Carriers {
		if recipients.OwnTargetsOnly && m.DataCentre != n.self.DataCentre {
			out[m.DataCentre] = true
		}
	}
	return out
}

// coCarriers returns the other daemons that carry one of the groups to which this
// daemon subscribes.
func (n *Node) coCarriers() []roster.Member {
	plan := n.plan()
	pending := n.subscribedGroups(n.services())
	var out []roster.Member
	if n.holdsQuotas() {
		out = n.roster.GroupPeers(time.Now(), roster.QuotaGroup, 0)
	}
	for _, s := range n.services() {
		group, cores := plan.Group(s)
		if i := slices.Index(pending, group); i >= 0 {
			out = append(out, n.roster.GroupPeers(time.Now(), group, cores)...)
			pending = slices.Delete(pending, i, i+1)
		}
	}
	return out
}

// remoteCarriers returns the carriers in other data centres that this daemon reports
// to the local data centre.
func (n *Node) remoteCarriers() []gossip.GroupCarriers {
	now := time.Now()
	plan := n.plan()
	var out []gossip.GroupCarriers
	for _, name := range n.subscribedGroups(n.services()) {
		if members := n.roster.RemoteCarriers(now, name, plan.Cores(name)); len(members) > 0 {
			out = append(out, gossip.GroupCarriers{Name: name, Members: members})
		}
	}
	return out
}

func (n *Node) handleRemoteCarriers(g gossip.GroupCarriers) {
	n.roster.RecordRemoteCarriers(time.Now(), g.Name, g.Members)
}

func (n *Node) handleHeartbeat(m roster.Member, r *gossip.Report) bool {
	status := roster.Status{Ready: r.Ready, Leaving: r.Leaving, ReducedRate: r.ReducedRate, ConfigVersion: r.ConfigVersion}
	newGroups, ok := n.roster.RecordHeartbeat(time.Now(), m, status, r.Carries)
	if !ok {
		return false
	}
	n.sendEstimates(m, newGroups)
	n.confirmConfig(r.ConfigVersion, r.ConfigAge)
	n.startupSender.sendIfStarting(m, r)
	return true
}

// sendEstimates sends a peer that starts to carry groups the health estimates of
// the targets of these groups.
func (n *Node) sendEstimates(m roster.Member, groups []string) {
	if len(groups) == 0 {
		return
	}
	plan := n.plan()
	for _, service := range n.services() {
		if group, _ := plan.Group(service); slices.Contains(groups, group) {
			n.gossip.SendEstimates(m, service, n.relay.TargetPool(service).Estimates())
		}
	}
}

func (n *Node) handleEvent(peer string, e sched.Event) {
	n.relay.TargetPool(e.Service).ApplyPeerEvent(peer, e)
}

func (n *Node) handleEstimates(service string, targets []sched.TargetEstimate, remaining int) {
	n.relay.TargetPool(service).MergeEstimates(targets)
	if remaining == 0 {
		n.healthQueries.complete(service)
	}
}

// lookup returns the addresses to which a caller in the data centre connects for
// the host, and how long it may cache them.
func (n *Node) lookup(host, dataCentre string) ([]string, time.Duration) {
	t := n.relay.Table()
	if t == nil {
		return nil, 0
	}
	group, cores := n.plan().Group(t.MainService(host))
	return n.roster.CallerAddresses(time.Now(), group, dataCentre, cores), addressTTL
}

// addressesOf returns the addresses of the members for peers.
func addressesOf(members []roster.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.PeerAddress
	}
	return out
}

// addressTTL is how long a caller may cache the addresses. Callers stop using a
// failed daemon within about this time.
const addressTTL = time.Second
