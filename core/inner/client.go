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

// Default limits of a client.
const (
	DefaultDialTimeout = time.Second
	DefaultCallTimeout = 1500 * time.Millisecond
	DefaultIdle        = time.Minute
	// DefaultConnsPerPeer lets an order ask pass while a report is under way.
	DefaultConnsPerPeer = 2
)

// Peer names a daemon to call. An empty VM admits any daemon of the fleet at
// the address; it is used for seed addresses.
type Peer struct {
	VM      fleet.VMID
	Address string
}

// Client calls peers and keeps a pool of connections to each.
type Client struct {
	tls         *tls.Config
	dial        func(ctx context.Context, address string) (net.Conn, error)
	dialTimeout time.Duration
	callTimeout time.Duration
	idle        time.Duration
	conns       int
	stop        chan struct{}
	done        chan struct{}

	mu     sync.Mutex
	closed bool
	pools  map[Peer]*pool[*drpcconn.Conn]
}

// ClientOption changes a client.
type ClientOption func(*Client)

// WithDial replaces TCP, for example by an in-memory network.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithDialTimeout bounds the dial with its TLS handshake.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.dialTimeout = d }
}

// WithCallTimeout bounds a call with its dial.
func WithCallTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.callTimeout = d }
}

// WithIdle sets the time after which an unused connection is closed.
func WithIdle(d time.Duration) ClientOption {
	return func(c *Client) { c.idle = d }
}

// WithConnsPerPeer bounds the calls to one peer at once.
func WithConnsPerPeer(n int) ClientOption {
	return func(c *Client) { c.conns = n }
}

// NewClient returns a client; Close ends it.
func NewClient(id Identity, opts ...ClientOption) *Client {
	c := &Client{
		tls:         id.clientTLS(),
		dial:        dialTCP,
		dialTimeout: DefaultDialTimeout,
		callTimeout: DefaultCallTimeout,
		idle:        DefaultIdle,
		conns:       DefaultConnsPerPeer,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		pools:       make(map[Peer]*pool[*drpcconn.Conn]),
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

// Report sends a report.
func (c *Client) Report(ctx context.Context, to Peer, m *ReportMsg) (*ReportReplyMsg, error) {
	return call[ReportMsg, ReportReplyMsg](ctx, c, to, rpcReport, m)
}

// OrderAsk asks the home of an order key.
func (c *Client) OrderAsk(ctx context.Context, to Peer, m *OrderAskMsg) (*OrderReplyMsg, error) {
	return call[OrderAskMsg, OrderReplyMsg](ctx, c, to, rpcOrderAsk, m)
}

// Ledger hands over a part of a ledger.
func (c *Client) Ledger(ctx context.Context, to Peer, m *LedgerMsg) (*LedgerReplyMsg, error) {
	return call[LedgerMsg, LedgerReplyMsg](ctx, c, to, rpcLedger, m)
}

// RevisionAsk asks for settings.
func (c *Client) RevisionAsk(ctx context.Context, to Peer, m *RevisionAskMsg) (*RevisionReplyMsg, error) {
	return call[RevisionAskMsg, RevisionReplyMsg](ctx, c, to, rpcRevisionAsk, m)
}

// VMsAsk asks for the VMs that the peer knows.
func (c *Client) VMsAsk(ctx context.Context, to Peer, m *VMsAskMsg) (*VMsReplyMsg, error) {
	return call[VMsAskMsg, VMsReplyMsg](ctx, c, to, rpcVMsAsk, m)
}

// StateAsk asks for a state dump.
func (c *Client) StateAsk(ctx context.Context, to Peer, m *StateAskMsg) (*StateReplyMsg, error) {
	return call[StateAskMsg, StateReplyMsg](ctx, c, to, rpcStateAsk, m)
}

// call fails with fault.PeerUnreachable, or with the kind that the peer's
// handler returned. A call on a connection that the peer has closed meanwhile
// is repeated once on a new one: all calls of the protocol may be repeated.
func call[In, Out any](ctx context.Context, c *Client, to Peer, rpc string, in *In) (*Out, error) {
	if err := check(in); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	p, err := c.pool(to)
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

// remoteFault returns the error that a handler or codec returned, or nil if err
// is one of the connection. The kind travels by name, because the numbers
// differ between versions.
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

func (c *Client) pool(to Peer) (*pool[*drpcconn.Conn], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.New(fault.PeerUnreachable, "client of the inner protocol is closed")
	}
	p, ok := c.pools[to]
	if !ok {
		dial := func(ctx context.Context) (*drpcconn.Conn, error) { return c.connect(ctx, to) }
		p = newPool(c.conns, dial, isClosed, closeConn)
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
		// The address of a removed VM may be given to a new one.
		err = fault.New(fault.Unauthenticated, "peer is VM %s", vm)
	}
	if err != nil {
		_ = raw.Close()
		return nil, fault.Wrap(err, fault.PeerUnreachable, "connect to %s at %s", to.VM, to.Address)
	}
	return drpcconn.NewWithOptions(&joinedConn{Conn: transport{tc}}, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxReply}},
	}), nil
}

// Close closes all idle connections and refuses further calls; connections in
// use close when their calls end.
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

// loop closes idle connections.
func (c *Client) loop() {
	defer close(c.done)
	ticker := time.NewTicker(c.idle / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.sweep(false)
		case <-c.stop:
			c.sweep(true)
			return
		}
	}
}

func (c *Client) sweep(last bool) {
	before := time.Now().Add(-c.idle)
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	for peer, p := range pools {
		if p.sweep(before, last) {
			c.mu.Lock()
			delete(c.pools, peer)
			c.mu.Unlock()
		}
	}
}
