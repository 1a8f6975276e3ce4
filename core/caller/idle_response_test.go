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

// Guards against a connection that is closed sooner after a response than its Keep-Alive
// header says, because the idle time is counted from the request.
func TestIdleTimeCountsFromResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		slow := func(ctx context.Context, r *caller.Request) *caller.Response {
			time.Sleep(limits.IdleTimeout / 2)
			return echo(ctx, r)
		}
		s := &runningServer{caller.NewServer(slow, func() route.Limits { return limits }), p}
		go s.run()
		defer s.server.Close()
		callerSide, serverSide := net.Pipe()
		p.conns <- serverSide
		defer callerSide.Close()
		reader := bufio.NewReader(callerSide)
		for range 2 {
			_, err := fmt.Fprint(callerSide, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			time.Sleep(limits.IdleTimeout * 4 / 5)
		}
	})
}
