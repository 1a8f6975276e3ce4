package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/stats"
)

// RetryBudget is the retry budget of one service: it limits the extra attempts, which are
// retries and hedged attempts, that the whole fleet makes.
type RetryBudget struct {
	// Span is the length of the sliding window in which extra attempts are counted.
	Span time.Duration
	// Ratio is the number of extra attempts allowed for each request in the window.
	Ratio float64
	// Slack is the number of extra attempts allowed in a window regardless of the
	// number of requests.
	Slack float64
}

// serviceState holds the target pool and the retry budget window of one service.
type serviceState struct {
	targetPool  *sched.Pool
	retryBudget *retry.WindowBudget
}

// Relay forwards the requests that callers send to one daemon.
type Relay struct {
	dataCentre    string
	headers       Headers
	budget        RetryBudget
	logger        log.Logger
	metrics       *stats.Registry
	emit          func(sched.Event)
	beforeAcquire func(ctx context.Context, service string, idempotent bool)
	acquireQuota  func(ctx context.Context, workspace string, deadline time.Time) error
	table         atomic.Pointer[route.Table]
	connPools     connPools
	sizes         sizes
	memory        *memory.Budget
	shutdown      shutdown
	queueStats    queueStats

	mu       sync.Mutex
	services atomic.Pointer[map[string]*serviceState]
}

// Option configures a Relay.
type Option func(*Relay)

// WithLogger sets the logger; the relay logs nothing without it.
func WithLogger(l log.Logger) Option {
	return func(r *Relay) { r.logger = l }
}

// WithStats sets the registry for the relay's metrics.
func WithStats(s *stats.Registry) Option {
	return func(r *Relay) { r.metrics = s }
}

// WithRetryBudget sets the retry budget of each service.
func WithRetryBudget(b RetryBudget) Option {
	return func(r *Relay) { r.budget = b }
}

// WithEmit sets the function that is called with each event of a target; it must not
// block.
func WithEmit(emit func(sched.Event)) Option {
	return func(r *Relay) { r.emit = emit }
}

// WithBeforeAcquire sets a function that is called before a request acquires a target. It
// may wait briefly for what peers know about the health of the service's targets.
// idempotent says whether the request may run more than once.
func WithBeforeAcquire(hook func(ctx context.Context, service string, idempotent bool)) Option {
	return func(r *Relay) { r.beforeAcquire = hook }
}

// WithQuota sets the function that takes a token of a limited workspace for a request. It
// may wait, and fails with fault.QuotaExceeded or fault.QuotaUnavailable.
func WithQuota(acquire func(ctx context.Context, workspace string, deadline time.Time) error) Option {
	return func(r *Relay) { r.acquireQuota = acquire }
}

// WithLinkOptions adds options to the connection pools of targets.
func WithLinkOptions(opts ...link.Option) Option {
	return func(r *Relay) { r.connPools.opts = opts }
}

// WithResponseMemory sets the maximum number of bytes of responses that are buffered
// until their callers have read them.
func WithResponseMemory(bytes int64) Option {
	return WithMemory(memory.New(memory.Limits{Responses: bytes}))
}

// WithMemory sets the budget for the memory of responses and connections to targets.
func WithMemory(b *memory.Budget) Option {
	return func(r *Relay) { r.memory = b }
}

// defaultResponseMemory is the maximum number of bytes of buffered responses if the
// memory of the VM is not known.
const defaultResponseMemory = 32 << 20

// defaultBudget is the retry budget if the settings have none.
var defaultBudget = RetryBudget{Span: 10 * time.Second, Ratio: 0.2, Slack: 20}

// New returns a relay that refuses all requests until SetTable is called.
func New(dataCentre string, headers Headers, opts ...Option) *Relay {
	r := &Relay{
		dataCentre:    dataCentre,
		headers:       headers,
		budget:        defaultBudget,
		logger:        log.NewNopLogger(),
		metrics:       stats.New(),
		emit:          func(sched.Event) {},
		beforeAcquire: func(context.Context, string, bool) {},
		memory:        memory.New(memory.Limits{Responses: defaultResponseMemory}),
		shutdown:      shutdown{began: make(chan struct{})},
	}
	r.services.Store(&map[string]*serviceState{})
	for _, o := range opts {
		o(r)
	}
	r.connPools.memory = r.memory
	return r
}

// SetTable replaces the configuration.
func (r *Relay) SetTable(t *route.Table) {
	for _, name := range t.Services() {
		r.service(name)
	}
	r.table.Store(t)
}

// SetRetryBudget changes the retry budget of all services. The window of a service that
// the relay already knows keeps its span.
func (r *Relay) SetRetryBudget(b RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = b
	for _, s := range *r.services.Load() {
		s.retryBudget.SetBounds(b.Ratio, b.Slack)
	}
}

// Table returns the current configuration, or nil if there is none.
func (r *Relay) Table() *route.Table {
	return r.table.Load()
}

// Limits returns the current limits on callers.
func (r *Relay) Limits() route.Limits {
	if t := r.table.Load(); t != nil {
		return t.Limits
	}
	return route.DefaultLimits
}

