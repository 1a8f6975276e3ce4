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
	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/stats"
	"wisteriarelay.example/core/watch"
)

// Node is one daemon.
type Node struct {
	app       *fx.App
	settings  atomic.Pointer[Settings]
	platform  *Platform
	logger    log.Logger
	metrics   *stats.Registry
	stateDump *stats.StateDump
	self      roster.Member

	relay        *relay.Relay
	callerServer *caller.Server
	// memory is the budget for what is held for callers and targets; nil if the memory of
	// the VM is not known.
	memory     *memory.Budget
	roster     *roster.Roster
	targetList *watch.List
	gossip     *gossip.Transport
	gossipConn *net.UDPConn
	auxServers *auxServers
	quotas     *quota.Manager
	// quotaIndex holds the quotas of the configuration in force.
	quotaIndex       atomic.Pointer[quotaIndex]
	quotaHolderCache atomic.Pointer[cachedQuotaHolders]

	startedAt time.Time
	leaving   atomic.Bool
	// listReadAt is when the daemon last read the target list from the store itself.
	listReadAt atomic.Pointer[time.Time]
	// storeEra is the latest known era of the store.
	storeEra *storeEra
	// eraProblemLogged says that an unreadable era was logged.
	eraProblemLogged atomic.Bool
	// sentList is the position to which the changes of the target list lead that were last
	// sent in the data centre, by this daemon or by a peer; nil if none were.
	sentList atomic.Pointer[watch.Position]
	// lastListPart is the last part of the target list from a peer.
	lastListPart atomic.Pointer[listPartTimes]
	// listLoaded says that the target list was loaded once, from the store or a peer.
	listLoaded atomic.Bool
	// staleList is an outdated target list from a peer that may not be able to read the
	// store either.
	staleList atomic.Pointer[watch.Delta]
	// membersKnown says that all other daemons of the data centre are known.
	membersKnown atomic.Bool
	// configDocument is the configuration in force in the encoding of the store.
	configDocument atomic.Pointer[gossip.Document]
	configAge      configAge
	configResends  *resendLimiter
	listResends    *resendLimiter
	startupSender  *startupSender
	// configMu serializes changes of the configuration.
	configMu sync.Mutex
	// initialized is set once everything that requests need is in place.
	initialized *latch
	// refreshMu serializes refresh.
	refreshMu sync.Mutex
	// allocations holds the daemon's part of the retry budget by service; refreshMu guards
	// it.
	allocations map[string]*retry.SettledAllocation
	// targetsMu serializes changes of the relay's targets.
	targetsMu sync.Mutex
	// index finds targets by the hashes that stand for them in datagrams.
	index atomic.Pointer[gossip.TargetIndex]
	// configReadRequests asks the configuration follower to reread the configuration.
	configReadRequests chan struct{}
	// listReadRequests ends the backoff after failed reads of the target list.
	listReadRequests chan struct{}
	listAssembly     watch.Assembler
	// healthQueries asks peers about the targets of services that this daemon does not
	// carry.
	healthQueries *healthQueries
	cancel        context.CancelFunc
}

// Option configures a Node.
type Option func(*Node)

