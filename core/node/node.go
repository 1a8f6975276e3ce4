package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/stats"
	"wisteriarelay.example/core/watch"
)

// Node is one daemon.
type Node struct {
	app      *fx.App
	settings atomic.Pointer[Settings]
	platform *Platform
	logger   log.Logger
	set      *stats.Set
	dump     *stats.Dump
	self     roster.Member

	relay   *relay.Relay
	callers *caller.Server
	roster  *roster.Roster
	list    *watch.List
	peers   *gossip.Node
	conn    *net.UDPConn
	ports   *ports

	startedAt time.Time
	leaving   atomic.Bool
	// listReadAt is when the daemon last read the target list from the store itself.
	listReadAt atomic.Pointer[time.Time]
	// listPieceAt is when a peer last passed on a piece of the target list.
	listPieceAt atomic.Pointer[time.Time]
	// listed says that the target list was read once.
	listed atomic.Bool
	// oldList is a target list of a peer that could not read the store either.
	oldList atomic.Pointer[watch.Delta]
	// acquainted says that the other daemons of the data centre are known.
	acquainted atomic.Bool
	// document is the configuration in force as it lies in the store.
	document atomic.Pointer[gossip.Document]
	helper   *helper
	// configMu lets one configuration at a time come into force.
	configMu sync.Mutex
	// prepared is open once all that a request needs is in place.
	prepared *gate
	// targetsMu lets one list of targets at a time come into place.
	targetsMu sync.Mutex
	// index finds the targets by what peers call them.
	index atomic.Pointer[gossip.TargetIndex]
	// newest is the highest configuration version that a peer has in force.
	newest atomic.Int64
	// askNow ends a call that waits for a configuration.
	askNow   chan struct{}
	assembly watch.Assembly
	// inquiries ask peers about targets of services that this daemon does not carry.
	inquiries *inquiries
	cancel    context.CancelFunc
}

// Option changes a Node.
type Option func(*Node)

// WithLogger sets the logger; the node logs nothing without it.
func WithLogger(l log.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithDroppedLines sets the function that returns the number of dropped log lines, for the metrics.
func WithDroppedLines(dropped func() int64) Option {
	return func(n *Node) { n.set.Gauge("log_lines_dropped", dropped) }
}

// New assembles a daemon; Start runs it.
func New(settings *Settings, platform *Platform, opts ...Option) (*Node, error) {
	n := &Node{
		platform: platform,
		logger:   log.NewNopLogger(),
		set:      stats.New(),
		dump:     stats.NewDump(),
		list:     watch.NewList(),
		askNow:   make(chan struct{}, 1),

		startedAt: time.Now(),
	}
	n.settings.Store(settings)
	n.inquiries = newInquiries(n)
	n.helper = newHelper(n)
	n.prepared = newGate()
	for _, o := range opts {
		o(n)
	}
	n.self = roster.Member{
		VM:         settings.VM,
		DataCentre: settings.DataCentre,
		Inner:      settings.InnerAddress,
		Callers:    settings.CallerAddress,
		Born:       time.Now().UnixMilli(),
		Cores:      settings.Capacity(),
	}
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(settings, platform, n.set, n.self),
		fx.Provide(func() log.Logger { return n.logger }),
		fx.Provide(roster.New, n.newRelay, n.newCallers, n.newConn, n.newPeers),
		fx.Populate(&n.relay, &n.callers, &n.roster, &n.conn, &n.peers),
		fx.Invoke(n.register),
	)
	return n, n.app.Err()
}

func (n *Node) newRelay() *relay.Relay {
	opts := []relay.Option{
		relay.WithLogger(n.logger),
		relay.WithStats(n.set),
		relay.WithBudget(budgetOf(n.settings.Load())),
		relay.WithEmit(func(e sched.Event) { n.peers.Tell(e) }),
		relay.WithInform(n.inquiries.await),
	}
	if m := n.settings.Load().MemoryMB; m > 0 {
		opts = append(opts, relay.WithAnswerMemory(m<<20/messageShare))
	}
	return relay.New(n.self.DataCentre, n.platform.Headers, opts...)
}

// messageShare divides the VM's memory: one part may hold bodies of requests, and
// as much answers.
const messageShare = 8

func budgetOf(s *Settings) relay.Budget {
	b := s.RetryBudget
	return relay.Budget{Span: seconds(b.SpanSeconds), Ratio: b.Ratio, Slack: b.Slack}
}

func (n *Node) newCallers(r *relay.Relay) *caller.Server {
	opts := []caller.Option{caller.WithLogger(n.logger)}
	if m := n.settings.Load().MemoryMB; m > 0 {
		opts = append(opts, caller.WithBodyMemory(m<<20/messageShare))
	}
	return caller.NewServer(n.handle, r.Limits, opts...)
}

func (n *Node) newConn() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", n.self.Inner)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", address)
}

func (n *Node) newPeers(conn *net.UDPConn) *gossip.Node {
	sources := gossip.Sources{State: n.report, Targets: n.targetIndex, Near: func() []roster.Member { return n.roster.Near() }, Watched: n.watched, Group: n.group, Peers: n.carryingPeers, Groups: n.farGroups}
	handlers := gossip.Handlers{Heard: n.heard, Event: n.event, List: n.listHeard, Group: n.told, Config: n.configHeard, Beliefs: n.beliefs, Asked: n.asked, Snapshot: n.listTold, Members: n.membersTold}
	return gossip.NewNode(n.self, conn, sources, handlers, n.logger)
}

func (n *Node) register(life fx.Lifecycle) {
	life.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

// Start opens the ports and runs the parts; it does not wait for readiness.
func (n *Node) Start(ctx context.Context) error {
	return n.app.Start(ctx)
}

func (n *Node) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.registerState()
	ports, err := n.openPorts()
	if err != nil {
		cancel()
		return err
	}
	n.ports = ports
	n.peers.Start(ctx)
	n.seek()
	c := &configFollower{n}
	go c.loop(ctx)
	l := &listFollower{Node: n}
	go l.loop(ctx)
	m := &registration{n}
	go m.loop(ctx)
	u := &upkeep{n}
	go u.loop(ctx)
	_ = n.logger.Log("msg", "started", "vm", n.self.VM, "data-centre", n.self.DataCentre, "born", n.self.Born, "inner", n.self.Inner)
	return nil
}

func (n *Node) stop(context.Context) error {
	n.cancel()
	n.callers.Close()
	n.ports.close()
	return n.conn.Close()
}

// Ready reports whether the daemon can serve requests.
func (n *Node) Ready() bool {
	return n.prepared.isOpen() && !n.leaving.Load()
}
