package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/route"
)

// Guards against a caller that is told that its request is malformed because the end of a
// header line did not arrive in time.
func TestSlowHeadIsNotMalformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &runningServer{caller.NewServer(echo, func() route.Limits { return limits }), p}
		go s.run()
		defer s.server.Close()
		callerSide, serverSide := net.Pipe()
		p.conns <- serverSide
		_, _ = fmt.Fprint(callerSide, "GET / HTTP/1.1\r\nHos")
		resp, _ := readResponse(g, bufio.NewReader(callerSide))
		g.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	})
}
