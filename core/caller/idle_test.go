package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/route"
)

// pipes is a listener whose connections are in memory, so that their time can be
// that of a test.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept returns the next connection.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (p *pipes) Close() error {
	close(p.done)
	return nil
}

// Addr returns the address of a pipe.
func (p *pipes) Addr() net.Addr {
	near, far := net.Pipe()
	_ = far.Close()
	return near.LocalAddr()
}

// Guards against a request that was sent within the idle limit, but came late on a
// crowded link, and met the close of its connection.
func TestRequestThatCrossesTheIdleLimitIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &pipes{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &serving{caller.NewServer(echo, func() route.Limits { return limits }), p}
		go s.run()
		near, far := net.Pipe()
		p.conns <- far
		time.Sleep(limits.IdleTimeout + 500*time.Millisecond)
		_, err := fmt.Fprint(near, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(2 * limits.IdleTimeout)
		_, err = near.Read(make([]byte, 1))
		g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "an idle connection is closed in the end")
		s.server.Close()
	})
}
