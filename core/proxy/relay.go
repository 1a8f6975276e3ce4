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

// FleetView provides the state of the fleet that a Relay needs. Its functions read
// immutable snapshots and never block.
type FleetView struct {
	// Upstream returns the state of a service that this daemon carries, or that it
	// no longer carries but still serves for a while.
	Upstream func(fleet.ServiceID) (*Upstream, bool)
	// Service returns the settings of a service.
	Service func(fleet.ServiceID) (*fleet.Service, bool)
	// HasWorkspace reports whether the settings contain a workspace.
	HasWorkspace func(fleet.WorkspaceID) bool
	// Addresses returns the daemons that carry a service, in the order for a caller
	// in the data centre. The string is hashed to spread callers over the daemons.
	Addresses func(fleet.ServiceID, fleet.DataCentre, string) AddressList
	// Ready reports whether the daemon has the settings and targets to serve requests.
	Ready func() bool
	// Leaving reports whether the daemon is shutting down.
	Leaving func() bool
}

// maxActiveRequests is the maximum number of requests in progress at one daemon.
// Together with maxBufferedBody it limits the memory for their bodies.
const maxActiveRequests = 2048

// endpointWriteTimeout is the timeout for writing a response of the daemon's own
// endpoints.
const endpointWriteTimeout = 10 * time.Second

// Relay is the HTTP handler of the port for callers.
type Relay struct {
	self        fleet.VM
	domain      string
	fleet       FleetView
	manager     *order.Manager
	orderMemory orderBodyMemory
	logger      log.Logger
	metrics     *stats.Registry
	router      http.Handler
	// active is the number of requests in progress.
	active atomic.Int64
	// refusing is set once further requests for services are refused.
	refusing atomic.Bool
}

// RelayOption configures a Relay.
type RelayOption func(*Relay)

// WithDomain sets the domain of the host names <service>.<domain> by which a
// request can name its service instead of the header.
func WithDomain(domain string) RelayOption {
	return func(rl *Relay) { rl.domain = domain }
}

// WithLogger sets the logger.
func WithLogger(l log.Logger) RelayOption {
	return func(rl *Relay) { rl.logger = l }
}

// WithStats sets the metrics.
func WithStats(s *stats.Registry) RelayOption {
	return func(rl *Relay) { rl.metrics = s }
}

// NewRelay returns a Relay for the daemon self. The manager decides which orders
// may run.
func NewRelay(self fleet.VM, f FleetView, manager *order.Manager, opts ...RelayOption) *Relay {
	rl := &Relay{self: self, fleet: f, manager: manager, orderMemory: newOrderBodyMemory(), logger: log.NewNopLogger(), metrics: stats.New()}
	for _, o := range opts {
		o(rl)
	}
	rl.router = rl.endpoints()
	return rl
}

// endpoints returns the handler of the daemon's own endpoints.
func (rl *Relay) endpoints() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/addresses", rl.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/order-tokens", rl.serveToken).Methods(http.MethodPost)
	r.HandleFunc("/v1/ready", rl.serveReady).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(rl.refuseMissingService)
	return r
}

// ActiveRequests returns the number of requests in progress.
func (rl *Relay) ActiveRequests() int64 {
	return rl.active.Load()
}

// RefuseRequests makes the relay refuse further requests for services, because the daemon
// might end before they do. Those in progress continue.
func (rl *Relay) RefuseRequests() {
	rl.refusing.Store(true)
}

// ServeHTTP forwards a request that names a service, in a header or by its host
// name, to a target. Other requests are for the daemon's own endpoints.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := r.Header.Get(HeaderService)
	if service == "" {
		service = serviceFromHost(r.Host, rl.domain)
	}
	if service == "" {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(endpointWriteTimeout))
		rl.router.ServeHTTP(w, r)
		return
	}
	n := rl.active.Add(1)
	defer rl.active.Add(-1)
	rl.serveCall(w, r, fleet.ServiceID(service), n)
}

