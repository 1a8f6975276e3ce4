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

// Platform holds the clients of the platform's services that a daemon uses.
type Platform struct {
	Table   store.Table
	Objects store.Objects
	VMs     store.VMList
	// State returns the client's part of the state dump; it may be nil.
	State func() any
	// Close releases the client's resources; it may be nil.
	Close func()
}

// overrides holds the dependencies that tests and the demo replace.
type overrides struct {
	platform *Platform
	identity *inner.Identity
	logger   log.Logger
	listen   func(address string) (net.Listener, error)
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a Daemon.
type Option func(*overrides)

// WithPlatform sets the clients of the platform's services, which are HTTP clients
// by default.
func WithPlatform(p Platform) Option {
	return func(o *overrides) { o.platform = &p }
}

// WithIdentity sets the identity for the inner protocol, which is read from the
// configured certificate files by default.
func WithIdentity(id inner.Identity) Option {
	return func(o *overrides) { o.identity = &id }
}

// WithLogger sets the logger. Without it, the daemon logs nothing.
func WithLogger(l log.Logger) Option {
	return func(o *overrides) { o.logger = l }
}

// WithListen sets the function that opens the ports, which are TCP by default.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(o *overrides) { o.listen = listen }
}

// WithDial sets the function that opens connections to targets and peers.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *overrides) { o.dial = dial }
}

// Daemon is one daemon with all its components.
type Daemon struct {
	app               *fx.App
	settings          *config.Settings
	incarnation       fleet.Incarnation
	logger            log.Logger
	components        components
	endCallerWait     chan struct{}
	endCallerWaitOnce sync.Once
}

// components holds the components that the methods of Daemon use.
type components struct {
	fx.In

	Tasks      *taskGroup
	Controller *serviceController
	Members    *member.Table
	PeerClient *peerClient
	Manager    *order.Manager
	Relay      *proxy.Relay
	Ports      *ports
	Dump       *stats.StateDump
}

// startTimeout limits the start of the components, which opens the ports.
const startTimeout = 15 * time.Second

// New returns a daemon that is not started yet.
func New(settings *config.Settings, opts ...Option) (*Daemon, error) {
	o := overrides{logger: log.NewNopLogger(), listen: listenTCP, dial: (&net.Dialer{}).DialContext}
	for _, opt := range opts {
		opt(&o)
	}
	d := &Daemon{
		settings:      settings,
		incarnation:   fleet.NewIncarnation(settings.VM),
		logger:        log.With(o.logger, "vm", settings.VM),
		endCallerWait: make(chan struct{}),
	}
	d.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.ShutdownLimit),
		fx.Supply(settings, o, d.incarnation),
		fx.Provide(func() log.Logger { return d.logger }, stats.New, stats.NewStateDump),
		fx.Provide(newTaskGroup, newPlatform, newIdentity, newClient, newController, newMembers, newPeerClient, newFollower),
		fx.Provide(newManager, newRelay, newHandlers, newAdmin, newPorts),
		fx.Invoke(connectComponents, registerDumps, openPorts),
		fx.Populate(&d.components),
	)
	if err := d.app.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Start opens the ports and starts the components. It does not wait until the
// daemon is ready.
func (d *Daemon) Start(ctx context.Context) error {
	return d.app.Start(ctx)
}

// Stop shuts the daemon down gracefully. Requests in progress are interrupted, with
// a log line, only if ctx ends or the shutdown limit passes first.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.ShutdownLimit)
	defer cancel()
	d.drain(ctx)
	return d.app.Stop(ctx)
}

// Kill stops the daemon at once, without a graceful shutdown, as the loss of its VM
// would.
func (d *Daemon) Kill() {
	d.components.Ports.kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = d.app.Stop(ctx)
}

// Ready reports whether the daemon serves requests.
func (d *Daemon) Ready() bool {
	return d.components.Controller.isReady()
}

// Incarnation returns the daemon's incarnation, which is unique to this run.
func (d *Daemon) Incarnation() fleet.Incarnation {
	return d.incarnation
}

// State returns one part of the state dump, or all parts if part is empty.
func (d *Daemon) State(part string) any {
	return d.components.Dump.Read(part)
}

// TargetState returns the state of a target and the reason for it; ok is false
// if this daemon carries no service with the target.
func (d *Daemon) TargetState(id fleet.TargetID) (state, reason string, ok bool) {
	for _, cs := range *d.components.Controller.carried.Load() {
		for _, s := range *cs.states.Load() {
			if s.Target == id {
				return s.State.String(), s.Reason, true
			}
		}
	}
	return "", "", false
}
