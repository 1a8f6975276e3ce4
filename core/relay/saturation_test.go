package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

// crowd is a service whose targets refuse all requests while they are full.
type crowd struct {
	mu sync.Mutex
	// full holds the addresses of the targets that are full.
	full     map[string]bool
	arrivals map[string]int
	// slow is the id of a request that is accepted and takes a second.
	slow string
	// servedEvery is the number of requests of which full targets serve one; 0 if they serve
	// none.
	servedEvery int
	refused     int
}

func (c *crowd) dial(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	conn := &crowdConn{crowd: c, address: address, conn: server}
	go conn.run()
	return client, nil
}

func (c *crowd) setFull(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full = map[string]bool{}
	for _, a := range addresses {
		c.full[a] = true
	}
}

// arrive records the arrival of a request at a target. It reports whether it is refused
// and how long it takes otherwise.
func (c *crowd) arrive(address, id string) (refused bool, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[id]++
	if id == c.slow {
		return false, time.Second
	}
	refused = c.full[address]
	if refused {
		c.refused++
		refused = c.servedEvery == 0 || c.refused%c.servedEvery != 0
	}
	return refused, 20 * time.Millisecond
}

func (c *crowd) arrivalsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// crowdConn is a connection to a target of a crowd.
type crowdConn struct {
	crowd   *crowd
	address string
	conn    net.Conn
}

func (c *crowdConn) run() {
	defer c.conn.Close()
	r := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		refused, length := c.crowd.arrive(c.address, id)
		if refused {
			_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		time.Sleep(length)
		_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: r\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

const crowdSize = 8

func crowdAddress(n int) string {
	return fmt.Sprintf("10.0.0.%d:80", n+1)
}

func allAddresses() []string {
	var out []string
	for n := range crowdSize {
		out = append(out, crowdAddress(n))
	}
	return out
}

// newCrowd returns a service and a relay in front of it.
func newCrowd(idempotency route.Idempotency) (*crowd, *relay.Relay) {
	c := &crowd{arrivals: map[string]int{}}
	r := relay.New("a", headerNames, relay.WithLinkOptions(link.WithDial(c.dial)), relay.WithRetryBudget(relay.RetryBudget{Span: 10 * time.Second, Ratio: 2, Slack: 20}))
	r.SetTable(route.Compile(&route.Config{
		Version:  1,
		Services: []route.Service{{Name: "orders"}},
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "all", Prefix: "/", Idempotency: idempotency, Timeout: 4 * time.Second, Objective: time.Second, MaxAttempts: 4,
			Split: []route.WeightedService{{Service: "orders", Weight: 1}},
		}}}},
	}))
	var list []sched.Target
	for n := range crowdSize {
		list = append(list, sched.Target{Key: sched.Key{ID: fmt.Sprintf("t%d", n), StartMillis: 1}, Address: crowdAddress(n), DataCentre: "a", Slots: 6})
	}
	r.SetTargets(map[string][]sched.Target{"orders": list})
	r.SetBudgetAllocation("orders", retry.Allocation{SlackFraction: 1})
	return c, r
}

// crowdResult is the response to one request and the time that it took.
type crowdResult struct {
	id   string
	resp *caller.Response
	took time.Duration
}

// sendToCrowd sends requests at 100 per second and returns the results.
func sendToCrowd(ctx context.Context, r *relay.Relay, name string, count int) []crowdResult {
	results := make([]crowdResult, count)
	var all sync.WaitGroup
	for n := range count {
		time.Sleep(10 * time.Millisecond)
		all.Go(func() {
			begin := time.Now()
			id := fmt.Sprintf("%s-%d", name, n)
			resp := r.Handle(ctx, &caller.Request{
				Method: http.MethodPost, RequestURI: "/1", Host: host, ReceivedAt: begin, Header: http.Header{"Id": {id}},
			})
			results[n] = crowdResult{id: id, resp: resp, took: time.Since(begin)}
		})
	}
	all.Wait()
	return results
}

