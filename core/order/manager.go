package order

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// Manager decides for each copy of an order whether this daemon may run it.
type Manager struct {
	self     fleet.Incarnation
	signer   *Signer
	ledger   *Ledger
	claims   *Claims
	imported importedLedgers
	// queryPeer queries another incarnation.
	queryPeer QueryFunc
	// importers returns the incarnations that may have imported a ledger.
	importers    func(owner fleet.Incarnation) []fleet.Incarnation
	queryTimeout time.Duration

	table          store.Table
	maxRowResponse int64
}

// Option configures a Manager.
type Option func(*Manager)

// defaultQueryTimeout limits the total time of the queries for one copy of an
// order. A round trip between regions and two more attempts fit into it.
const defaultQueryTimeout = 2 * time.Second

// WithQueryFunc sets the function that queries other daemons. Without it, every
// other daemon counts as unreachable.
func WithQueryFunc(queryPeer QueryFunc) Option {
	return func(m *Manager) { m.queryPeer = queryPeer }
}

// WithImporters sets the function that returns the incarnations that may have
// imported the ledger of an incarnation that left, the most likely first. It may
// include others: an incarnation without the ledger replies with StateNotHeld.
func WithImporters(importers func(owner fleet.Incarnation) []fleet.Incarnation) Option {
	return func(m *Manager) { m.importers = importers }
}

// WithTable sets the table service for claims. Without it, orders with a
// caller-chosen key are not run and get the outcome unknown.
func WithTable(t store.Table) Option {
	return func(m *Manager) { m.table = t }
}

// WithMaxRowResponse sets the size in bytes up to which a response is kept in its
// claim row.
func WithMaxRowResponse(bytes int64) Option {
	return func(m *Manager) { m.maxRowResponse = bytes }
}

// WithQueryTimeout limits the time for the queries to other daemons about one
// copy of an order, and the time for its requests to the table service.
func WithQueryTimeout(t time.Duration) Option {
	return func(m *Manager) { m.queryTimeout = t }
}

// WithLedger replaces the ledger.
func WithLedger(l *Ledger) Option {
	return func(m *Manager) { m.ledger = l }
}

// NewManager returns the manager of an incarnation.
func NewManager(self fleet.Incarnation, signer *Signer, opts ...Option) *Manager {
	m := &Manager{
		self:         self,
		signer:       signer,
		ledger:       NewLedger(self),
		table:        tableUnavailable(),
		queryPeer:    peerUnreachable,
		importers:    func(fleet.Incarnation) []fleet.Incarnation { return nil },
		queryTimeout: defaultQueryTimeout,

		maxRowResponse: defaultMaxRowResponse,
	}
	for _, o := range opts {
		o(m)
	}
	m.claims = newClaims(m.table, m.maxRowResponse)
	m.imported = importedLedgers{
		maxRecords:   m.ledger.maxRecords,
		maxKeptBytes: m.ledger.maxKeptBytes / 2,
		ledgers:      map[fleet.Incarnation]*importedLedger{},
	}
	return m
}

func peerUnreachable(_ context.Context, to fleet.Incarnation, _ KeyQuery) (KeyReply, error) {
	return KeyReply{}, fault.New(fault.PeerUnreachable, "%s", to)
}

func tableUnavailable() store.Table {
	err := fault.New(fault.StoreUnavailable, "no table service is set")
	return store.Table{
		Get:   func(context.Context, string) (store.Row, error) { return store.Row{}, err },
		Scan:  func(context.Context, string, string, int) ([]store.Row, error) { return nil, err },
		Apply: func(context.Context, store.Tx) error { return err },
	}
}

// Start maintains the ledgers and writes outcomes of claims in the background
// until ctx ends.
func (m *Manager) Start(ctx context.Context) {
	go m.ledger.run(ctx)
	go m.claims.run(ctx)
	go m.run(ctx)
}

// run removes imported ledgers whose retention time is over.
func (m *Manager) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.imported.expire(time.Now())
		}
	}
}

// IssueToken issues a token for the service. It returns NotReady once the daemon is
// leaving and QueueFull while its ledger is full.
func (m *Manager) IssueToken(service fleet.ServiceID, mode TokenMode) (string, error) {
	epoch, err := m.ledger.epochForToken()
	if err != nil {
		return "", err
	}
	return m.signer.Issue(Token{Service: service, Issuer: m.self, Epoch: epoch, Mode: mode})
}

// Begin decides on one copy of an order. After VerdictRun the caller sends the
// request to a target and then calls Finish of the decision's Permit.
func (m *Manager) Begin(ctx context.Context, r Request) Decision {
	if r.Key == "" && r.KeyMode == fleet.KeyOptional {
		if !r.MayRun {
			return refusedDecision(VerdictNotRun, fault.NotCarried, "the service isn't carried here")
		}
		return Decision{Verdict: VerdictRun}
	}
	if r.MayRun && r.Digest.IsZero() {
		return invalidDecision(fault.New(fault.Internal, "order without the digest of its request"))
	}
	key, err := m.signer.ParseKey(r.Key)
	if err != nil {
		return invalidDecision(err)
	}
	if !key.CallerChosen && key.Token.Service != r.Service {
		// Every daemon refuses a token of another service, so this request
		// certainly does not run.
		return invalidDecision(fault.New(fault.OrderKeyInvalid, "the token is for service %q", key.Token.Service))
	}
	c := orderCopy{manager: m, req: r, key: key.hash(r.Workspace, r.Service), token: key.Token}
	switch {
	case key.CallerChosen || key.Token.Mode == ModeClaim:
		return c.beginClaim(ctx)
	case key.Token.Issuer == m.self:
		return c.beginLocal(ctx)
	default:
		return c.beginRemote(ctx)
	}
}

// CloseKey decides on a copy that must not run here, for example because it was
// rejected early. The verdict is VerdictNotRun only if no copy ran or will run.
func (m *Manager) CloseKey(ctx context.Context, r Request) Decision {
	r.MayRun = false
	return m.Begin(ctx, r)
}

// AnswerQuery replies to the query of another daemon.
func (m *Manager) AnswerQuery(q KeyQuery) KeyReply {
	if q.Validate() != nil {
		return KeyReply{State: StateNotHeld}
	}
	if q.Ledger == m.self {
		return m.ledger.answer(q)
	}
	return m.imported.answer(q)
}

// ExportLedgers seals the ledger, after which no epoch is open, and returns it in
// parts, together with the ledgers that were imported from others.
func (m *Manager) ExportLedgers() []LedgerPart {
	return append(m.ledger.export(), m.imported.export(time.Now())...)
}

// ImportLedgerPart stores one part of the ledger of a daemon that leaves. It returns
// QueueFull if there is no room for its records. The ledger then stays incomplete,
// and keys without a record in it get the outcome unknown.
func (m *Manager) ImportLedgerPart(p LedgerPart) error {
	if err := p.Validate(); err != nil {
		return err
	}
	if p.Ledger == m.self {
		return nil
	}
	return m.imported.add(p, time.Now())
}

// FlushOutcomes writes the queued outcomes of claims to the store; it is called
// before the process exits.
func (m *Manager) FlushOutcomes(ctx context.Context) error {
	return m.claims.flush(ctx)
}
