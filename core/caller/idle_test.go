package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/route"
)

// pipeListener is a listener for in-memory connections, which work with the virtual clock
// of a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	done   chan struct{}
	closed sync.Once
}

// Accept returns the next connection.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (p *pipeListener) Close() error {
	p.closed.Do(func() { close(p.done) })
	return nil
}

// Addr returns the address of a pipe.
func (p *pipeListener) Addr() net.Addr {
	callerSide, serverSide := net.Pipe()
	_ = serverSide.Close()
	return callerSide.LocalAddr()
}

// servePipe starts a server for a test in a bubble, and returns it with the caller's side
// of a connection.
func servePipe(t *testing.T, handle caller.Handler, limits func() route.Limits, opts ...caller.Option) (*caller.Server, net.Conn, *bufio.Reader) {
	p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	s := &runningServer{caller.NewServer(handle, limits, opts...), p}
	go s.run()
	t.Cleanup(s.server.Close)
	callerSide, serverSide := net.Pipe()
	p.conns <- serverSide
	return s.server, callerSide, bufio.NewReader(callerSide)
}

func constantLimits() route.Limits {
	return limits
}

// Guards against a connection that is closed although a request was sent before the idle
// timeout, if the request arrives late because of a congested network.
func TestRequestAtIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, callerSide, reader := servePipe(t, echo, constantLimits)
		time.Sleep(limits.IdleTimeout + 500*time.Millisecond)
		_, err := fmt.Fprint(callerSide, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(2 * limits.IdleTimeout)
		_, err = callerSide.Read(make([]byte, 1))
		g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "an idle connection is closed in the end")
	})
}
