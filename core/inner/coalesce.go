package inner

import (
	"net"

	"storj.io/drpc/drpcwire"
)

// coalescingConn is a client's connection that delays the frame that ends a call
// and sends it together with the next call, or never if there is none. This is
// safe because the server has already replied when the client ends a call. A TLS
// record and a packet for this frame alone would add 78 B to each report. Writes
// need no lock, because drpc makes one at a time.
type coalescingConn struct {
	net.Conn
	// pending holds the delayed frame.
	pending []byte
}

// Write writes the delayed frame and b, or delays b if it ends a call.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 && isCloseFrame(b) {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	_, err := c.Conn.Write(append(c.pending, b...))
	c.pending = c.pending[:0]
	return len(b), err
}

// isCloseFrame reports whether b consists of exactly one frame and that frame ends a call.
func isCloseFrame(b []byte) bool {
	rest, frame, ok, err := drpcwire.ParseFrame(b)
	return ok && err == nil && len(rest) == 0 && frame.Kind == drpcwire.KindClose
}
