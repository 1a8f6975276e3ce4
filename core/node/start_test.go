package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/route"
)

// delayedInit makes a daemon ready after a delay.
type delayedInit struct {
	node  *Node
	delay time.Duration
}

func (i *delayedInit) run() {
	time.Sleep(i.delay)
	i.node.relay.SetTable(route.Compile(&route.Config{Version: 1}))
	i.node.refresh()
}

func handleAfter(n *Node, delay time.Duration) (status int, took time.Duration) {
	time.Sleep(delay)
	began := time.Now()
	a := n.handle(context.Background(), &caller.Request{Method: http.MethodGet, RequestURI: "/x", Header: http.Header{}, ReceivedAt: began})
	return a.Status, time.Since(began)
}

// Guards against refusing callers that are back just before the first daemon is
// ready again, and against holding requests when nobody can tell when the daemon
// will be ready.
func TestRequestsWaitForStartingDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		// ready is when the daemon becomes ready, request when the request arrives.
		ready, request time.Duration
		status         int
		within         time.Duration
	}{
		"ready soon":  {300 * time.Millisecond, 0, http.StatusNotFound, 300 * time.Millisecond},
		"not ready":   {2 * time.Second, 0, http.StatusServiceUnavailable, time.Second},
		"after start": {10 * time.Second, 5 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newTestNode(g, highShare, &configWriter{start: time.Now()})
				defer n.gossipConn.Close()
				delayed := &delayedInit{node: n, delay: c.ready}
				go delayed.run()
				status, took := handleAfter(n, c.request)
				g.Expect(status).To(Equal(c.status))
				g.Expect(took).To(BeNumerically("<=", c.within))
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against requests that wait for a daemon that leaves before it is ready.
func TestLeavingDaemonHoldsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		n.leaving.Store(true)
		status, took := handleAfter(n, 0)
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(took).To(BeZero())
	})
}
