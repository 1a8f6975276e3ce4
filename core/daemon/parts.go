package daemon

import (
	"context"
	"net"
	"net/http"
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

// background runs the goroutines of the daemon until it ends.
type background struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// daemons is the number of live daemons, which share the platform's budget.
	daemons atomic.Int64
}

func newBackground(lc fx.Lifecycle) *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	lc.Append(fx.StopHook(b.stop))
	return b
}

func (b *background) stop() {
	b.cancel()
	b.running.Wait()
}

// part is a goroutine of the daemon.
type part struct {
	body func(context.Context)
	done func()
}

func (p part) run(ctx context.Context) {
	defer p.done()
	p.body(ctx)
}

func (b *background) start(body func(context.Context)) {
	b.running.Add(1)
	go part{body: body, done: b.running.Done}.run(b.ctx)
}

func newPlatform(lc fx.Lifecycle, s *config.Settings, o overrides, b *background) Platform {
	if o.platform != nil {
		return *o.platform
	}
	c := store.NewClient(s.PlatformURL,
		store.WithFleetRateLimits(s.StoreReadRate, s.StoreWriteRate),
		store.WithDaemons(func() int { return int(max(1, b.daemons.Load())) }))
	lc.Append(fx.StopHook(c.Close))
	return Platform{
		Table:   c.Table(),
		Objects: c.Objects(),
		VMs:     c.VMList(),
		State:   func() any { return c.State() },
	}
}

func newIdentity(s *config.Settings, o overrides) (inner.Identity, error) {
	if o.identity != nil {
		return *o.identity, nil
	}
	files := s.InnerTLS
	if !files.Enabled() {
		return inner.Identity{}, fault.New(fault.ConfigInvalid,
			"keys inner-tls-certificate, inner-tls-key and inner-tls-authority are needed")
	}
	var blocks [3][]byte
	for i, name := range []string{files.Certificate, files.Key, files.Authority} {
		data, err := os.ReadFile(name)
		if err != nil {
			return inner.Identity{}, fault.Wrap(err, fault.ConfigInvalid, "file %s of the inner protocol", name)
		}
		blocks[i] = data
	}
	return inner.ParseIdentity(blocks[0], blocks[1], blocks[2])
}

func newClient(lc fx.Lifecycle, id inner.Identity, o overrides) *inner.Client {
	dial := func(ctx context.Context, address string) (net.Conn, error) { return o.dial(ctx, "tcp", address) }
	c := inner.NewClient(id, inner.WithDial(dial))
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newEngine(s *config.Settings, inc fleet.Incarnation, o overrides, p Platform, b *background, set *stats.Registry, l log.Logger) *engine {
	sink := &attemptSink{stats: set, logger: l}
	probes := &http.Client{Transport: &http.Transport{DialContext: o.dial, MaxIdleConnsPerHost: 1}}
	return newEngineWith(watchParts{
		self:        s.Self(),
		incarnation: inc,
		table:       p.Table,
		dial:        o.dial,
		probe:       detect.HTTPProbe(probes),
		onAttempt:   sink.take,
	}, b, l)
}

// attemptSink counts and logs the ends of attempts on targets.
type attemptSink struct {
	stats  *stats.Registry
	logger log.Logger
}

func (s *attemptSink) take(m proxy.AttemptReport) {
	s.stats.Counter(stats.Label("wisteria_attempts", "ending", m.Ending.String())).Inc(1)
	if !m.TargetResult.IsFailure() {
		return
	}
	_ = level.Info(s.logger).Log("msg", "attempt failed", "request-id", m.RequestID, "service", m.Service, "route", m.Route,
		"target", m.Target, "attempt", m.Number, "ending", m.Ending, "decision", m.Decision.Reason, "took", m.Latency)
}

func newMembers(s *config.Settings, inc fleet.Incarnation, c *inner.Client, p Platform, ps *peers, e *engine, l log.Logger) *member.Table {
	return member.New(s.Self(), inc, member.Hooks{
		Send:           c.Report,
		List:           ps.listVMs(p.VMs),
		Collect:        e.collect,
		Deliver:        e.deliver,
		IsSuspect:      e.isSuspect,
		IsReady:        e.isReady,
		Revision:       e.revision,
		OnPeerRevision: e.hear,
	}, member.WithLog(l))
}

func newPeers(s *config.Settings, c *inner.Client, l log.Logger) *peers {
	return &peers{self: s.Self(), client: c, seeds: s.Seeds, logger: l}
}

func newFollower(s *config.Settings, p Platform, ps *peers, e *engine) *settle.Follower {
	return settle.NewFollower(p.Table,
		settle.WithSnapshots(p.Objects),
		settle.WithPeers(ps.askRevisions, len(s.Seeds)),
		settle.WithOnApply(e.onApplied))
}

func newManager(s *config.Settings, inc fleet.Incarnation, p Platform, ps *peers) (*order.Manager, error) {
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
		order.WithQueryFunc(ps.askHome),
		order.WithImporters(ps.holders)), nil
}

func newRelay(s *config.Settings, e *engine, manager *order.Manager, set *stats.Registry, l log.Logger) *proxy.Relay {
	return proxy.NewRelay(s.Self(), e.view(), manager,
		proxy.WithDomain(s.Domain),
		proxy.WithLogger(l),
		proxy.WithStats(set))
}

// bind joins engine and peers with the parts that were made from them, and runs all.
func bind(lc fx.Lifecycle, b *background, e *engine, ps *peers, m *member.Table, f *settle.Follower, manager *order.Manager) {
	ps.members = m
	e.members = m
	e.follower = f
	lc.Append(fx.StartHook(func() {
		b.start(m.Run)
		b.start(e.run)
		f.Start(b.ctx)
		manager.Start(b.ctx)
	}))
	lc.Append(fx.StopHook(f.Stop))
}
