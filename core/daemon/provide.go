package daemon

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/member"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stats"
	"wisteriarelay.example/core/store"
)

// taskGroup runs the daemon's goroutines and stops them with the daemon.
type taskGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// liveDaemons is the number of live daemons, which share the fleet's budget of
	// platform requests.
	liveDaemons atomic.Int64
}

func newTaskGroup(lc fx.Lifecycle) *taskGroup {
	g := &taskGroup{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	lc.Append(fx.StopHook(g.stop))
	return g
}

func (g *taskGroup) stop() {
	g.cancel()
	g.running.Wait()
}

// task is one goroutine of a taskGroup.
type task struct {
	fn     func(context.Context)
	onDone func()
}

func (t task) run(ctx context.Context) {
	defer t.onDone()
	t.fn(ctx)
}

func (g *taskGroup) start(fn func(context.Context)) {
	g.running.Add(1)
	go task{fn: fn, onDone: g.running.Done}.run(g.ctx)
}

// newPlatform returns HTTP clients of the platform's services, unless the options
// replace them.
func newPlatform(lc fx.Lifecycle, s *config.Settings, o overrides, tasks *taskGroup) Platform {
	if o.platform != nil {
		return *o.platform
	}
	c := store.NewClient(s.PlatformURL,
		store.WithFleetRateLimits(s.StoreReadRate, s.StoreWriteRate),
		store.WithDaemons(func() int { return int(max(1, tasks.liveDaemons.Load())) }))
	lc.Append(fx.StopHook(c.Close))
	return Platform{
		Table:   c.Table(),
		Objects: c.Objects(),
		VMs:     c.VMList(),
		State:   func() any { return c.State() },
	}
}

// newIdentity reads the identity for the inner protocol from the configured files,
// unless the options replace it.
func newIdentity(s *config.Settings, o overrides) (inner.Identity, error) {
	if o.identity != nil {
		return *o.identity, nil
	}
	files := s.InnerTLS
	if !files.Enabled() {
		return inner.Identity{}, fault.New(fault.ConfigInvalid,
			"keys inner-tls-certificate, inner-tls-key and inner-tls-authority are needed")
	}
	var pemBlocks [3][]byte
	for i, file := range []string{files.Certificate, files.Key, files.Authority} {
		data, err := os.ReadFile(file)
		if err != nil {
			return inner.Identity{}, fault.Wrap(err, fault.ConfigInvalid, "file %s of the inner protocol", file)
		}
		pemBlocks[i] = data
	}
	return inner.ParseIdentity(pemBlocks[0], pemBlocks[1], pemBlocks[2])
}

func newClient(lc fx.Lifecycle, id inner.Identity, o overrides) *inner.Client {
	dial := func(ctx context.Context, address string) (net.Conn, error) { return o.dial(ctx, "tcp", address) }
	c := inner.NewClient(id, inner.WithDial(dial))
	lc.Append(fx.StopHook(c.Close))
	return c
}

// newController returns the controller without its members and its follower, which
// connectComponents sets.
func newController(s *config.Settings, inc fleet.Incarnation, o overrides, p Platform, tasks *taskGroup, set *stats.Registry, l log.Logger) *serviceController {
	sink := &attemptSink{stats: set, logger: l}
	probes := detect.NewProbeClient(o.dial)
	return newControllerWithDeps(serviceDeps{
		self:        s.Self(),
		incarnation: inc,
		table:       p.Table,
		dial:        o.dial,
		probe:       detect.HTTPProbe(probes),
		onAttempt:   sink.receive,
	}, tasks, l)
}

// attemptSink counts attempts on targets and logs those that failed.
type attemptSink struct {
	stats  *stats.Registry
	logger log.Logger
}

func (s *attemptSink) receive(m proxy.AttemptReport) {
	s.stats.Counter(stats.Label("wisteria_attempts", "ending", m.Ending.String())).Inc(1)
	if !m.TargetResult.IsFailure() {
		return
	}
	_ = level.Info(s.logger).Log("msg", "attempt failed", "request-id", m.RequestID, "service", m.Service, "route", m.Route,
		"target", m.Target, "attempt", m.Number, "ending", m.Ending, "decision", m.Decision.Reason, "took", m.Latency)
}

func newMembers(s *config.Settings, inc fleet.Incarnation, c *inner.Client, p Platform, pc *peerClient, sc *serviceController, l log.Logger) *member.Table {
	return member.New(s.Self(), inc, member.Hooks{
		Send:           c.Report,
		List:           pc.vmListWithFallback(p.VMs),
		Collect:        sc.collectReport,
		Deliver:        sc.deliverReport,
		IsSuspect:      sc.hasUrgentEvidence,
		IsReady:        sc.isReady,
		Revision:       sc.revision,
		OnPeerRevision: sc.onPeerRevision,
	}, member.WithLog(l))
}

// newPeerClient returns the client without its members, which connectComponents sets.
func newPeerClient(s *config.Settings, c *inner.Client, l log.Logger) *peerClient {
	return &peerClient{self: s.Self(), rpc: c, seeds: s.Seeds, logger: l}
}

func newFollower(s *config.Settings, p Platform, pc *peerClient, sc *serviceController) *settle.Follower {
	return settle.NewFollower(p.Table,
		settle.WithSnapshots(p.Objects),
		settle.WithPeers(pc.requestRevisions, len(s.Seeds)),
		settle.WithOnApply(sc.onApplied))
}

func newManager(s *config.Settings, inc fleet.Incarnation, p Platform, pc *peerClient) (*order.Manager, error) {
	secrets := make([][]byte, 0, len(s.FleetSecrets))
	for _, secret := range s.FleetSecrets {
		secrets = append(secrets, secret)
	}
	signer, err := order.NewSigner(secrets...)
	if err != nil {
		return nil, err
	}
	return order.NewManager(inc, signer,
		order.WithTable(p.Table),
		order.WithQueryFunc(pc.queryOrder),
		order.WithImporters(pc.ledgerImporters)), nil
}

func newRelay(s *config.Settings, sc *serviceController, manager *order.Manager, set *stats.Registry, l log.Logger) *proxy.Relay {
	return proxy.NewRelay(s.Self(), sc.relayFleet(), manager,
		proxy.WithDomain(s.Domain),
		proxy.WithLogger(l),
		proxy.WithStats(set))
}

// connectComponents sets the references by which components depend on each other
// in a cycle, which constructors cannot pass, and starts the components with the
// daemon.
func connectComponents(lc fx.Lifecycle, tasks *taskGroup, sc *serviceController, pc *peerClient, m *member.Table, f *settle.Follower, manager *order.Manager) {
	pc.members = m
	sc.members = m
	sc.follower = f
	lc.Append(fx.StartHook(func() {
		tasks.start(m.Run)
		tasks.start(sc.run)
		f.Start(tasks.ctx)
		manager.Start(tasks.ctx)
	}))
	lc.Append(fx.StopHook(f.Stop))
}
