package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/stats"
)

// Fleet is what the relay reads about the fleet; each function returns from an
// immutable snapshot and never blocks.
type Fleet struct {
	// Carrier returns the state of a service that this daemon carries or winds down.
	Carrier func(fleet.ServiceID) (*Carrier, bool)
	// Service returns a service of the settings.
	Service func(fleet.ServiceID) (*fleet.Service, bool)
	// HasWorkspace reports whether a workspace stands in the settings.
	HasWorkspace func(fleet.WorkspaceID) bool
	// Addresses returns the carriers of a service for a caller in a data centre.
	Addresses func(fleet.ServiceID, fleet.DataCentre, string) AddressList
	// Ready reports whether the daemon has settings and targets to serve from.
	Ready func() bool
	// Leaving reports whether the daemon is shutting down.
	Leaving func() bool
}

// maxActive bounds the requests in progress at one daemon, and with
// bufferLimit the memory that their bodies take.
const maxActive = 2048

// endpointTimeout bounds the sending of the daemon's own responses.
const endpointTimeout = 10 * time.Second

// Relay serves the callers' port.
type Relay struct {
	self    fleet.VM
	domain  string
	fleet   Fleet
	manager *order.Manager
	bodies  orderBodies
	logger  log.Logger
	meters  *stats.Set
	router  http.Handler
	active  atomic.Int64
}

// RelayOption changes a Relay.
type RelayOption func(*Relay)

// WithDomain accepts host names of the form <service>.<domain>.
func WithDomain(domain string) RelayOption {
	return func(rl *Relay) { rl.domain = domain }
}

// WithLogger sets the logger.
func WithLogger(l log.Logger) RelayOption {
	return func(rl *Relay) { rl.logger = l }
}

// WithStats sets the metrics.
func WithStats(s *stats.Set) RelayOption {
	return func(rl *Relay) { rl.meters = s }
}

// NewRelay returns the handler of the callers' port of the daemon self; manager
// decides which orders may run.
func NewRelay(self fleet.VM, f Fleet, manager *order.Manager, opts ...RelayOption) *Relay {
	rl := &Relay{self: self, fleet: f, manager: manager, bodies: newOrderBodies(), logger: log.NewNopLogger(), meters: stats.New()}
	for _, o := range opts {
		o(rl)
	}
	rl.router = rl.endpoints()
	return rl
}

func (rl *Relay) endpoints() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/addresses", rl.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/order-tokens", rl.serveToken).Methods(http.MethodPost)
	r.HandleFunc("/v1/ready", rl.serveReady).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(rl.serveUnnamed)
	return r
}

// Active returns the number of requests in progress.
func (rl *Relay) Active() int64 {
	return rl.active.Load()
}

// ServeHTTP relays a request that names a service, and serves the daemon's own
// endpoints otherwise.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := r.Header.Get(HeaderService)
	if service == "" {
		service = serviceFromHost(r.Host, rl.domain)
	}
	if service == "" {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(endpointTimeout))
		rl.router.ServeHTTP(w, r)
		return
	}
	n := rl.active.Add(1)
	defer rl.active.Add(-1)
	rl.relay(w, r, fleet.ServiceID(service), n)
}

func (rl *Relay) relay(w http.ResponseWriter, r *http.Request, id fleet.ServiceID, active int64) {
	c := &call{relay: rl, writer: w, request: r, serviceID: id, requestID: requestID(r), arrived: time.Now()}
	w.Header().Set(HeaderRequestID, c.requestID)
	if r.ProtoMajor == 1 && len(r.TransferEncoding) > 0 {
		// net/http lets chunked framing override a Content-Length; closing the
		// connection drops whatever such a request tried to hide behind itself.
		w.Header().Set("Connection", "close")
	}
	if rl.fleet.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if active > maxActive {
		c.refuse(fault.New(fault.QueueFull, "%d requests are in progress at this daemon", maxActive))
		return
	}
	c.serve()
}

// call is one request on the callers' port.
type call struct {
	relay     *Relay
	writer    http.ResponseWriter
	request   *http.Request
	serviceID fleet.ServiceID
	requestID string
	arrived   time.Time
	in        *inbound
}

func (c *call) serve() {
	rl := c.relay
	carrier, ok := rl.fleet.Carrier(c.serviceID)
	if !ok {
		c.serveElsewhere()
		return
	}
	release, err := rl.bodies.reserveFor(carrier.Service(), c.request)
	if err != nil {
		c.refuse(fault.From(err))
		return
	}
	defer release()
	in, err := newInbound(c.writer, c.request, carrier.Service(), c.requestID, c.arrived)
	if err != nil {
		c.refuse(fault.From(err))
		return
	}
	if !rl.fleet.HasWorkspace(in.workspace) {
		// A made-up workspace would get a turn of its own in the queue.
		c.refuse(fault.New(fault.BadRequest, "no workspace %q", in.workspace))
		return
	}
	c.in = in
	ctx, cancel := context.WithDeadline(c.request.Context(), in.deadline)
	defer cancel()
	if in.route.Idempotent {
		c.respond((&exchange{carrier: carrier, in: in}).run(ctx))
		return
	}
	c.serveOrder(ctx, carrier)
}

// serveElsewhere refuses a request for a service that this daemon does not carry.
func (c *call) serveElsewhere() {
	rl := c.relay
	if !rl.fleet.Ready() {
		c.refuse(rl.notReady())
		return
	}
	service, ok := rl.fleet.Service(c.serviceID)
	if !ok {
		c.refuse(fault.New(fault.UnknownService, "no service %q", c.serviceID))
		return
	}
	if c.closeElsewhere(service) {
		return
	}
	c.refuse(fault.New(fault.NotCarried, "service %s is carried by the daemons listed", c.serviceID))
}

// refuse answers with a problem and logs the reason.
func (c *call) refuse(e *fault.Error) {
	rl := c.relay
	if c.in == nil && c.request.Header.Get(HeaderOrderKey) != "" && e.Outcome == fault.NotRun {
		// An earlier copy under the key may have run; nobody has asked yet.
		e = e.WithOutcome(fault.Unknown)
	}
	rl.count("refused", e.Kind.String())
	rl.logRefusal(c, e)
	if e.Kind == fault.CallerGone {
		panic(http.ErrAbortHandler)
	}
	p := newProblem(e, c.requestID)
	if e.Kind == fault.NotCarried || e.Kind == fault.NotReady {
		list := rl.fleet.Addresses(c.serviceID, rl.self.DataCentre, c.requestID)
		p.Addresses = &list
	}
	p.write(c.writer)
}

func (rl *Relay) logRefusal(c *call, e *fault.Error) {
	l := level.Info(rl.logger)
	if e.Kind == fault.Internal {
		l = level.Error(rl.logger)
	}
	_ = l.Log("msg", "request refused", "request-id", c.requestID, "service", c.serviceID, "method", c.request.Method,
		"kind", e.Kind, "outcome", e.Outcome, "detail", e.Error(), "took", time.Since(c.arrived))
}

func (rl *Relay) count(metric, kind string) {
	rl.meters.Counter(stats.Label("wisteria_requests_"+metric, "kind", kind)).Inc(1)
}
