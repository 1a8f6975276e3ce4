package link

import (
	"bufio"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the head of a response, as net/http does for requests by default.
const maxHeadBytes = 64 << 10

const bufferBytes = 4 << 10

var errHeadTooLarge = errors.New("response head is larger than 64 KiB")

// conn is one connection to a target with its buffers.
type conn struct {
	net      net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	sent     int64
	// used says that the connection carried an exchange before.
	used bool
	// keepAlive is the idle time after which the target closes the connection,
	// as it stated; 0 if it did not.
	keepAlive time.Duration
	// headLeft counts down the bytes that response heads may still take while
	// limited is set.
	headLeft int64
	limited  bool
}

func newConn(n net.Conn) *conn {
	c := &conn{net: n}
	c.reader = bufio.NewReaderSize(readFrom{c}, bufferBytes)
	c.writer = bufio.NewWriterSize(writeTo{c}, bufferBytes)
	return c
}

// readFrom applies the limit on response heads.
type readFrom struct{ c *conn }

// Read fails once a response head has used up its limit.
func (r readFrom) Read(p []byte) (int, error) {
	if !r.c.limited {
		return r.c.net.Read(p)
	}
	if r.c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.c.net.Read(p[:min(int64(len(p)), r.c.headLeft)])
	r.c.headLeft -= int64(n)
	return n, err
}

// writeTo counts the bytes that left the process, which decides whether a
// failed request may have been acted on.
type writeTo struct{ c *conn }

// Write passes the bytes on and counts them.
func (w writeTo) Write(p []byte) (int, error) {
	n, err := w.c.net.Write(p)
	w.c.sent += int64(n)
	return n, err
}

// closeMargin is how long before the stated end of its idle time a connection
// is no longer reused: a request that crosses the close has an unknown outcome.
const closeMargin = time.Second

// idleLimit returns the longest idle time after which the connection may be reused.
func (c *conn) idleLimit() time.Duration {
	if c.keepAlive == 0 {
		return time.Duration(math.MaxInt64)
	}
	return c.keepAlive - closeMargin
}

// alive reports whether an idle connection is open and holds no bytes; bytes
// on an idle connection belong to no request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}

func (c *conn) close() {
	_ = c.net.Close()
}
