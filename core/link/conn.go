package link

import (
	"bufio"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/head"
)

const bufferSize = 4 << 10

// conn is a connection to a target with its buffers.
type conn struct {
	netConn   net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	lastUsed  time.Time
	bytesSent int64
	// reused is set if the connection carried an exchange before the current one.
	reused bool
	// keepAliveTimeout is the idle time after which the target closes the
	// connection, from its Keep-Alive header; 0 if it sent none.
	keepAliveTimeout time.Duration
	// headBytesLeft is the number of bytes that response heads may still have,
	// headLinesLeft the number of lines that the current one may still have. Both apply
	// while readingHead is set.
	headBytesLeft int64
	headLinesLeft int
	readingHead   bool
	// scanner looks at the raw lines of the current head.
	scanner head.Scanner
}

func newConn(n net.Conn) *conn {
	c := &conn{netConn: n}
	c.reader = bufio.NewReaderSize(limitedReader{c}, bufferSize)
	c.writer = bufio.NewWriterSize(countingWriter{c}, bufferSize)
	return c
}

// countingWriter writes to the connection and counts the bytes. The count decides
// whether the target may have acted on a failed request.
type countingWriter struct{ c *conn }

// Write writes p to the connection and adds the written bytes to bytesSent.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.netConn.Write(p)
	w.c.bytesSent += int64(n)
	return n, err
}

// keepAliveMargin is how long before the keep-alive timeout a connection is no
// longer reused. If the target closes it while a request is on the way, the outcome
// of the request is unknown.
const keepAliveMargin = time.Second

// maxIdle returns the longest idle time after which the connection may be reused,
// from the target's keep-alive timeout.
func (c *conn) maxIdle() time.Duration {
	if c.keepAliveTimeout == 0 {
		return time.Duration(math.MaxInt64)
	}
	return c.keepAliveTimeout - keepAliveMargin
}

// alive reports whether an idle connection is open and has no unread bytes, which
// would belong to no request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.netConn.(syscall.Conn)
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
	_ = c.netConn.Close()
}
