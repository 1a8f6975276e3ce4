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

// preparation makes a daemon ready after a while.
type preparation struct {
	node  *Node
	after time.Duration
}

func (p *preparation) run() {
	time.Sleep(p.after)
	p.node.relay.SetTable(route.Compile(&route.Config{Version: 1}))
	p.node.refresh()
}

func answerAt(n *Node, after time.Duration) (status int, took time.Duration) {
	time.Sleep(after)
	began := time.Now()
	a := n.handle(context.Background(), &caller.Request{Method: http.MethodGet, Target: "/x", Header: http.Header{}, Received: began})
	return a.Status, time.Since(began)
}

// Load pattern: callers are back before the first daemon is ready again. Guards
// against refusing those who come a moment too early, and against holding requests
// for a daemon that nobody can say will be ready.
func TestRequestsWaitForADaemonThatStarts(t *testing.T) {
	for name, c := range map[string]struct {
		// ready is when the daemon becomes ready, request when the request comes.
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
				n := newFollower(g, strong, &operators{begin: time.Now()})
				defer n.conn.Close()
				p := &preparation{node: n, after: c.ready}
				go p.run()
				status, took := answerAt(n, c.request)
				g.Expect(status).To(Equal(c.status))
				g.Expect(took).To(BeNumerically("<=", c.within))
				time.Sleep(10 * time.Second)
			})
		})
	}
}
