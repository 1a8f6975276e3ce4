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
	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/watch"
)

const (
	// heartbeatInterval is the time between two heartbeats of a monitored daemon to
	// the members of its data centre.
	heartbeatInterval = 200 * time.Millisecond
	// reducedRateEvery is the number of heartbeat intervals between two heartbeats of
	// a daemon that is not monitored. It sends them to the monitored daemons only.
	reducedRateEvery = 5
	// remoteEvery is the number of heartbeat intervals between two heartbeats to
	// carriers in other data centres. Traffic between data centres is billed.
	remoteEvery = 5
	// batchDelay is how long events are collected into a batch. Events that count
	// against a target are sent at once, except slow responses.
	batchDelay = 15 * time.Millisecond
	// repeatDelay is the longest delay before events that count against a target are
	// sent a second time.
	repeatDelay = 40 * time.Millisecond
	// maxPending is the largest number of events that wait to be sent. If there are
	// more, the oldest are dropped.
	maxPending = 1024
)

// Handlers are called with the contents of the reports that arrive. They must not
// block.
type Handlers struct {
	// Heartbeat is called with each heartbeat. If it returns false, the rest of the
	// report is ignored.
	Heartbeat func(m roster.Member, r *Report) bool
	// Event is called once with each event of a target.
	Event func(peer string, e sched.Event)
	// ListPart is called with each part of a change of the target list.
	ListPart func(peer string, p watch.Part)
	// ListRequest is called if a peer asks for the changes of the target list since a
	// position in the store.
	ListRequest func(peer roster.Member, since watch.Position)
	// RemoteCarriers is called with carriers of a group in other data centres.
	RemoteCarriers func(g GroupCarriers)
	// Snapshot is called with the whole target list, which peers send to a daemon that has
	// just started, and at the beginning of an era of the store. Members is called with
	// members of the fleet, which they send only to a daemon that has just started.
	Snapshot func(peer string, d watch.Delta)
	Members  func(sender string, members []roster.Member)
	// Config is called with a configuration that a peer read from the store.
	Config func(peer string, d Document)
	// ConfigRequest is called if a peer, which has the given version of the configuration
	// in force, asks for a newer one.
	ConfigRequest func(peer roster.Member, version int64)
	// Estimates is called with a peer's health estimates of targets of a service; left is
	// the number of reports on the service that follow.
	Estimates func(service string, targets []sched.TargetEstimate, left int)
	// EstimateRequest is called if a peer requests this daemon's health estimates for a
	// service.
	EstimateRequest func(peer roster.Member, service string)
	// QuotaRequest and QuotaReply are called with the messages of the quotas.
	QuotaRequest func(peer roster.Member, m *quota.RequestMsg)
	QuotaReply   func(peer roster.Member, m *quota.ReplyMsg)
}

// Sources provide the contents and the recipients of the reports that this daemon
// sends.
type Sources struct {
	// Heartbeat returns the daemon's heartbeat.
	Heartbeat func() Report
	// LocalPeers returns the other members of the local data centre.
	LocalPeers func() []roster.Member
	// Monitored returns the monitored daemons of the local data centre without this one,
	// and whether this daemon is monitored too.
	Monitored func() (members []roster.Member, self bool)
	// Targets returns the index of the targets that this daemon knows.
	Targets func() TargetIndex
	// Recipients returns the daemons that get the events of a service.
	Recipients func(service string) Recipients
	// GroupPeers returns the daemons that carry a group which this daemon carries too.
	GroupPeers func() []roster.Member
	// RemoteCarriers returns the carriers in other data centres that the local data
	// centre is informed of.
	RemoteCarriers func() []GroupCarriers
}

// Recipients holds the daemons that get the events of a service.
type Recipients struct {
	Carriers []roster.Member
	// FailuresOnly are daemons of the local data centre that get only the events that
	// count against a target.
	FailuresOnly []roster.Member
	// OwnTargetsOnly is true if another data centre gets only the events of its own
	// targets.
	OwnTargetsOnly bool
}

// Transport sends and receives reports on a UDP socket.
type Transport struct {
	self     roster.Member
	conn     *net.UDPConn
	sources  Sources
	handlers Handlers
	logger   log.Logger

	mu sync.Mutex
	// lastSeq is the sequence number of the last event that was queued.
	lastSeq uint64
	// pending holds events that were not sent yet, repeats those to be sent a second
	// time.
	pending []queuedEvent
	repeats []queuedEvent
	dropped uint64
	// wake tells the sender that events are pending, urgent that they must be sent at
	// once.
	wake   chan struct{}
	urgent chan struct{}

	windowsMu sync.Mutex
	windows   map[string]*senderWindow
}

// senderWindow is the deduplication window for one run of a sender.
type senderWindow struct {
	startMillis int64
	window      dedupWindow
}