// SetTargets replaces the targets of all services.
func (r *Relay) SetTargets(targets map[string][]sched.Target) {
	for name := range targets {
		r.service(name)
	}
	live := map[string]bool{}
	for name, s := range *r.services.Load() {
		s.targetPool.SetTargets(targets[name])
		for _, t := range targets[name] {
			live[connPoolKey(t)] = true
		}
	}
	r.connPools.closeUnused(live)
}

// TargetPool returns the target pool of a service, creating it on first use.
func (r *Relay) TargetPool(name string) *sched.Pool {
	return r.service(name).targetPool
}

// SetBudgetAllocation sets the part of the fleet's retry budget for a service that this
// daemon may use.
func (r *Relay) SetBudgetAllocation(name string, allocation retry.Allocation) {
	r.service(name).retryBudget.SetAllocation(allocation)
}

// RetryBudgetState returns the use of this daemon's part of the retry budget for a
// service.
func (r *Relay) RetryBudgetState(name string) retry.WindowBudgetState {
	return r.service(name).retryBudget.State(time.Now())
}

// RecentRequests returns the number of requests for the service in the current window of
// the retry budget.
func (r *Relay) RecentRequests(name string) int {
	return r.service(name).retryBudget.RecentRequests(time.Now())
}

// service returns the state of a service, creating it on first use. Readers load the
// map without locking; it is copied for each new service.
func (r *Relay) service(name string) *serviceState {
	if s := (*r.services.Load())[name]; s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.services.Load()
	if s := old[name]; s != nil {
		return s
	}
	s := &serviceState{
		targetPool:  sched.NewPool(name, r.dataCentre, sched.WithEmit(r.emit)),
		retryBudget: retry.NewWindowBudget(r.budget.Span, r.budget.Ratio, r.budget.Slack, time.Now()),
	}
	services := make(map[string]*serviceState, len(old)+1)
	for n, o := range old {
		services[n] = o
	}
	services[name] = s
	r.services.Store(&services)
	return s
}

// Handle forwards one request and returns the response to the caller. ctx ends when
// the caller disconnects.
func (r *Relay) Handle(ctx context.Context, req *caller.Request) *caller.Response {
	table := r.table.Load()
	if table == nil {
		return r.refuse(req, fault.NotReady)
	}
	match := table.Match(req.Host, req.Path())
	switch {
	case match == nil && table.Partial():
		return r.refuse(req, fault.RouteUnusable)
	case match == nil:
		return r.refuse(req, fault.UnknownRoute)
	case match.Problem != nil:
		return r.refuse(req, fault.RouteUnusable)
	}
	workspace, err := r.authenticate(table, match, req)
	if err != nil {
		return r.refuseCaller(req, table, err)
	}
	x := r.newExchange(req, table, match)
	x.setWorkspace(table, workspace)
	allowed, ok := r.shutdown.allowedDeadline(x.deadline)
	if !ok {
		return r.logRefusal(req, fault.Leaving, r.leavingResponse(0))
	}
	x.deadline = allowed
	if err := x.takeQuota(ctx); err != nil {
		return r.refuseQuota(req, workspace, err)
	}
	x.retryBudget.CountRequest(time.Now())
	r.beforeAcquire(ctx, x.service, match.Idempotent())
	return x.run(ctx)
}

// maxTimeout is the longest time that a request may take. A longer one, which stands for
// none, is replaced by it, so that times can be added without an overflow.
const maxTimeout = 24 * time.Hour

// newExchange returns the exchange for a request.
// The deadline is the earlier of the route's timeout and the caller's own deadline.
func (r *Relay) newExchange(req *caller.Request, table *route.Table, match *route.Route) *exchange {
	timeout := min(match.Timeout, maxTimeout)
	if left, ok := r.headers.timeLeft(req.Header); ok {
		timeout = min(timeout, left)
	}
	name := match.PickService(rand.Uint64())
	s := r.service(name)
	return &exchange{
		relay:         r,
		request:       req,
		route:         match,
		configVersion: table.Version,
		service:       name,
		targetPool:    s.targetPool,
		retryBudget:   s.retryBudget,
		id:            req.Header.Get(r.headers.RequestID),
		header:        withoutHopByHop(req.Header),
		deadline:      req.ReceivedAt.Add(timeout),
		results:       make(chan *result, match.MaxAttempts+maxUnsentAttempts),
		granted:       make(chan *attempt, match.MaxAttempts+maxUnsentAttempts),
		running:       map[*attempt]bool{},
		inFlight:      map[*attempt]bool{},
	}
}

// refuse returns the error response to a request for which no attempt is made.
func (r *Relay) refuse(req *caller.Request, kind fault.Kind) *caller.Response {
	return r.logRefusal(req, kind, errorResponse(kind, 0))
}

// logRefusal counts a refusal, logs it with the fields and returns its response.
func (r *Relay) logRefusal(req *caller.Request, kind fault.Kind, resp *caller.Response, fields ...any) *caller.Response {
	r.metrics.Counter(stats.Label("relay_refused", "kind", kind.String())).Inc(1)
	all := []any{
		"msg", "request refused", "id", req.Header.Get(r.headers.RequestID),
		"kind", kind, "status", resp.Status, "host", req.Host, "path", req.Path(),
	}
	_ = r.logger.Log(append(all, fields...)...)
	return resp
}
