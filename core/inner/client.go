package inner

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Default timeouts and limits of a client.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 1500 * time.Millisecond
	DefaultIdleTimeout = time.Minute
	// DefaultConnsPerPeer is 2, so that an order request is not blocked while a
	// report is in progress.
	DefaultConnsPerPeer = 2
)

// Peer identifies a daemon to call. If VM is empty, any daemon of the fleet is
// accepted at the address; this is used for seed addresses, whose VM ids are not
// known yet.
type Peer struct {
	VM      fleet.VMID
	Address string
}

// Client calls peers. It keeps a connection pool for each.
type Client struct {
	tls          *tls.Config
	dial         func(ctx context.Context, address string) (net.Conn, error)
	dialTimeout  time.Duration
	callTimeout  time.Duration
	idleTimeout  time.Duration
	connsPerPeer int
	stop         chan struct{}
	done         chan struct{}

	mu     sync.Mutex
	closed bool
	pools  map[Peer]*pool[*drpcconn.Conn]
}

// ClientOption configures a client.
type ClientOption func(*Client)

// WithDial sets the dial function, for example to use an in-memory network in place of TCP.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithDialTimeout limits the time to dial, including the TLS handshake.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.dialTimeout = d }
}

// WithCallTimeout limits the time of a call, including a dial if one is needed.
func WithCallTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.callTimeout = d }
}

// WithIdleTimeout sets the time after which an unused connection is closed.
func WithIdleTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.idleTimeout = d }
}

// WithConnsPerPeer limits the connections to one peer and so its concurrent calls.
func WithConnsPerPeer(n int) ClientOption {
	return func(c *Client) { c.connsPerPeer = n }
}

