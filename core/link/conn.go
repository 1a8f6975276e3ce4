package link

import (
	"bufio"
	"bytes"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes is the maximum size of a response head, so that a target cannot exhaust
// the memory with a head without end.
const maxHeadBytes = 64 << 10

// maxHeadLines is the maximum number of lines of a response head. In memory, a field
// takes about 100 bytes in addition to its text, so that 64 KiB of short lines would
// take more than 1 MiB.
const maxHeadLines = 256

const bufferSize = 4 << 10

var (
	errHeadTooLarge     = errors.New("response head is larger than 64 KiB")
	errTooManyHeadLines = errors.New("response head has more than 256 lines")
)

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
}

func newConn(n net.Conn) *conn {
	c := &conn{netConn: n}
	c.reader = bufio.NewReaderSize(limitedReader{c}, bufferSize)
	c.writer = bufio.NewWriterSize(countingWriter{c}, bufferSize)
	return c
}

// limitedReader reads from the connection and applies the limits on response heads.
type limitedReader struct{ c *conn }

// Read fails once a response head exceeds a limit. It reads ahead of the head, so the
// limits are checked when more of the head is needed.
func (r limitedReader) Read(p []byte) (int, error) {
	if !r.c.readingHead {
		return r.c.netConn.Read(p)
	}
	if r.c.headBytesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	if r.c.headLinesLeft < 0 {
		return 0, errTooManyHeadLines
	}
	n, err := r.c.netConn.Read(p[:min(int64(len(p)), r.c.headBytesLeft)])
	r.c.headBytesLeft -= int64(n)
	r.c.headLinesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
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
