package caller_test

import (
	"bufio"
	"context"
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

func sendGet(conn net.Conn, path string) {
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
}

// Guards against a connection that stays open until the idle timeout after a response that
// says that it closes: the reader renewed its deadline while the writer still counted the
// request as pending.
func TestConnectionClosesAfterFinalResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		release := make(chan struct{})
		handle := func(context.Context, *caller.Request) *caller.Response {
			<-release
			resp := caller.TextResponse(http.StatusOK, "")
			resp.Release = func() { time.Sleep(time.Millisecond) }
			return resp
		}
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &runningServer{caller.NewServer(handle, func() route.Limits { return limits }), p}
		go s.run()
		defer s.server.Close()
		callerSide, serverSide := net.Pipe()
		p.conns <- serverSide
		reader := bufio.NewReader(callerSide)
		sendGet(callerSide, "/")
		synctest.Wait()
		s.server.Drain()
		close(release)
		resp, _ := readResponse(g, reader)
		g.Expect(resp.Close).To(BeTrue())
		began := time.Now()
		_, err := reader.ReadByte()
		g.Expect(err).To(MatchError(io.EOF))
		g.Expect(time.Since(began)).To(BeNumerically("<", limits.IdleTimeout))
	})
}
