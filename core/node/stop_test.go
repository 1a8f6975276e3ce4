package node

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

	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
)

// get sends a request on a new connection and returns the response and its body. ok is
// false if the listener is closed.
func (p *pipeListener) get(g *WithT) (resp *http.Response, body string, ok bool) {
	callerSide, serverSide := net.Pipe()
	defer callerSide.Close()
	select {
	case p.conns <- serverSide:
	case <-p.done:
		return nil, "", false
	}
	_, _ = fmt.Fprintf(callerSide, "GET /x HTTP/1.1\r\nHost: %s\r\n\r\n", stopHost)
	resp, err := http.ReadResponse(bufio.NewReader(callerSide), nil)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp, string(data), true
}

const stopHost = "shop.example"

// stopper stops a daemon.
type stopper struct {
	node *Node
	done chan struct{}
}

func (s *stopper) run() {
	_ = s.node.Stop(context.Background())
	close(s.done)
}

// Guards against a daemon that leaves while callers still have its address: it closes its
// port too early, keeps their connections, or takes requests that it cannot answer in time.
func TestStopRefusesCallersUntilTheyUseOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		settings := *n.settings.Load()
		settings.ShutdownSeconds = 6
		n.settings.Store(&settings)
		n.relay.SetTable(route.Compile(&route.Config{
			Version: 1, Services: []route.Service{{Name: "stock"}}, Limits: route.DefaultLimits,
			Hosts: []route.Host{{Name: stopHost, Routes: []route.Route{{
				Name: "all", Prefix: "/", Idempotency: route.NotIdempotent, Timeout: 10 * time.Second, MaxAttempts: 1,
				Split: []route.WeightedService{{Service: "stock", Weight: 1}},
			}}}},
		}))
		n.initialized.set()
		g.Expect(n.Ready()).To(BeTrue())
		p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		callers := &callerListener{n, p}
		go callers.run()
		began := time.Now()
		s := &stopper{n, make(chan struct{})}
		go s.run()
		synctest.Wait()
		g.Expect(n.Ready()).To(BeFalse())
		for time.Since(began) < lookupDrainTime {
			n.roster.RecordHeartbeat(time.Now(), roster.Member{VM: "peer", DataCentre: "a", StartMillis: 1}, roster.Status{Ready: true}, nil)
			resp, body, ok := p.get(g)
			g.Expect(ok).To(BeTrue(), "the port closes %s after the signal", time.Since(began))
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(body).To(Equal("leaving\n"))
			g.Expect(resp.Header.Get("Retry-After")).To(Equal("0"))
			g.Expect(resp.Close).To(BeTrue())
			time.Sleep(300 * time.Millisecond)
		}
		<-s.done
		g.Expect(time.Since(began)).To(BeNumerically("<", lookupDrainTime+time.Second))
	})
}
