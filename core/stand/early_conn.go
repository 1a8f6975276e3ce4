package stand

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

// EarlyEnd is how an [EarlyConn] ends.
type EarlyEnd int

const (
	// ResetWriteFirst gives the error of a reset to the write, before the end of the stream
	// is read.
	ResetWriteFirst EarlyEnd = iota
	// ResetReadFirst gives the error of a reset to the write, but the end of the stream is
	// read before the write returns. It needs a bubble of synctest.
	ResetReadFirst
	// Unread ends the stream and blocks the write until the deadline is set.
	Unread
)

// EarlyConn is a connection whose peer sends a response and the end of the stream while the
// request is being sent.
type EarlyConn struct {
	net.Conn
	// WriteEnded is closed when the write of the rest of the request has failed.
	WriteEnded chan struct{}

	response *strings.Reader
	end      EarlyEnd
	// begun is closed when the first bytes are written, writing when the next ones are.
	begun, writing     chan struct{}
	streamEnd, aborted chan struct{}
}

// NewEarlyConn returns a connection with the response that ends as given.
func NewEarlyConn(response string, end EarlyEnd) *EarlyConn {
	return &EarlyConn{
		WriteEnded: make(chan struct{}), response: strings.NewReader(response), end: end,
		begun: make(chan struct{}), writing: make(chan struct{}), streamEnd: make(chan struct{}), aborted: make(chan struct{}),
	}
}

// Read reads the response and then the end of the stream.
func (c *EarlyConn) Read(p []byte) (int, error) {
	<-c.begun
	if c.response.Len() > 0 {
		return c.response.Read(p)
	}
	<-c.writing
	if c.end == ResetWriteFirst {
		<-c.WriteEnded
	}
	closeOnce(c.streamEnd)
	return 0, io.EOF
}

// Write accepts the first bytes and fails at the next ones.
func (c *EarlyConn) Write(p []byte) (int, error) {
	if closeOnce(c.begun) {
		return len(p), nil
	}
	closeOnce(c.writing)
	defer closeOnce(c.WriteEnded)
	switch c.end {
	case ResetReadFirst:
		<-c.streamEnd
		sleep(context.Background(), time.Second) // Until nothing else can go on.
	case Unread:
		<-c.aborted
		return 0, os.ErrDeadlineExceeded
	}
	return 0, syscall.ECONNRESET
}

// SetDeadline makes a blocked write fail.
func (c *EarlyConn) SetDeadline(time.Time) error {
	closeOnce(c.aborted)
	return nil
}

// Close does nothing.
func (c *EarlyConn) Close() error { return nil }

// closeOnce closes a channel and reports whether it was open. Only one goroutine may close
// the channel.
func closeOnce(c chan struct{}) bool {
	select {
	case <-c:
		return false
	default:
		close(c)
		return true
	}
}
