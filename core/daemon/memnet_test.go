package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// memNet is an in-memory network, so that the virtual time of a synctest bubble can
// advance while goroutines wait for it. A direction between two hosts can be blocked.
// Data sent in it then waits, like TCP segments that are retransmitted, and arrives
// when the direction is unblocked.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	blocked   map[direction]chan struct{}
}

// direction is the path from one host to another; anyHost matches every host.
type direction struct{ from, to string }

const anyHost = "*"

func newMemNet() *memNet {
	return &memNet{listeners: map[string]*memListener{}, blocked: map[direction]chan struct{}{}}
}

func (n *memNet) block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[direction{from, to}] == nil {
		n.blocked[direction{from, to}] = make(chan struct{})
	}
}

func (n *memNet) unblock(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if unblocked, ok := n.blocked[direction{from, to}]; ok {
		close(unblocked)
		delete(n.blocked, direction{from, to})
	}
}

func (n *memNet) unblockAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for d, unblocked := range n.blocked {
		close(unblocked)
		delete(n.blocked, d)
	}
}

// blockedBy returns the channel that is closed when the direction is unblocked, or
// nil if it is open.
func (n *memNet) blockedBy(d direction) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range []direction{d, {d.from, anyHost}, {anyHost, d.to}} {
		if unblocked, ok := n.blocked[each]; ok {
			return unblocked
		}
	}
	return nil
}

// waitUntilOpen waits until the direction is not blocked.
func (n *memNet) waitUntilOpen(ctx context.Context, d direction) error {
	for unblocked := n.blockedBy(d); unblocked != nil; unblocked = n.blockedBy(d) {
		select {
		case <-unblocked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

type memListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

// memConn is a connection that reports the address of the connecting host.
type memConn struct {
	net.Conn
	remote net.Addr
}

func (c memConn) RemoteAddr() net.Addr { return c.remote }

func (n *memNet) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialFrom returns the dial function of a host.
func (n *memNet) dialFrom(host string) dialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(address)
		out, back := direction{host, to}, direction{to, host}
		for _, d := range []direction{out, back} {
			if err := n.waitUntilOpen(ctx, d); err != nil {
				return nil, err
			}
		}
		n.mu.Lock()
		l, ok := n.listeners[address]
		n.mu.Unlock()
		if !ok {
			return nil, fmt.Errorf("connection to %s refused", address)
		}
		near, nearEnd := net.Pipe()
		farEnd, far := net.Pipe()
		select {
		case l.conns <- memConn{far, memAddr(host + ":4000")}:
		case <-l.closed:
			return nil, fmt.Errorf("connection to %s refused", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		go copier{n, out, nearEnd, farEnd}.run()
		go copier{n, back, farEnd, nearEnd}.run()
		return near, nil
	}
}

// copier copies one direction of a connection, including its end.
type copier struct {
	net       *memNet
	direction direction
	src, dst  net.Conn
}

func (c copier) run() {
	buf := make([]byte, 32<<10)
	for {
		k, err := c.src.Read(buf)
		_ = c.net.waitUntilOpen(context.Background(), c.direction)
		if err != nil {
			_ = c.dst.Close()
			return
		}
		// A write error does not end the copy: the receiver has closed, which the
		// copier of the other direction passes on.
		_, _ = c.dst.Write(buf[:k])
	}
}
