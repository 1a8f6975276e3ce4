package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/member"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/stats"
	"wisteriarelay.example/core/store"
)

// Platform holds the platform's services as a daemon uses them.
type Platform struct {
	Table   store.Table
	Objects store.Objects
	VMs     store.VMList
	// State returns the state of the client for the dump; it may be nil.
	State func() any
	// Close frees the client; it may be nil.
	Close func()
}

// overrides are the parts that tests and the demo replace.
type overrides struct {
	platform *Platform
	identity *inner.Identity
	logger   log.Logger
	listen   func(address string) (net.Listener, error)
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option changes a Daemon.
type Option func(*overrides)

// WithPlatform replaces the HTTP client of the platform.
func WithPlatform(p Platform) Option {
	return func(o *overrides) { o.platform = &p }
}

// WithIdentity replaces the certificate files of the inner protocol.
func WithIdentity(id inner.Identity) Option {
	return func(o *overrides) { o.identity = &id }
}

// WithLogger sets the logger; the daemon logs nothing without it.
func WithLogger(l log.Logger) Option {
	return func(o *overrides) { o.logger = l }
}

// WithListen replaces the function that opens the ports.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(o *overrides) { o.listen = listen }
}

// WithDial replaces the function that connects to targets and peers.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *overrides) { o.dial = dial }
}

// Daemon is one daemon with all its parts.
type Daemon struct {
	app         *fx.App
	settings    *config.Settings
	incarnation fleet.Incarnation
	logger      log.Logger
	parts       daemonParts
	hurry       chan struct{}
	hurryOnce   sync.Once
}

// daemonParts are the parts that the shutdown works with.
type daemonParts struct {
	fx.In

	Background *background
	Engine     *engine
	Members    *member.Table
	Peers      *peers
	Manager    *order.Manager
	Relay      *proxy.Relay
	Ports      *ports
	Dump       *stats.StateDump
}

// startLimit bounds the opening of the ports.
const startLimit = 15 * time.Second

// New assembles a daemon; Start runs it.
func New(settings *config.Settings, opts ...Option) (*Daemon, error) {
	o := overrides{logger: log.NewNopLogger(), listen: listenTCP, dial: (&net.Dialer{}).DialContext}
	for _, opt := range opts {
		opt(&o)
	}
	d := &Daemon{
		settings:    settings,
		incarnation: fleet.NewIncarnation(settings.VM),
		logger:      log.With(o.logger, "vm", settings.VM),
		hurry:       make(chan struct{}),
	}
	d.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startLimit),
		fx.StopTimeout(settings.ShutdownLimit),
		fx.Supply(settings, o, d.incarnation),
		fx.Provide(func() log.Logger { return d.logger }, stats.New, stats.NewStateDump),
		fx.Provide(newBackground, newPlatform, newIdentity, newClient, newEngine, newMembers, newPeers, newFollower),
		fx.Provide(newManager, newRelay, newHandlers, newAdmin, newPorts),
		fx.Invoke(bind, registerState, openPorts),
		fx.Populate(&d.parts),
	)
	if err := d.app.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Start opens the ports and runs the parts; it does not wait for readiness.
func (d *Daemon) Start(ctx context.Context) error {
	return d.app.Start(ctx)
}

// Stop drains the daemon and ends it. Requests in progress are cut only if ctx
// or the shutdown limit ends first, which is logged.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.ShutdownLimit)
	defer cancel()
	d.drain(ctx)
	return d.app.Stop(ctx)
}

// Kill ends the daemon at once, as the loss of its VM would.
func (d *Daemon) Kill() {
	d.parts.Ports.kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = d.app.Stop(ctx)
}

// Ready reports whether the daemon serves requests.
func (d *Daemon) Ready() bool {
	return d.parts.Engine.isReady()
}

// Incarnation returns the incarnation of this run.
func (d *Daemon) Incarnation() fleet.Incarnation {
	return d.incarnation
}

// State returns one part of the state dump, or all parts if part is empty.
func (d *Daemon) State(part string) any {
	return d.parts.Dump.Read(part)
}

// TargetState returns the state of a target and the reason for it; ok is false
// if this daemon carries no service with the target.
func (d *Daemon) TargetState(id fleet.TargetID) (state, reason string, ok bool) {
	for _, w := range *d.parts.Engine.watches.Load() {
		for _, s := range *w.states.Load() {
			if s.Target == id {
				return s.State.String(), s.Reason, true
			}
		}
	}
	return "", "", false
}