// NewTransport returns a transport that uses the connection.
func NewTransport(self roster.Member, conn *net.UDPConn, sources Sources, handlers Handlers, logger log.Logger) *Transport {
	return &Transport{
		self:     self,
		conn:     conn,
		sources:  sources,
		handlers: handlers,
		logger:   logger,
		wake:     make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		windows:  map[string]*senderWindow{},
	}
}

// Start starts sending and receiving. Sending ends with ctx, receiving when the
// connection is closed.
func (n *Transport) Start(ctx context.Context) {
	r := &receiver{Transport: n, fanouts: newFanoutCache(n)}
	go r.run()
	h := &heartbeater{n}
	go h.loop(ctx)
	s := &sender{Transport: n, fanouts: newFanoutCache(n)}
	go s.loop(ctx)
}

// QueueEvent queues an event to be sent to the daemons that get the events of its
// service. It does not block.
func (n *Transport) QueueEvent(e sched.Event) {
	n.mu.Lock()
	n.lastSeq++
	if len(n.pending) >= maxPending {
		n.pending = n.pending[1:]
		n.dropped++
	}
	n.pending = append(n.pending, newQueuedEvent(n.lastSeq, e))
	n.mu.Unlock()
	notify(n.wake)
	if e.Result.Bad() && e.Result != judge.Slow {
		notify(n.urgent)
	}
}

// notify sends a signal on a channel with a buffer of one, unless one is waiting
// already.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxChanges is the largest number of changes of the target list in one report; with
// more it would not fit in a datagram.
const maxChanges = 8

// Dropped returns the number of events that were dropped before they were sent.
func (n *Transport) Dropped() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(n.dropped)
}

// SendListChanges sends a change of the target list to peers.
func (n *Transport) SendListChanges(d watch.Delta, to []roster.Member) {
	for _, part := range d.Split(maxChanges) {
		n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, ListPart: &part}, to)
	}
}

// RequestListChanges asks a peer for the changes of the target list since a position.
func (n *Transport) RequestListChanges(since watch.Position, to roster.Member) {
	r := &Report{VM: n.self.VM, StartMillis: n.self.StartMillis, WantsListSince: since.Version, WantsListEra: since.Era}
	n.sendReport(r, []roster.Member{to})
}

// SendHeartbeat sends a heartbeat to the members of the local data centre and to
// carriers in others at once, for example when the daemon starts or leaves.
func (n *Transport) SendHeartbeat() {
	report := n.sources.Heartbeat()
	n.sendReport(&report, n.sources.LocalPeers())
	n.sendRemoteHeartbeat(&report)
}

// sendRemoteHeartbeat sends a heartbeat to the carriers in other data centres.
func (n *Transport) sendRemoteHeartbeat(report *Report) {
	sent := map[string]bool{}
	for _, m := range n.sources.GroupPeers() {
		if m.DataCentre != report.DataCentre && !sent[m.VM] {
			sent[m.VM] = true
			n.sendReport(report, []roster.Member{m})
		}
	}
}

// sendReport encodes a report and sends it to each of the members.
func (n *Transport) sendReport(r *Report, members []roster.Member) {
	if len(members) == 0 {
		return
	}
	data, err := r.Encode()
	if err != nil {
		_ = n.logger.Log("msg", "report not sent", "err", err)
		return
	}
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			_ = n.logger.Log("msg", "peer has no usable address", "peer", m.VM, "err", err)
			continue
		}
		// Datagrams may be lost anyway, so a failed write is not handled.
		_, _ = n.conn.WriteToUDPAddrPort(data, address)
	}
}

// heartbeater sends heartbeats at regular intervals.
type heartbeater struct{ *Transport }

func (h *heartbeater) loop(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for count := 0; ; count++ {
		h.sendDue(count)
		if count%remoteEvery == 0 {
			h.sendRemoteCarriers()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendDue sends the heartbeats that are due in the interval with the given number.
func (h *heartbeater) sendDue(count int) {
	monitored, self := h.sources.Monitored()
	if !self && count%reducedRateEvery != 0 {
		return
	}
	report := h.sources.Heartbeat()
	if self {
		h.sendReport(&report, h.sources.LocalPeers())
	} else {
		report.ReducedRate = true
		h.sendReport(&report, monitored)
	}
	if count%remoteEvery == 0 {
		h.sendRemoteHeartbeat(&report)
	}
}

// maxMembers is the largest number of members in one report; with more it would not
// fit in a datagram.
const maxMembers = 12

// sendRemoteCarriers informs the local data centre of the carriers in others, so that
// results from a daemon that does not carry a service reach all its carriers.
func (h *heartbeater) sendRemoteCarriers() {
	local := h.sources.LocalPeers()
	for _, g := range h.sources.RemoteCarriers() {
		for part := range slices.Chunk(g.Members, maxMembers) {
			h.sendReport(&Report{VM: h.self.VM, StartMillis: h.self.StartMillis, RemoteCarriers: []GroupCarriers{{Name: g.Name, Members: part}}}, local)
		}
	}
}
