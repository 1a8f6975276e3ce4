package inner

import (
	"net"

	"storj.io/drpc/drpcwire"
)

// joinedConn is a client's connection that sends the end of a call together
// with the next call, or never if there is none: the server has answered by
// then. A record and a packet of its own would add 78 B to each report. drpc
// makes one write at a time.
type joinedConn struct {
	net.Conn
	held []byte
}

// Write sends b after what is held, or holds b if it is the end of a call.
func (j *joinedConn) Write(b []byte) (int, error) {
	if len(j.held) == 0 && isEnd(b) {
		j.held = append(j.held, b...)
		return len(b), nil
	}
	if len(j.held) == 0 {
		return j.Conn.Write(b)
	}
	_, err := j.Conn.Write(append(j.held, b...))
	j.held = j.held[:0]
	return len(b), err
}

// isEnd reports whether b is the frame that ends a call, and nothing else.
func isEnd(b []byte) bool {
	rest, frame, ok, err := drpcwire.ParseFrame(b)
	return ok && err == nil && len(rest) == 0 && frame.Kind == drpcwire.KindClose
}
