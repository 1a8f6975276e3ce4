package head

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dial opens a connection that reports a request that was not sent at the end of its stream.
func (d dialFunc) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, turn: make(chan struct{}, 1), closed: make(chan struct{})}, nil
}

// conn is a connection whose stream ends in order only once the current request is sent
// without an error. The system reports a reset of a connection only once, to the read or to
// the write that is first, and as the end of the stream to later reads.
type conn struct {
	net.Conn
	// exchange is the last one on the connection; nil if there was none, or if it is not
	// known.
	exchange atomic.Pointer[exchange]
	// turn holds one element while a write is in progress, or while writeErr is read.
	turn chan struct{}
	// writeErr is the error of the first write that failed.
	writeErr  error
	closed    chan struct{}
	closeOnce sync.Once
}

// Write writes p and records a failure.
func (c *conn) Write(p []byte) (int, error) {
	c.turn <- struct{}{}
	defer c.endTurn()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. At the end of the stream, it waits until the request is
// sent, and returns the error of a write that has failed in place of [io.EOF].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	x := c.exchange.Load()
	if x != nil {
		x.scanner.scanAll(p[:n])
	}
	if errors.Is(err, io.EOF) {
		c.waitUntilSent(x)
		err = c.endOfStream()
	}
	return n, err
}

// waitUntilSent waits until the request is sent, its context ends or the connection is closed.
func (c *conn) waitUntilSent(x *exchange) {
	if x == nil {
		return
	}
	select {
	case <-x.sent:
	case <-x.done:
	case <-c.closed:
	}
}

// endOfStream waits for the write in progress. It returns the error of the first write that
// failed, or io.EOF if there is none.
func (c *conn) endOfStream() error {
	c.turn <- struct{}{}
	defer c.endTurn()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

func (c *conn) endTurn() {
	<-c.turn
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
