package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/sched"
)

// Guards against a request that reaches a target after it has left: it was chosen
// before, and the connection takes time to open.
func TestRequestIsNotSentToTargetRemovedWhileDialling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaving, other := &largeTarget{}, &largeTarget{}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == "10.0.0.1:80" {
				time.Sleep(200 * time.Millisecond)
				return leaving.dial(ctx, network, address)
			}
			return other.dial(ctx, network, address)
		}
		r := leaving.newRelay(relay.WithLinkOptions(link.WithDial(dial)))
		r.SetTargets(map[string][]sched.Target{"archive": {{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: 6}}})
		removal := time.AfterFunc(100*time.Millisecond, func() {
			r.SetTargets(map[string][]sched.Target{"archive": {{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: 6}}})
		})
		defer removal.Stop()
		resp := sendRequest(t.Context(), r)
		g.Expect(resp.Status).To(Equal(http.StatusOK))
		_, err := readAll(g, resp)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(leaving.requestCount()).To(BeZero())
		g.Expect(other.requestCount()).To(Equal(1))
		r.SetTargets(nil)
	})
}

// timedTarget is a target that takes a while for each request and remembers when the
// last one arrived.
type timedTarget struct {
	target sched.Target

	mu       sync.Mutex
	requests int
	lastAt   time.Time
}

// processingTime is how long a timedTarget takes for each request.
const processingTime = 100 * time.Millisecond

// run serves the requests of one connection.
func (a *timedTarget) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		a.mu.Lock()
		a.requests++
		a.lastAt = time.Now()
		a.mu.Unlock()
		time.Sleep(processingTime)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: r\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	}
}

// last returns the number of requests and when the last one arrived.
func (a *timedTarget) last() (requests int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests, a.lastAt
}

// timedTargets are the targets of a service by address.
type timedTargets map[string]*timedTarget

func (s timedTargets) dial(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	a := s[address]
	go a.run(server)
	return client, nil
}

// steadyCaller sends one request after the other until its context ends.
type steadyCaller struct {
	relay *relay.Relay
	done  *sync.WaitGroup
}

func (c *steadyCaller) run(ctx context.Context) {
	defer c.done.Done()
	for ctx.Err() == nil {
		resp := sendRequest(ctx, c.relay)
		if resp.Release != nil {
			resp.Release()
		}
		time.Sleep(time.Millisecond)
	}
}

// Load pattern: more callers than the targets have slots for, while targets leave one
// after the other and stay up. Guards against requests that reach them after that.
func TestOverloadedServiceSendsNothingToRemovedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const targetCount, callerCount = 6, 60
		byAddress := timedTargets{}
		var targets []sched.Target
		for i := range targetCount {
			target := sched.Target{Key: sched.Key{ID: fmt.Sprint("t", i), StartMillis: 1}, Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: "a", Slots: 2}
			targets = append(targets, target)
			byAddress[target.Address] = &timedTarget{target: target}
		}
		r := (&largeTarget{}).newRelay(relay.WithLinkOptions(link.WithDial(byAddress.dial)))
		r.SetTargets(map[string][]sched.Target{"archive": targets})
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Add(callerCount)
		for range callerCount {
			c := &steadyCaller{relay: r, done: &done}
			go c.run(ctx)
		}
		removedAt := map[string]time.Time{}
		for len(targets) > 2 {
			time.Sleep(1003 * time.Millisecond)
			removedAt[targets[0].Address] = time.Now()
			targets = targets[1:]
			r.SetTargets(map[string][]sched.Target{"archive": targets})
		}
		time.Sleep(3 * time.Second)
		cancel()
		done.Wait()
		for address, at := range removedAt {
			requests, last := byAddress[address].last()
			g.Expect(requests).To(BeNumerically(">", 10))
			g.Expect(last).To(BeTemporally("<=", at), address)
		}
		r.SetTargets(nil)
		time.Sleep(2 * processingTime)
	})
}