// NewClient returns a client. The caller must Close it.
func NewClient(id Identity, opts ...ClientOption) *Client {
	c := &Client{
		tls:          id.clientTLS(),
		dial:         dialTCP,
		dialTimeout:  DefaultDialTimeout,
		callTimeout:  DefaultCallTimeout,
		idleTimeout:  DefaultIdleTimeout,
		connsPerPeer: DefaultConnsPerPeer,
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		pools:        make(map[Peer]*pool[*drpcconn.Conn]),
	}
	for _, o := range opts {
		o(c)
	}
	go c.loop()
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Report sends a report to a co-carrier.
func (c *Client) Report(ctx context.Context, to Peer, m *ReportMsg) (*ReportReplyMsg, error) {
	return call[ReportMsg, ReportReplyMsg](ctx, c, to, rpcReport, m)
}

// Order asks the daemon that holds the ledger of an order key for the state of
// the order, or for the right to run it.
func (c *Client) Order(ctx context.Context, to Peer, m *OrderRequestMsg) (*OrderReplyMsg, error) {
	return call[OrderRequestMsg, OrderReplyMsg](ctx, c, to, rpcOrder, m)
}

// Ledger sends a part of an order ledger.
func (c *Client) Ledger(ctx context.Context, to Peer, m *LedgerMsg) (*LedgerReplyMsg, error) {
	return call[LedgerMsg, LedgerReplyMsg](ctx, c, to, rpcLedger, m)
}

// Revision asks for the peer's revision of the settings.
func (c *Client) Revision(ctx context.Context, to Peer, m *RevisionRequestMsg) (*RevisionReplyMsg, error) {
	return call[RevisionRequestMsg, RevisionReplyMsg](ctx, c, to, rpcRevision, m)
}

// VMs asks for the VMs that the peer knows.
func (c *Client) VMs(ctx context.Context, to Peer, m *VMsRequestMsg) (*VMsReplyMsg, error) {
	return call[VMsRequestMsg, VMsReplyMsg](ctx, c, to, rpcVMs, m)
}

// State asks for the peer's state dump.
func (c *Client) State(ctx context.Context, to Peer, m *StateRequestMsg) (*StateReplyMsg, error) {
	return call[StateRequestMsg, StateReplyMsg](ctx, c, to, rpcState, m)
}

// call sends a request and waits for the reply. It fails with
// fault.PeerUnreachable, or with the kind of error that the peer's handler
// returned. If a pooled connection turns out to be broken, the call is retried on
// another pooled connection or, finally, on a new one. This is safe because all
// calls of the protocol may be repeated.
func call[In, Out any](ctx context.Context, c *Client, to Peer, rpc string, in *In) (*Out, error) {
	if err := validateMessage(in); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	p, err := c.poolFor(to)
	if err != nil {
		return nil, err
	}
	for {
		conn, fresh, err := p.get(ctx)
		if err != nil {
			return nil, err
		}
		out := new(Out)
		err = conn.Invoke(ctx, rpc, Codec{}, in, out)
		if err == nil {
			p.put(conn, true)
			return out, nil
		}
		remote := remoteFault(err)
		invalid := fault.Is(err, fault.MessageInvalid)
		p.put(conn, remote != nil && !invalid && !isClosed(conn) && ctx.Err() == nil)
		if remote != nil {
			return nil, remote
		}
		if fresh || ctx.Err() != nil {
			return nil, fault.Wrap(err, fault.PeerUnreachable, "call %s to %s at %s", rpc, to.VM, to.Address)
		}
	}
}

// remoteFault returns the error that the peer's handler or a codec returned, or
// nil if err is an error of the connection. The kind is transmitted by name,
// because its number may differ between versions.
func remoteFault(err error) *fault.Error {
	if fault.Is(err, fault.MessageInvalid) {
		return fault.From(err)
	}
	name, detail, found := strings.Cut(err.Error(), ": ")
	if !found {
		return nil
	}
	for _, k := range fault.Kinds() {
		if k.String() == name {
			return fault.New(k, "%s", detail)
		}
	}
	return nil
}

// poolFor returns the connection pool of the peer and creates it if necessary.
func (c *Client) poolFor(to Peer) (*pool[*drpcconn.Conn], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.New(fault.PeerUnreachable, "client of the inner protocol is closed")
	}
	p, ok := c.pools[to]
	if !ok {
		dial := func(ctx context.Context) (*drpcconn.Conn, error) { return c.connect(ctx, to) }
		p = newPool(c.connsPerPeer, dial, isClosed, closeConn)
		c.pools[to] = p
	}
	return p, nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func closeConn(conn *drpcconn.Conn) {
	_ = conn.Close()
}

// connect dials the peer and verifies the VM id in its certificate.
func (c *Client) connect(ctx context.Context, to Peer) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, to.Address)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerUnreachable, "dial %s at %s", to.VM, to.Address)
	}
	tc := tls.Client(raw, c.tls)
	vm, err := handshake(ctx, tc, c.dialTimeout)
	if err == nil && to.VM != "" && vm != to.VM {
		// The address of a removed VM may have been reassigned to a new one.
		err = fault.New(fault.Unauthenticated, "peer is VM %s", vm)
	}
	if err != nil {
		_ = raw.Close()
		return nil, fault.Wrap(err, fault.PeerUnreachable, "connect to %s at %s", to.VM, to.Address)
	}
	return drpcconn.NewWithOptions(&coalescingConn{Conn: fastCloseConn{tc}}, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxReplyBytes}},
	}), nil
}

// Close closes all idle connections and makes further calls fail. Connections in
// use are closed when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if !closed {
		close(c.stop)
	}
	<-c.done
}

// loop closes connections that have been idle for too long, until Close is called.
func (c *Client) loop() {
	defer close(c.done)
	ticker := time.NewTicker(c.idleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.closeIdle(false)
		case <-c.stop:
			c.closeIdle(true)
			return
		}
	}
}

// closeIdle closes idle connections, those that reached the idle timeout or all,
// and removes pools that are no longer used.
func (c *Client) closeIdle(all bool) {
	before := time.Now().Add(-c.idleTimeout)
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	for peer, p := range pools {
		if p.closeIdle(before, all) {
			c.mu.Lock()
			delete(c.pools, peer)
			c.mu.Unlock()
		}
	}
}
