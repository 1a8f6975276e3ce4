package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// memNet is a network in memory, on which the paused clock may advance. A
// direction between two hosts can be cut: what is sent in it waits, as TCP
// repeats it, and arrives when the direction is mended.
type memNet struct {
	mu    sync.Mutex
	ports map[string]*memListener
	cuts  map[direction]chan struct{}
}

// direction is the way from one host to another; anyHost stands for all.
type direction struct{ from, to string }

const anyHost = "*"

func newMemNet() *memNet {
	return &memNet{ports: map[string]*memListener{}, cuts: map[direction]chan struct{}{}}
}

func (n *memNet) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[direction{from, to}] == nil {
		n.cuts[direction{from, to}] = make(chan struct{})
	}
}

func (n *memNet) mend(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if mended, ok := n.cuts[direction{from, to}]; ok {
		close(mended)
		delete(n.cuts, direction{from, to})
	}
}

func (n *memNet) mendAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for d, mended := range n.cuts {
		close(mended)
		delete(n.cuts, d)
	}
}

func (n *memNet) cutIn(d direction) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range []direction{d, {d.from, anyHost}, {anyHost, d.to}} {
		if mended, ok := n.cuts[each]; ok {
			return mended
		}
	}
	return nil
}

// await waits until the direction is open.
func (n *memNet) await(ctx context.Context, d direction) error {
	for mended := n.cutIn(d); mended != nil; mended = n.cutIn(d) {
		select {
		case <-mended:
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

// memConn carries the address of its caller.
type memConn struct {
	net.Conn
	remote net.Addr
}

func (c memConn) RemoteAddr() net.Addr { return c.remote }

func (n *memNet) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.ports[address] = l
	return l, nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialFrom returns the function by which a host connects to others.
func (n *memNet) dialFrom(host string) dialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(address)
		out, back := direction{host, to}, direction{to, host}
		for _, d := range []direction{out, back} {
			if err := n.await(ctx, d); err != nil {
				return nil, err
			}
		}
		n.mu.Lock()
		l, ok := n.ports[address]
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
		go pump{n, out, nearEnd, farEnd}.run()
		go pump{n, back, farEnd, nearEnd}.run()
		return near, nil
	}
}

// pump carries the bytes and the end of one direction of a connection.
type pump struct {
	net       *memNet
	direction direction
	src, dst  net.Conn
}

func (p pump) run() {
	buf := make([]byte, 32<<10)
	for {
		k, err := p.src.Read(buf)
		_ = p.net.await(context.Background(), p.direction)
		if err != nil {
			_ = p.dst.Close()
			return
		}
		// A closed reader is no reason to stop: its end travels the other way.
		_, _ = p.dst.Write(buf[:k])
	}
}
