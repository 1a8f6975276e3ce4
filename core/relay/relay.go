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
	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/stats"
)

// Budget bounds the extra sends of the whole fleet to one service.
type Budget struct {
	// Span is the sliding time in which extra sends are counted.
	Span time.Duration
	// Ratio is the number of extra sends allowed for each request.
	Ratio float64
	// Slack is the number of extra sends allowed besides in one span.
	Slack float64
}

// service is what the relay holds for one service.
type service struct {
	pool   *sched.Pool
	window *retry.Window
}

// Relay carries the requests of one daemon.
type Relay struct {
	dataCentre string
	headers    Headers
	budget     Budget
	logger     log.Logger
	set        *stats.Set
	emit       func(sched.Event)
	inform     func(ctx context.Context, service string, repeatable bool)
	table      atomic.Pointer[route.Table]
	pools      pools
	sizes      sizes
	memory     memory

	mu       sync.Mutex
	services atomic.Pointer[map[string]*service]
}

// Option changes a Relay.
type Option func(*Relay)

// WithLogger sets the logger; the relay logs nothing without it.
func WithLogger(l log.Logger) Option {
	return func(r *Relay) { r.logger = l }
}

// WithStats sets the metrics.
func WithStats(s *stats.Set) Option {
	return func(r *Relay) { r.set = s }
}

// WithBudget sets the budget of extra sends.
func WithBudget(b Budget) Option {
	return func(r *Relay) { r.budget = b }
}

// WithEmit sets the function that is told each event of a target; it must not block.
func WithEmit(emit func(sched.Event)) Option {
	return func(r *Relay) { r.emit = emit }
}

// WithInform sets the function that is called before a request gets a target; it may
// wait a moment for what peers know of the targets of the service. repeatable says
// that the request can be sent again.
func WithInform(inform func(ctx context.Context, service string, repeatable bool)) Option {
	return func(r *Relay) { r.inform = inform }
}

// WithLinkOptions adds options to the pools of connections to targets.
func WithLinkOptions(opts ...link.Option) Option {
	return func(r *Relay) { r.pools.opts = opts }
}

// WithAnswerMemory bounds the bytes of answers that are held until their callers
// have taken them.
func WithAnswerMemory(bytes int64) Option {
	return func(r *Relay) { r.memory.left.Store(bytes) }
}

// defaultBudget is used where the settings state none.
var defaultBudget = Budget{Span: 10 * time.Second, Ratio: 0.2, Slack: 20}

// New returns a relay without a configuration, which refuses all requests.
func New(dataCentre string, headers Headers, opts ...Option) *Relay {
	r := &Relay{
		dataCentre: dataCentre,
		headers:    headers,
		budget:     defaultBudget,
		logger:     log.NewNopLogger(),
		set:        stats.New(),
		emit:       func(sched.Event) {},
		inform:     func(context.Context, string, bool) {},
	}
	r.services.Store(&map[string]*service{})
	r.memory.left.Store(defaultAnswerMemory)
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetTable puts a configuration in force.
func (r *Relay) SetTable(t *route.Table) {
	for _, name := range t.Services() {
		r.service(name)
	}
	r.table.Store(t)
}

// SetBudget changes the budget of extra sends for all services.
func (r *Relay) SetBudget(b Budget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = b
	for _, s := range *r.services.Load() {
		s.window.SetBounds(b.Ratio, b.Slack)
	}
}

// Table returns the configuration in force, or nil.
func (r *Relay) Table() *route.Table {
	return r.table.Load()
}

// Limits returns the limits for callers in force.
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
		s.pool.SetTargets(targets[name])
		for _, t := range targets[name] {
			live[poolKey(t)] = true
		}
	}
	r.pools.keep(live)
}

// Pool returns the pool of a service, making it at first use.
func (r *Relay) Pool(name string) *sched.Pool {
	return r.service(name).pool
}

// SetPart sets the part of the fleet's budget of extra sends to a service that
// this daemon may use.
func (r *Relay) SetPart(name string, part retry.Part) {
	r.service(name).window.SetPart(part)
}

// BudgetState returns the daemon's part of the budget of extra sends to a service.
func (r *Relay) BudgetState(name string) retry.WindowState {
	return r.service(name).window.State(time.Now())
}

// Recent returns the number of requests for the service in the span of the budget.
func (r *Relay) Recent(name string) int {
	return r.service(name).window.Requests(time.Now())
}

func (r *Relay) service(name string) *service {
	if s := (*r.services.Load())[name]; s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.services.Load()
	if s := old[name]; s != nil {
		return s
	}
	s := &service{
		pool:   sched.NewPool(name, r.dataCentre, sched.WithEmit(r.emit)),
		window: retry.NewWindow(r.budget.Span, r.budget.Ratio, r.budget.Slack, time.Now()),
	}
	services := make(map[string]*service, len(old)+1)
	for n, o := range old {
		services[n] = o
	}
	services[name] = s
	r.services.Store(&services)
	return s
}

// Handle answers one request.
func (r *Relay) Handle(ctx context.Context, req *caller.Request) *caller.Answer {
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
	x := r.newExchange(req, table, match)
	r.inform(ctx, x.service, match.Idempotent())
	return x.run(ctx)
}

func (r *Relay) newExchange(req *caller.Request, table *route.Table, match *route.Route) *exchange {
	limit := match.Timeout
	if left, ok := r.headers.timeLeft(req.Header); ok {
		limit = min(limit, left)
	}
	name := match.Pick(rand.Uint64())
	s := r.service(name)
	s.window.Request(time.Now())
	return &exchange{
		relay:    r,
		request:  req,
		route:    match,
		version:  table.Version,
		service:  name,
		pool:     s.pool,
		window:   s.window,
		id:       req.Header.Get(r.headers.RequestID),
		header:   forwardable(req.Header),
		deadline: req.Received.Add(limit),
		results:  make(chan *result, match.Attempts+maxUnsent),
		granted:  make(chan *attempt, match.Attempts+maxUnsent),
		running:  map[*attempt]bool{},
		sent:     map[*attempt]bool{},
	}
}

func (r *Relay) refuse(req *caller.Request, kind fault.Kind) *caller.Answer {
	a := ownAnswer(kind)
	r.set.Counter(stats.Label("relay_refused", "kind", kind.String())).Inc(1)
	_ = r.logger.Log("msg", "request refused", "id", req.Header.Get(r.headers.RequestID),
		"kind", kind, "status", a.Status, "host", req.Host, "path", req.Path())
	return a
}
