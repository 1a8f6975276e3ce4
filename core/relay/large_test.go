package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

const (
	largeBytes = 80 << 10
	host       = "shop.example"
)

var headerNames = relay.Headers{RequestID: "Id", Deadline: "Deadline", ResponseSeal: "Receipt", ExpectInstance: "Expect-Instance", NotRun: "Not-Run", Leaving: "Leaving"}

// largeTarget is a target with large responses, reached over in-memory pipes.
type largeTarget struct {
	// pause is the time between the header of a response and its body.
	pause time.Duration
	// broken is set if responses end after half of their bytes.
	broken bool
	// length is the declared Content-Length; 0 stands for the length of the body.
	length int64

	mu       sync.Mutex
	requests int
}

func (a *largeTarget) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go a.run(server)
	return client, nil
}

// run serves the requests of one connection.
func (a *largeTarget) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		a.mu.Lock()
		a.requests++
		a.mu.Unlock()
		length := a.length
		if length == 0 {
			length = largeBytes
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: r\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Id"), length)
		time.Sleep(a.pause)
		body := strings.Repeat("a", largeBytes)
		if a.broken {
			_, _ = io.WriteString(c, body[:largeBytes/2])
			return
		}
		if _, err := io.WriteString(c, body); err != nil {
			return
		}
	}
}

// requestCount returns the number of requests received.
func (a *largeTarget) requestCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// newRelay returns a relay with two targets that are both served by a.
func (a *largeTarget) newRelay(opts ...relay.Option) *relay.Relay {
	r := relay.New("a", headerNames, append([]relay.Option{relay.WithLinkOptions(link.WithDial(a.dial)), relay.WithRetryBudget(relay.RetryBudget{Span: 10 * time.Second, Ratio: 6})}, opts...)...)
	c := &route.Config{
		Version:  1,
		Services: []route.Service{{Name: "archive"}},
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "pull", Prefix: "/", Idempotency: route.Idempotent, Timeout: 4 * time.Second, Objective: time.Second, MaxAttempts: 3,
			Split: []route.WeightedService{{Service: "archive", Weight: 1}},
		}}}},
	}
	r.SetTable(route.Compile(c))
	r.SetTargets(map[string][]sched.Target{"archive": {
		{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: 6},
		{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: 6},
	}})
	return r
}

// sendRequest sends a request through the relay and returns the response to the caller.
func sendRequest(ctx context.Context, r *relay.Relay) *caller.Response {
	return r.Handle(ctx, &caller.Request{
		Method: http.MethodGet, RequestURI: "/1", Host: host, ReceivedAt: time.Now(),
		Header: http.Header{"Id": {"own"}},
	})
}

// readAll reads a response as its caller does, releases it and returns its length.
func readAll(g *WithT, a *caller.Response) (int, error) {
	defer a.Release()
	if a.UnreadBody == nil {
		return len(a.Body), nil
	}
	defer a.UnreadBody.Close()
	rest, err := io.ReadAll(a.UnreadBody)
	return len(a.Body) + len(rest), err
}

// Guards against memory that grows with the number of callers that read large responses
// slowly, and against responses that are refused or truncated for lack of memory.
func TestResponsesBeyondMemoryQuotaAreStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{}
		r := a.newRelay(relay.WithResponseMemory(largeBytes + 1))
		first, second := sendRequest(t.Context(), r), sendRequest(t.Context(), r)
		g.Expect(first.UnreadBody).To(BeNil())
		g.Expect(second.UnreadBody).NotTo(BeNil())
		for _, answer := range []*caller.Response{second, first} {
			size, err := readAll(g, answer)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(size).To(Equal(largeBytes))
		}
		third := sendRequest(t.Context(), r)
		g.Expect(third.UnreadBody).To(BeNil(), "the memory was released")
		_, _ = readAll(g, third)
		r.SetTargets(nil)
	})
}

// Guards against a response that its target cuts off because the caller reads slowly,
// although memory to buffer it became available meanwhile.
func TestStreamedResponseIsBufferedOnceMemoryIsAvailable(t *testing.T) {
	for name, broken := range map[string]bool{"whole": false, "truncated": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := &largeTarget{}
				b := memory.New(memory.Limits{Buffer: largeBytes + largeBytes/2, Admit: 1 << 20, Total: 1 << 20})
				r := a.newRelay(relay.WithMemory(b))
				defer r.SetTargets(nil)
				first := sendRequest(t.Context(), r)
				g.Expect(first.UnreadBody).To(BeNil())
				a.broken = broken
				second := sendRequest(t.Context(), r)
				g.Expect(second.UnreadBody).NotTo(BeNil())
				time.Sleep(time.Second)
				g.Expect(ownLoad(r)).To(Equal(1), "the target waits for the caller")
				_, _ = readAll(g, first)
				time.Sleep(time.Second)
				g.Expect(ownLoad(r)).To(BeZero(), "the target is done, the caller has read nothing")
				size, err := readAll(g, second)
				if broken {
					g.Expect(err).To(HaveOccurred())
				} else {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(size).To(Equal(largeBytes))
				}
				g.Expect(b.Held(memory.Responses)).To(BeZero())
			})
		})
	}
}