// serveCall handles a request for a service; active is the number of requests in
// progress including this one.
func (rl *Relay) serveCall(w http.ResponseWriter, r *http.Request, id fleet.ServiceID, active int64) {
	c := &call{relay: rl, writer: w, request: r, serviceID: id, requestID: requestID(r), arrived: time.Now()}
	w.Header().Set(HeaderRequestID, c.requestID)
	if r.ProtoMajor == 1 && len(r.TransferEncoding) > 0 {
		// If a body is chunked, net/http ignores and hides a Content-Length, which
		// another proxy may have used. Closing the connection prevents request
		// smuggling: bytes after the body are not read as a further request.
		w.Header().Set("Connection", "close")
	}
	if rl.fleet.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if rl.refusing.Load() {
		c.refuse(rl.notReady())
		return
	}
	if active > maxActiveRequests {
		c.refuse(fault.New(fault.QueueFull, "%d requests are in progress at this daemon", maxActiveRequests))
		return
	}
	c.serve()
}

// call handles one request for a service.
type call struct {
	relay     *Relay
	writer    http.ResponseWriter
	request   *http.Request
	serviceID fleet.ServiceID
	requestID string
	arrived   time.Time
	// in is nil until the request has been validated.
	in *inboundRequest
}

// serve validates the request, sends it to a target and responds to the caller.
func (c *call) serve() {
	rl := c.relay
	upstream, ok := rl.fleet.Upstream(c.serviceID)
	if !ok {
		c.refuseNotCarried()
		return
	}
	release, err := rl.orderMemory.reserveFor(upstream.Service(), c.request)
	if err != nil {
		c.refuse(fault.From(err))
		return
	}
	defer release()
	in, err := newInboundRequest(c.writer, c.request, upstream.Service(), c.requestID, c.arrived)
	if err != nil {
		c.refuse(fault.From(err))
		return
	}
	if !rl.fleet.HasWorkspace(in.workspace) {
		// The queue for slots is fair among workspaces, so a caller that invents
		// workspaces would get more than its share.
		c.refuse(fault.New(fault.BadRequest, "no workspace %q", in.workspace))
		return
	}
	c.in = in
	ctx, cancel := context.WithDeadline(c.request.Context(), in.deadline)
	defer cancel()
	if in.route.Idempotent {
		c.respond((&forwarder{upstream: upstream, in: in}).run(ctx))
		return
	}
	c.serveOrder(ctx, upstream)
}

// refuseNotCarried refuses a request for a service that this daemon does not carry
// and lists the daemons that do. The key of an order is closed first.
func (c *call) refuseNotCarried() {
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
	if c.closeOrderNotCarried(service) {
		return
	}
	c.refuse(fault.New(fault.NotCarried, "service %s is carried by the daemons listed", c.serviceID))
}

// refuse responds with a problem and logs the reason. If the caller has
// disconnected, it aborts the connection instead.
func (c *call) refuse(e *fault.Error) {
	rl := c.relay
	if c.in == nil && c.request.Header.Get(HeaderOrderKey) != "" && e.Outcome == fault.NotRun {
		// An earlier copy with this key may have run; the order manager has not been
		// asked yet.
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

// logRefusal logs a refused request, as an error only if the daemon itself failed.
func (rl *Relay) logRefusal(c *call, e *fault.Error) {
	l := level.Info(rl.logger)
	if e.Kind == fault.Internal {
		l = level.Error(rl.logger)
	}
	_ = l.Log("msg", "request refused", "request-id", c.requestID, "service", c.serviceID, "method", c.request.Method,
		"kind", e.Kind, "outcome", e.Outcome, "detail", e.Error(), "took", time.Since(c.arrived))
}

// count increments the counter wisteria_requests_<metric> with the label kind.
func (rl *Relay) count(metric, kind string) {
	rl.metrics.Counter(stats.Label("wisteria_requests_"+metric, "kind", kind)).Inc(1)
}
