package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/sched"
)

// routeTimeout is the timeout of the route that largeTarget's relay has.
const routeTimeout = 4 * time.Second

// workingTarget takes some time for each request, and remembers the time limits that the
// requests had.
type workingTarget struct {
	work time.Duration

	mu     sync.Mutex
	limits []time.Duration
}

func (w *workingTarget) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &workingConn{w, server}
	go c.run()
	return client, nil
}

// workingConn is a connection to a workingTarget.
type workingConn struct {
	target *workingTarget
	conn   net.Conn
}

func (c *workingConn) run() {
	defer c.conn.Close()
	r := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		millis, _ := strconv.Atoi(req.Header.Get("Deadline"))
		c.target.mu.Lock()
		c.target.limits = append(c.target.limits, time.Duration(millis)*time.Millisecond)
		c.target.mu.Unlock()
		time.Sleep(c.target.work)
		_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: r\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	}
}

func (w *workingTarget) requestLimits() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Duration(nil), w.limits...)
}

// newRelay returns a relay with the target, which has one slot.
func (w *workingTarget) newRelay() *relay.Relay {
	r := (&largeTarget{}).newRelay(relay.WithLinkOptions(link.WithDial(w.dial)))
	r.SetTargets(map[string][]sched.Target{"archive": {{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: firstAddress, DataCentre: "a", Slots: 1}}})
	return r
}

// shutdownIn returns the plan of a shutdown.
func shutdownIn(end, shortenFor time.Duration, peerReady bool) relay.ShutdownPlan {
	now := time.Now()
	return relay.ShutdownPlan{End: now.Add(end), ShortenUntil: now.Add(shortenFor), PeerReady: func() bool { return peerReady }}
}

// timedSender sends one request and records its response and how long that took.
type timedSender struct {
	relay *relay.Relay
	id    string
	limit time.Duration

	response *caller.Response
	took     time.Duration
	done     chan struct{}
}

func startSender(r *relay.Relay, id string, limit time.Duration) *timedSender {
	s := &timedSender{relay: r, id: id, limit: limit, done: make(chan struct{})}
	go s.run()
	synctest.Wait()
	return s
}

func (s *timedSender) run() {
	defer close(s.done)
	began := time.Now()
	s.response = s.relay.Handle(context.Background(), &caller.Request{
		Method: http.MethodGet, RequestURI: "/1", Host: host, ReceivedAt: began,
		Header: http.Header{"Id": {s.id}, "Deadline": {strconv.FormatInt(s.limit.Milliseconds(), 10)}},
	})
	s.took = time.Since(began)
}

// Guards against a request that is sent to a target although the daemon may end before it
// has the answer, and that is then cut off.
func TestRequestThatMayOutlastShutdownIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &workingTarget{work: 100 * time.Millisecond}
		r := target.newRelay()
		defer r.SetTargets(nil)
		r.BeginShutdown(shutdownIn(3*time.Second, 0, true))
		early := startSender(r, "early", 2*time.Second)
		<-early.done
		g.Expect(early.response.Status).To(Equal(http.StatusOK))
		late := startSender(r, "late", 3*time.Second)
		<-late.done
		g.Expect(late.response.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(late.response.Header.Get("Retry-After")).To(Equal("0"), "another daemon can take it")
		g.Expect(late.took).To(BeZero())
		g.Expect(target.requestLimits()).To(HaveLen(1))
	})
}

// Guards against a request that waits for a target while the daemon shuts down, is sent
// late and cut off; it has most time left for another daemon if it is refused at once.
func TestWaitingRequestIsRefusedWhenShutdownBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &workingTarget{work: time.Second}
		r := target.newRelay()
		defer r.SetTargets(nil)
		var senders []*timedSender
		for i := range 6 {
			senders = append(senders, startSender(r, fmt.Sprint(i), routeTimeout))
		}
		sent := len(target.requestLimits())
		g.Expect(sent).To(BeNumerically("<", len(senders)))
		time.Sleep(100 * time.Millisecond)
		r.BeginShutdown(shutdownIn(3*time.Second, 0, true))
		refused := 0
		for _, s := range senders {
			<-s.done
			if s.response.Status == http.StatusServiceUnavailable {
				refused++
				g.Expect(s.took).To(Equal(100 * time.Millisecond))
				continue
			}
			g.Expect(s.response.Status).To(Equal(http.StatusOK))
		}
		g.Expect(refused).To(Equal(len(senders) - sent))
		g.Expect(target.requestLimits()).To(HaveLen(sent))
	})
}

// Guards against a request that is refused although no other daemon can serve it, and
// against one that is sent without the earlier end as its time limit.
func TestRequestIsServedForAShorterTimeWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &workingTarget{work: 100 * time.Millisecond}
		r := target.newRelay()
		defer r.SetTargets(nil)
		r.BeginShutdown(shutdownIn(3*time.Second, time.Second, false))
		early := startSender(r, "early", routeTimeout)
		<-early.done
		g.Expect(early.response.Status).To(Equal(http.StatusOK))
		g.Expect(target.requestLimits()).To(Equal([]time.Duration{3 * time.Second}))
		time.Sleep(time.Second)
		late := startSender(r, "late", routeTimeout)
		<-late.done
		g.Expect(late.response.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(late.response.Header.Get("Retry-After")).NotTo(Equal("0"), "no other daemon can take it now")
		g.Expect(target.requestLimits()).To(HaveLen(1))
	})
}

// Guards against a request that was sent before the shutdown began, whose target does not
// answer, and whose caller is told nothing because the daemon ends first.
func TestRequestInProgressIsAnsweredAtTheEndOfTheShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &workingTarget{work: time.Minute}
		r := target.newRelay()
		defer r.SetTargets(nil)
		s := startSender(r, "sent", routeTimeout)
		g.Expect(target.requestLimits()).To(HaveLen(1))
		r.BeginShutdown(shutdownIn(2*time.Second, 0, true))
		<-s.done
		g.Expect(s.response.Status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(s.took).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<", 2500*time.Millisecond)))
		time.Sleep(time.Minute)
	})
}

// Guards against a second attempt that begins during a shutdown and cannot end before it.
func TestFailedRequestIsNotRetriedBeyondShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var r *relay.Relay
		targets, r := newTalkingTargets(func(string) (int, string) {
			r.BeginShutdown(shutdownIn(time.Second, 0, true))
			return http.StatusServiceUnavailable, "Not-Run: 1\r\n"
		})
		defer r.SetTargets(nil)
		s := startSender(r, "refused", routeTimeout)
		<-s.done
		g.Expect(s.response.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(s.response.Header.Get("Retry-After")).To(Equal("0"))
		g.Expect(targets.count(firstAddress) + targets.count(secondAddress)).To(Equal(1))
	})
}
