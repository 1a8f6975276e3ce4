package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/route"
)

// changingLimits are limits that a configuration changes.
type changingLimits struct{ current atomic.Pointer[route.Limits] }

func (c *changingLimits) set(change func(l *route.Limits)) {
	l := limits
	change(&l)
	c.current.Store(&l)
}

func (c *changingLimits) get() route.Limits {
	return *c.current.Load()
}

// startWithChangingLimits starts an echo server whose limits change, and returns the
// caller's side of a connection.
func startWithChangingLimits(t *testing.T) (*changingLimits, net.Conn, *bufio.Reader) {
	c := &changingLimits{}
	c.set(func(*route.Limits) {})
	_, conn, reader := servePipe(t, echo, c.get)
	return c, conn, reader
}

// Guards against a request on a kept connection to which limits apply that were in force
// while the connection waited for it.
func TestLimitsInForceApplyToKeptConnection(t *testing.T) {
	body := strings.Repeat("x", 2*int(limits.BodyBytes))
	head := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*limits.HeaderBytes) + "\r\n\r\n"
	cases := map[string]struct {
		change  func(l *route.Limits)
		request string
	}{
		"body":   {func(l *route.Limits) { l.BodyBytes *= 4 }, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)},
		"chunks": {func(l *route.Limits) { l.BodyBytes *= 4 }, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		"head":   {func(l *route.Limits) { l.HeaderBytes *= 4 }, head},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l, conn, r := startWithChangingLimits(t)
				sendGet(conn, "/1")
				readResponse(g, r)
				synctest.Wait()
				l.set(c.change)
				_, err := fmt.Fprint(conn, c.request)
				g.Expect(err).NotTo(HaveOccurred())
				resp, _ := readResponse(g, r)
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			})
		})
	}
}

// Guards against a body that is cut off at a limit that was raised while it arrived.
func TestRaisedLimitAppliesToArrivingBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l, conn, r := startWithChangingLimits(t)
		body := strings.Repeat("x", int(limits.BodyBytes)/2)
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		synctest.Wait()
		l.set(func(l *route.Limits) { l.BodyBytes *= 4 })
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", 2*len(body), body+body)
		resp, _ := readResponse(g, r)
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
}

// Guards against an idle connection that is closed at a timeout that was raised since its
// last request, as its caller goes by the new one.
func TestRaisedIdleTimeoutAppliesToIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l, conn, r := startWithChangingLimits(t)
		sendGet(conn, "/1")
		readResponse(g, r)
		time.Sleep(limits.IdleTimeout / 2)
		l.set(func(l *route.Limits) { l.IdleTimeout *= 4 })
		time.Sleep(2 * limits.IdleTimeout)
		sendGet(conn, "/2")
		resp, _ := readResponse(g, r)
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
}