// Guards against requests of a saturated service that use up the retry budget and the time
// of its targets with attempts that are refused, and against requests to single full
// targets that are not sent to another one.
func TestNoImmediateAttemptsAtSaturatedService(t *testing.T) {
	for name, idempotency := range map[string]route.Idempotency{"idempotent": route.Idempotent, "non-idempotent": route.NotIdempotent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c, r := newCrowd(idempotency)
				defer r.SetTargets(nil)

				c.setFull(crowdAddress(0), crowdAddress(1))
				for _, result := range sendToCrowd(t.Context(), r, "some", 300) {
					g.Expect(result.resp.Status).To(Equal(http.StatusOK))
					g.Expect(result.took).To(BeNumerically("<", 100*time.Millisecond), "sent to another target at once")
				}

				c.setFull(allAddresses()...)
				sendToCrowd(t.Context(), r, "begin", 200)
				extra := 0
				for _, result := range sendToCrowd(t.Context(), r, "all", 300) {
					extra += c.arrivalsOf(result.id) - 1
					g.Expect(result.resp.Status).To(Equal(http.StatusServiceUnavailable))
					g.Expect(result.took).To(BeNumerically("<", 1100*time.Millisecond))
					wait, err := strconv.ParseFloat(result.resp.Header.Get("Retry-After"), 64)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(wait).To(BeNumerically(">", 0))
				}
				t.Logf("%d extra attempts for 300 requests", extra)
				g.Expect(extra).To(BeNumerically("<=", 15), "only at targets that got no request for a while")

				c.setFull()
				for _, result := range sendToCrowd(t.Context(), r, "none", 100) {
					g.Expect(result.resp.Status).To(Equal(http.StatusOK))
				}
			})
		})
	}
}

// Guards against requests that are refused although the saturation of their service ends
// while they could wait for it.
func TestRequestWaitsForEndOfSaturation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, r := newCrowd(route.Idempotent)
		defer r.SetTargets(nil)
		c.setFull(allAddresses()...)
		sendToCrowd(t.Context(), r, "begin", 300)
		var waiting sync.WaitGroup
		var results []crowdResult
		waiting.Go(func() { results = sendToCrowd(t.Context(), r, "last", 5) })
		time.Sleep(60 * time.Millisecond)
		c.setFull()
		sendToCrowd(t.Context(), r, "after", 100)
		waiting.Wait()
		served := 0
		for _, result := range results {
			if result.resp.Status == http.StatusOK {
				served++
				g.Expect(c.arrivalsOf(result.id)).To(Equal(2))
			}
		}
		g.Expect(served).To(BeNumerically(">=", 3))
	})
}

// Guards against hedged attempts that a saturated service refuses, also while the budget
// is not scarce and refused requests are sent again. A slow request is hedged while the
// service is not saturated.
func TestNoHedgedAttemptsAtSaturatedService(t *testing.T) {
	for name, full := range map[string][]string{"saturated": allAddresses(), "not saturated": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c, r := newCrowd(route.Idempotent)
				defer r.SetTargets(nil)
				c.slow, c.servedEvery = "slow-0", 4
				r.SetRetryBudget(relay.RetryBudget{Span: 10 * time.Second, Ratio: 2, Slack: 100_000})
				sendToCrowd(t.Context(), r, "begin", 200)
				c.setFull(full...)
				sendToCrowd(t.Context(), r, "middle", 200)
				var slow sync.WaitGroup
				slow.Go(func() { sendToCrowd(t.Context(), r, "slow", 1) })
				sendToCrowd(t.Context(), r, "end", 200)
				slow.Wait()
				if full != nil {
					g.Expect(c.arrivalsOf(c.slow)).To(Equal(1))
				} else {
					g.Expect(c.arrivalsOf(c.slow)).To(BeNumerically(">", 1))
				}
			})
		})
	}
}

// Guards against a request that waits for the end of saturation although its caller has
// gone or the daemon shuts down.
func TestWaitForEndOfSaturationIsCutShort(t *testing.T) {
	for name, end := range map[string]func(r *relay.Relay, cancel func()){
		"caller gone": func(_ *relay.Relay, cancel func()) { cancel() },
		"shutdown": func(r *relay.Relay, _ func()) {
			r.BeginShutdown(relay.ShutdownPlan{End: time.Now().Add(time.Second), ShortenUntil: time.Now(), PeerReady: func() bool { return true }})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c, r := newCrowd(route.Idempotent)
				defer r.SetTargets(nil)
				c.setFull(allAddresses()...)
				sendToCrowd(t.Context(), r, "begin", 300)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var waiting sync.WaitGroup
				var results []crowdResult
				waiting.Go(func() { results = sendToCrowd(ctx, r, "last", 1) })
				time.Sleep(40 * time.Millisecond)
				g.Expect(c.arrivalsOf("last-0")).To(Equal(1))
				end(r, cancel)
				waiting.Wait()
				g.Expect(results[0].took).To(BeNumerically("<", 45*time.Millisecond))
				g.Expect(c.arrivalsOf("last-0")).To(Equal(1))
			})
		})
	}
}