// WithLogger sets the logger; the node logs nothing without it.
func WithLogger(l log.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithDroppedLines exports the number of dropped log lines, which the function
// returns, as a metric.
func WithDroppedLines(dropped func() int64) Option {
	return func(n *Node) { n.metrics.Gauge("log_lines_dropped", dropped) }
}

// New assembles a daemon without starting it; call Start to run it.
func New(settings *Settings, platform *Platform, opts ...Option) (*Node, error) {
	n := &Node{
		platform:           platform,
		logger:             log.NewNopLogger(),
		metrics:            stats.New(),
		stateDump:          stats.NewStateDump(),
		targetList:         watch.NewList(),
		storeEra:           newStoreEra(),
		configReadRequests: make(chan struct{}, 1),
		listReadRequests:   make(chan struct{}, 1),
		allocations:        map[string]*retry.SettledAllocation{},

		startedAt: time.Now(),
	}
	n.settings.Store(settings)
	if m := settings.MemoryBytes(); m > 0 {
		n.memory = memory.New(memory.LimitsOf(m))
	}
	n.healthQueries = newHealthQueries(n)
	n.startupSender = newStartupSender(n)
	n.configResends = newResendLimiter(peerResendInterval)
	n.listResends = newResendLimiter(peerResendInterval)
	n.initialized = newLatch()
	for _, o := range opts {
		o(n)
	}
	if platform.OnEra != nil {
		platform.OnEra(n.handleStoreEra)
	}
	n.self = roster.Member{
		VM:            settings.VM,
		DataCentre:    settings.DataCentre,
		PeerAddress:   settings.PeerAddress,
		CallerAddress: settings.CallerAddress,
		StartMillis:   time.Now().UnixMilli(),
		Cores:         settings.Capacity(),
	}
	n.quotas = n.newQuotas()
	n.app = fx.New(
		fx.NopLogger,
		fx.Supply(settings, platform, n.metrics, n.self),
		fx.Provide(func() log.Logger { return n.logger }),
		fx.Provide(roster.New, n.newRelay, n.newCallerServer, n.newGossipConn, n.newGossipTransport),
		fx.Populate(&n.relay, &n.callerServer, &n.roster, &n.gossipConn, &n.gossip),
		fx.Invoke(n.registerHooks),
	)
	return n, n.app.Err()
}

func (n *Node) newRelay() *relay.Relay {
	opts := []relay.Option{
		relay.WithLogger(n.logger),
		relay.WithStats(n.metrics),
		relay.WithRetryBudget(relayBudget(n.settings.Load())),
		relay.WithEmit(func(e sched.Event) { n.gossip.QueueEvent(e) }),
		relay.WithBeforeAcquire(n.healthQueries.wait),
		relay.WithQuota(n.acquireQuota),
	}
	if n.memory != nil {
		opts = append(opts, relay.WithMemory(n.memory))
	}
	return relay.New(n.self.DataCentre, n.platform.Headers, opts...)
}

func relayBudget(s *Settings) relay.RetryBudget {
	b := s.RetryBudget
	return relay.RetryBudget{Span: seconds(b.WindowSeconds), Ratio: b.Ratio, Slack: b.Slack}
}

func (n *Node) newCallerServer(r *relay.Relay) *caller.Server {
	opts := []caller.Option{caller.WithLogger(n.logger), caller.WithRequestIDHeader(n.platform.Headers.RequestID)}
	if n.memory != nil {
		opts = append(opts, caller.WithMemory(n.memory))
	}
	return caller.NewServer(n.handle, r.Limits, opts...)
}

func (n *Node) newGossipConn() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", n.self.PeerAddress)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", address)
}

func (n *Node) newGossipTransport(conn *net.UDPConn) *gossip.Transport {
	sources := gossip.Sources{
		Heartbeat:      n.heartbeat,
		Targets:        n.targetIndex,
		LocalPeers:     func() []roster.Member { return n.roster.LocalPeers() },
		Monitored:      n.monitored,
		Recipients:     n.eventRecipients,
		GroupPeers:     n.coCarriers,
		RemoteCarriers: n.remoteCarriers,
	}
	handlers := gossip.Handlers{
		Heartbeat:       n.handleHeartbeat,
		Event:           n.handleEvent,
		ListPart:        n.handleListPart,
		ListRequest:     n.handleListRequest,
		RemoteCarriers:  n.handleRemoteCarriers,
		Config:          n.handleConfig,
		ConfigRequest:   n.handleConfigRequest,
		Estimates:       n.handleEstimates,
		EstimateRequest: n.handleHealthQuery,
		Snapshot:        n.handleSnapshot,
		Members:         n.handleMembers,
		QuotaRequest:    n.quotas.HandleRequest,
		QuotaReply:      n.quotas.HandleReply,
	}
	return gossip.NewTransport(n.self, conn, sources, handlers, n.logger)
}

func (n *Node) registerHooks(life fx.Lifecycle) {
	life.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

// Start opens the ports and starts the daemon's goroutines; it does not wait until
// the daemon is ready.
func (n *Node) Start(ctx context.Context) error {
	return n.app.Start(ctx)
}

func (n *Node) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.registerState()
	servers, err := n.openListeners()
	if err != nil {
		cancel()
		return err
	}
	n.auxServers = servers
	n.gossip.Start(ctx)
	n.quotas.Start(ctx)
	n.discoverPeers()
	c := newConfigFollower(n)
	go c.loop(ctx)
	l := &targetListFollower{Node: n}
	go l.loop(ctx)
	m := &registration{Node: n}
	go m.loop(ctx)
	u := &maintenance{n}
	go u.loop(ctx)
	_ = n.logger.Log("msg", "started", "vm", n.self.VM, "data-centre", n.self.DataCentre, "born", n.self.StartMillis, "inner", n.self.PeerAddress)
	return nil
}

func (n *Node) stop(context.Context) error {
	n.cancel()
	n.callerServer.Close()
	n.auxServers.close()
	return n.gossipConn.Close()
}

// Ready reports whether the daemon can serve requests and is not shutting down.
func (n *Node) Ready() bool {
	return n.initialized.isSet() && !n.leaving.Load()
}
