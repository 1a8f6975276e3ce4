package order

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// Manager decides for each copy of an order whether it may run at this daemon.
type Manager struct {
	self     fleet.Incarnation
	signer   *Signer
	ledger   *Ledger
	claims   *Claims
	holdings holdings
	ask      AskHome
	holders  func(gone fleet.Incarnation) []fleet.Incarnation
	timeout  time.Duration

	table       store.Table
	rowResponse int64
}

// Option changes a Manager.
type Option func(*Manager)

// defaultAskTimeout bounds the asks of one copy, all together: the round trip
// between regions and two more tries fit well.
const defaultAskTimeout = 2 * time.Second

// WithAskHome sets the function that asks other daemons; without it every
// other daemon is unreachable.
func WithAskHome(ask AskHome) Option {
	return func(m *Manager) { m.ask = ask }
}

// WithHolders sets the function that returns the incarnations that may hold
// the ledger of one that left, best first. An incarnation that doesn't hold it
// says so and does no harm.
func WithHolders(holders func(gone fleet.Incarnation) []fleet.Incarnation) Option {
	return func(m *Manager) { m.holders = holders }
}

// WithTable sets the table service for claims; without it callers' own keys
// are answered with unknown.
func WithTable(t store.Table) Option {
	return func(m *Manager) { m.table = t }
}

// WithRowResponse sets the size up to which responses are kept in claim rows.
func WithRowResponse(bytes int64) Option {
	return func(m *Manager) { m.rowResponse = bytes }
}

// WithAskTimeout sets the time for asking other daemons and the table about one copy.
func WithAskTimeout(t time.Duration) Option {
	return func(m *Manager) { m.timeout = t }
}

// WithLedger replaces the ledger.
func WithLedger(l *Ledger) Option {
	return func(m *Manager) { m.ledger = l }
}

// NewManager returns the manager of an incarnation.
func NewManager(self fleet.Incarnation, signer *Signer, opts ...Option) *Manager {
	m := &Manager{
		self:    self,
		signer:  signer,
		ledger:  NewLedger(self),
		table:   unavailable(),
		ask:     unreachable,
		holders: func(fleet.Incarnation) []fleet.Incarnation { return nil },
		timeout: defaultAskTimeout,

		rowResponse: defaultRowResponse,
	}
	for _, o := range opts {
		o(m)
	}
	m.claims = newClaims(m.table, m.rowResponse)
	m.holdings = holdings{
		maxRecords: m.ledger.maxRecords,
		maxKept:    m.ledger.maxKept / 2,
		ledgers:    map[fleet.Incarnation]*held{},
	}
	return m
}

func unreachable(_ context.Context, to fleet.Incarnation, _ OrderAsk) (OrderReply, error) {
	return OrderReply{}, fault.New(fault.PeerUnreachable, "%s", to)
}

func unavailable() store.Table {
	err := fault.New(fault.StoreUnavailable, "no table service is set")
	return store.Table{
		Get:   func(context.Context, string) (store.Row, error) { return store.Row{}, err },
		Scan:  func(context.Context, string, string, int) ([]store.Row, error) { return nil, err },
		Apply: func(context.Context, store.Tx) error { return err },
	}
}

// Start closes epochs and writes outcomes in the background until ctx ends.
func (m *Manager) Start(ctx context.Context) {
	go m.ledger.run(ctx)
	go m.claims.run(ctx)
	go m.run(ctx)
}

// run drops ledgers that were handed over long ago.
func (m *Manager) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.holdings.expire(time.Now())
		}
	}
}

// Token issues a token for the service with this incarnation as its home. It
// fails with NotReady while the daemon leaves and QueueFull while its ledger is full.
func (m *Manager) Token(service fleet.ServiceID, mode Mode) (string, error) {
	number, err := m.ledger.issueEpoch()
	if err != nil {
		return "", err
	}
	return m.signer.Issue(Token{Service: service, Home: m.self, Epoch: number, Mode: mode})
}

// Begin decides on one copy of an order. With VerdictRun the caller sends the
// request and then calls Finish of the ticket.
func (m *Manager) Begin(ctx context.Context, r Request) Decision {
	if r.Key == "" && r.Mode == fleet.KeyOptional {
		if !r.Carried {
			return refuse(VerdictNotRun, fault.NotCarried, "the service isn't carried here")
		}
		return Decision{Verdict: VerdictRun}
	}
	if r.Carried && r.Digest.IsZero() {
		return invalid(fault.New(fault.Internal, "order without the digest of its request"))
	}
	key, err := m.signer.ParseKey(r.Key)
	if err != nil {
		return invalid(err)
	}
	if !key.Own && key.Token.Service != r.Service {
		// Every daemon refuses the request, so that it is certain not to run.
		return invalid(fault.New(fault.OrderKeyInvalid, "the token is for service %q", key.Token.Service))
	}
	c := copyOf{manager: m, req: r, hash: key.hash(r.Workspace, r.Service), token: key.Token}
	switch {
	case key.Own || key.Token.Mode == ModeClaim:
		return c.beginClaim(ctx)
	case key.Token.Home == m.self:
		return c.beginOwn(ctx)
	default:
		return c.beginForeign(ctx)
	}
}

// Close decides on a copy that is not to be run here, for example because it
// is rejected early. Its verdict is not-run only if no copy ran or will run.
func (m *Manager) Close(ctx context.Context, r Request) Decision {
	r.Carried = false
	return m.Begin(ctx, r)
}

// Answer replies to the ask of another daemon.
func (m *Manager) Answer(a OrderAsk) OrderReply {
	if a.Validate() != nil {
		return OrderReply{State: StateNotHeld}
	}
	if a.Ledger == m.self {
		return m.ledger.answer(a)
	}
	return m.holdings.answer(a)
}

// Export closes all epochs for good and returns the ledger in parts, together
// with the ledgers that this daemon holds for others.
func (m *Manager) Export() []LedgerPart {
	return append(m.ledger.export(), m.holdings.export(time.Now())...)
}

// Import takes over one part of the ledger of a daemon that leaves. It fails
// with QueueFull if there is no room; unseen keys of that ledger are then
// answered with unknown.
func (m *Manager) Import(p LedgerPart) error {
	if err := p.Validate(); err != nil {
		return err
	}
	if p.Ledger == m.self {
		return nil
	}
	return m.holdings.add(p, time.Now())
}

// Flush writes the outcomes that wait for the store; it is called before exit.
func (m *Manager) Flush(ctx context.Context) error {
	return m.claims.flush(ctx)
}