// Guards against a stream whose buffering goes on, and keeps its memory, after its caller
// has left.
func TestBufferingOfStreamEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{length: 2 * largeBytes, pause: 5 * time.Second}
		b := memory.New(memory.Limits{Buffer: largeBytes, Admit: 1 << 20, Total: 1 << 20})
		r := a.newRelay(relay.WithMemory(b))
		defer r.SetTargets(nil)
		resp := sendRequest(t.Context(), r)
		g.Expect(resp.UnreadBody).NotTo(BeNil())
		b.Release(memory.Responses, 2*largeBytes) // Memory becomes available.
		time.Sleep(time.Second)
		g.Expect(b.Held(memory.Responses)).To(BeNumerically(">", 0), "the rest is being read")
		began := time.Now()
		_ = resp.UnreadBody.Close()
		resp.Release()
		g.Expect(time.Since(began)).To(BeZero())
		b.Add(memory.Responses, 2*largeBytes)
		g.Expect(b.Held(memory.Responses)).To(BeZero())
		g.Expect(ownLoad(r)).To(BeZero())
		time.Sleep(a.pause) // until the goroutine of the target has ended
	})
}

// ownLoad returns the number of the relay's requests in flight at all targets.
func ownLoad(r *relay.Relay) int {
	load := 0
	for _, s := range r.TargetPool("archive").State() {
		load += s.Own
	}
	return load
}

// Guards against a truncated response that looks complete to its caller, and against
// failed attempts that do not release their memory.
func TestTruncatedLargeResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{broken: true}
		r := a.newRelay(relay.WithResponseMemory(largeBytes + 1))
		g.Expect(sendRequest(t.Context(), r).Status).To(Equal(http.StatusBadGateway))
		g.Expect(a.requestCount()).To(Equal(2), "a buffered response is replaced by that of another target")
		a.broken = false
		buffered := sendRequest(t.Context(), r)
		g.Expect(buffered.UnreadBody).To(BeNil(), "failed attempts keep no memory")
		a.broken = true
		streamed := sendRequest(t.Context(), r)
		g.Expect(streamed.UnreadBody).NotTo(BeNil())
		_, err := readAll(g, streamed)
		g.Expect(err).To(HaveOccurred())
		_, _ = readAll(g, buffered)
		r.SetTargets(nil)
	})
}

// Guards against the long transfer of a large response that counts as a slow target, so
// that the request is hedged.
func TestLongTransferIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{pause: 3 * time.Second}
		r := a.newRelay()
		answer := sendRequest(t.Context(), r)
		g.Expect(answer.Status).To(Equal(http.StatusOK))
		g.Expect(a.requestCount()).To(Equal(1))
		g.Expect(r.TargetPool("archive").ServiceTime()).To(BeNumerically("<", time.Second))
		_, _ = readAll(g, answer)
		r.SetTargets(nil)
	})
}

// Guards against a target that declares a larger body than the response limit.
func TestOversizedResponseIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{length: 1 << 40}
		r := a.newRelay()
		g.Expect(sendRequest(t.Context(), r).Status).To(Equal(http.StatusBadGateway))
		r.SetTargets(nil)
	})
}

// Guards against attempts that start or go on after the caller disconnected during the
// transfer of a large response.
func TestTransferIsCancelledWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{pause: 2 * time.Second}
		r := a.newRelay()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		answer := sendRequest(ctx, r)
		g.Expect(time.Since(begin)).To(Equal(time.Second))
		g.Expect(answer.Status).NotTo(Equal(http.StatusOK))
		time.Sleep(3 * time.Second)
		g.Expect(a.requestCount()).To(Equal(1))
		g.Expect(r.TargetPool("archive").State()[0].Own + r.TargetPool("archive").State()[1].Own).To(BeZero())
		r.SetTargets(nil)
	})
}

// Guards against a target that works on for a caller that has left while the response is
// passed on, because that is only seen when more bytes arrive.
func TestTransferIsAbortedWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{pause: time.Second, length: 2 << 20}
		r := a.newRelay(relay.WithResponseMemory(1))
		defer r.SetTargets(nil)
		resp := sendRequest(t.Context(), r)
		g.Expect(resp.UnreadBody).NotTo(BeNil())
		began := time.Now()
		abort := time.AfterFunc(100*time.Millisecond, resp.Abort)
		defer abort.Stop()
		_, err := readAll(g, resp)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
		time.Sleep(a.pause) // until the goroutine of the target has ended
	})
}

// highestFailRate returns the highest fail rate of the relay's targets.
func highestFailRate(r *relay.Relay) float64 {
	highest := 0.0
	for _, s := range r.TargetPool("archive").State() {
		highest = max(highest, s.FailRate)
	}
	return highest
}

// Guards against a target that is not known to fail although it cut a streamed response: the
// caller's connection is closed after that, which aborts the stream. A caller that leaves
// first says nothing about the target.
func TestTruncatedStreamCountsAgainstTarget(t *testing.T) {
	for name, leavesFirst := range map[string]bool{"target cuts the response": false, "caller leaves first": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := &largeTarget{broken: true}
				r := a.newRelay(relay.WithResponseMemory(1))
				defer r.SetTargets(nil)
				before := highestFailRate(r)
				resp := sendRequest(t.Context(), r)
				g.Expect(resp.UnreadBody).NotTo(BeNil())
				if leavesFirst {
					resp.Abort()
				}
				_, err := io.ReadAll(resp.UnreadBody)
				g.Expect(err).To(HaveOccurred())
				resp.Abort()
				_ = resp.UnreadBody.Close()
				resp.Release()
				if leavesFirst {
					g.Expect(highestFailRate(r)).To(BeNumerically("<=", before))
					return
				}
				g.Expect(highestFailRate(r)).To(BeNumerically(">", 0.5))
			})
		})
	}
}
