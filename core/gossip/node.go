package gossip

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/watch"
)

const (
	// beatInterval is the time between two heartbeats of a watched daemon to its
	// data centre.
	beatInterval = 200 * time.Millisecond
	// quietBeats is the number of heartbeats of which a daemon that is not watched
	// sends one, to those that are.
	quietBeats = 5
	// farBeats is the number of heartbeats after which the carriers in other data
	// centres get one too; traffic between data centres is paid for.
	farBeats = 5
	// gatherTime is how long events are gathered before they are sent. Those that
	// speak against a target are sent at once.
	gatherTime = 15 * time.Millisecond
	// repeatAfter is the longest time until events that speak against a target are
	// sent the second time.
	repeatAfter = 40 * time.Millisecond
	// maxQueued bounds the events that wait to be sent; the oldest are dropped.
	maxQueued = 1024
)

// Handlers are told what peers report. They must not block.
type Handlers struct {
	// Heard is told each report; it returns false if the report is to be ignored.
	Heard func(m roster.Member, r *Report) bool
	Event func(peer string, e sched.Event)
	List  func(p watch.Part)
	// Group is told who carries a group in other data centres.
	Group func(g Group)
	// Snapshot is told the whole target list, Members who else is in the data centre;
	// both come only to a daemon that has just started.
	Snapshot func(d watch.Delta)
	Members  func(sender string, members []roster.Member)
	// Config is told a configuration that a peer has read.
	Config func(d Document)
	// Beliefs is told what a peer believes of the targets of a service; left is the
	// number of reports on it that follow.
	Beliefs func(service string, targets []sched.TargetBelief, left int)
	// Asked is told that a peer asks for what this daemon believes of a service.
	Asked func(peer roster.Member, service string)
}

// Sources are asked for what the reports of this daemon hold.
type Sources struct {
	// State returns the daemon's own part of a report.
	State func() Report
	// Near returns the daemons of the own data centre.
	Near func() []roster.Member
	// Watched returns those that all of them have to hear often, and whether this
	// daemon is one of them.
	Watched func() (members []roster.Member, self bool)
	// Targets returns the targets that this daemon knows.
	Targets func() TargetIndex
	// Group returns the daemons that get the events of a service.
	Group func(service string) Audience
	// Peers returns the daemons that carry what this daemon carries.
	Peers func() []roster.Member
	// Groups returns what the own data centre is told of carriers in others.
	Groups func() []Group
}

// Audience is the daemons that get the events of a service.
type Audience struct {
	Carriers []roster.Member
	// Strays are daemons of the own data centre that only get the events that speak
	// against a target.
	Strays []roster.Member
	// Local says that another data centre only gets the events of its own targets.
	Local bool
}

// Node sends and receives reports.
type Node struct {
	self     roster.Member
	conn     *net.UDPConn
	sources  Sources
	handlers Handlers
	logger   log.Logger

	mu      sync.Mutex
	number  uint64
	fresh   []queued
	again   []queued
	dropped uint64
	wake    chan struct{}
	urgent  chan struct{}

	seenMu sync.Mutex
	seen   map[string]*seenOf
}

// seenOf is what was taken from one run of a sender.
type seenOf struct {
	born int64
	seen seen
}

// NewNode returns a node on the connection.
func NewNode(self roster.Member, conn *net.UDPConn, sources Sources, handlers Handlers, logger log.Logger) *Node {
	return &Node{
		self:     self,
		conn:     conn,
		sources:  sources,
		handlers: handlers,
		logger:   logger,
		wake:     make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		seen:     map[string]*seenOf{},
	}
}

// Start runs the node until ctx ends.
func (n *Node) Start(ctx context.Context) {
	r := &receiver{Node: n, groups: newGroups(n)}
	go r.run()
	b := &beats{n}
	go b.loop(ctx)
	s := &sender{Node: n, groups: newGroups(n)}
	go s.loop(ctx)
}

// Tell queues an event for the peers of its service. It does not block.
func (n *Node) Tell(e sched.Event) {
	n.mu.Lock()
	n.number++
	if len(n.fresh) >= maxQueued {
		n.fresh = n.fresh[1:]
		n.dropped++
	}
	n.fresh = append(n.fresh, newQueued(n.number, e))
	n.mu.Unlock()
	signal(n.wake)
	if e.Result.Bad() && e.Result != judge.Slow {
		signal(n.urgent)
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxChanges bounds the changes of the target list in one report, so that it
// fits in a datagram.
const maxChanges = 8

// Dropped returns the number of events that were dropped unsent.
func (n *Node) Dropped() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(n.dropped)
}

// TellList passes a change of the target list on to the own data centre.
func (n *Node) TellList(d watch.Delta) {
	near := n.sources.Near()
	for _, part := range d.Split(maxChanges) {
		n.sendAll(&Report{VM: n.self.VM, Born: n.self.Born, List: &part}, near)
	}
}

// Beat sends a heartbeat to everybody at once, for example when the daemon starts
// or leaves.
func (n *Node) Beat() {
	report := n.sources.State()
	n.sendAll(&report, n.sources.Near())
	n.beatFar(&report)
}

// beatFar sends a heartbeat to the carriers in other data centres.
func (n *Node) beatFar(report *Report) {
	told := map[string]bool{}
	for _, m := range n.sources.Peers() {
		if m.DataCentre != report.DataCentre && !told[m.VM] {
			told[m.VM] = true
			n.sendAll(report, []roster.Member{m})
		}
	}
}

func (n *Node) sendAll(r *Report, members []roster.Member) {
	if len(members) == 0 {
		return
	}
	data, err := r.Encode()
	if err != nil {
		_ = n.logger.Log("msg", "report not sent", "err", err)
		return
	}
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Inner)
		if err != nil {
			_ = n.logger.Log("msg", "peer has no usable address", "peer", m.VM, "err", err)
			continue
		}
		// Reports may be lost anyway, so a failed send needs no answer.
		_, _ = n.conn.WriteToUDPAddrPort(data, address)
	}
}

// beats sends heartbeats.
type beats struct{ *Node }

func (b *beats) loop(ctx context.Context) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for count := 0; ; count++ {
		b.beat(count)
		if count%farBeats == 0 {
			b.tellGroups()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// beat sends the heartbeats that are due.
func (b *beats) beat(count int) {
	watched, self := b.sources.Watched()
	if !self && count%quietBeats != 0 {
		return
	}
	report := b.sources.State()
	if self {
		b.sendAll(&report, b.sources.Near())
	} else {
		report.Quiet = true
		b.sendAll(&report, watched)
	}
	if count%farBeats == 0 {
		b.beatFar(&report)
	}
}

// maxGroup bounds the members of one report, so that it fits in a datagram.
const maxGroup = 12

// tellGroups tells the own data centre who carries what in others, so that
// evidence from daemons that do not carry a service reaches all that do.
func (b *beats) tellGroups() {
	near := b.sources.Near()
	for _, g := range b.sources.Groups() {
		for part := range slices.Chunk(g.Members, maxGroup) {
			b.sendAll(&Report{VM: b.self.VM, Born: b.self.Born, Groups: []Group{{Name: g.Name, Members: part}}}, near)
		}
	}
}
