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
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

const (
	largeBytes = 80 << 10
	host       = "shop.example"
)

var names = relay.Headers{RequestID: "Id", Deadline: "Deadline", Receipt: "Receipt", ExpectInstance: "Expect-Instance", NotRun: "Not-Run"}

// archive is the target of a service with large answers, reached over pipes.
type archive struct {
	// pause is the time between the head of an answer and its body.
	pause time.Duration
	// broken answers break off after half of their bytes.
	broken bool
	// length is the length that is stated; 0 stands for that of the body.
	length int64

	mu       sync.Mutex
	requests int
}

func (a *archive) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go a.run(far)
	return near, nil
}

func (a *archive) run(c net.Conn) {
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

func (a *archive) seen() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// relay returns a relay with two targets that are this archive.
func (a *archive) relay(opts ...relay.Option) *relay.Relay {
	r := relay.New("a", names, append([]relay.Option{relay.WithLinkOptions(link.WithDial(a.dial)), relay.WithBudget(relay.Budget{Span: 10 * time.Second, Ratio: 2})}, opts...)...)
	c := &route.Config{
		Version:  1,
		Services: []route.Service{{Name: "archive"}},
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "pull", Prefix: "/", Kind: route.Idempotent, Timeout: 4 * time.Second, Objective: time.Second, Attempts: 3,
			Split: []route.Share{{Service: "archive", Weight: 1}},
		}}}},
	}
	r.SetTable(route.Compile(c))
	r.SetTargets(map[string][]sched.Target{"archive": {
		{Key: sched.Key{ID: "t0", Born: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: 6},
		{Key: sched.Key{ID: "t1", Born: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: 6},
	}})
	return r
}

func pull(ctx context.Context, r *relay.Relay) *caller.Answer {
	return r.Handle(ctx, &caller.Request{
		Method: http.MethodGet, Target: "/1", Host: host, Received: time.Now(),
		Header: http.Header{"Id": {"own"}},
	})
}

// take reads an answer as its caller does and frees it.
func take(g *WithT, a *caller.Answer) (int, error) {
	defer a.Done()
	if a.Rest == nil {
		return len(a.Body), nil
	}
	defer a.Rest.Close()
	rest, err := io.ReadAll(a.Rest)
	return len(a.Body) + len(rest), err
}

// Load pattern: more callers take large answers slowly than the daemon has memory
// for. Guards against memory that grows with their number, and against answers that
// are refused or cut instead.
func TestAnswersPastTheMemoryArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &archive{}
		r := a.relay(relay.WithAnswerMemory(largeBytes + 1))
		first, second := pull(t.Context(), r), pull(t.Context(), r)
		g.Expect(first.Rest).To(BeNil())
		g.Expect(second.Rest).NotTo(BeNil())
		for _, answer := range []*caller.Answer{second, first} {
			size, err := take(g, answer)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(size).To(Equal(largeBytes))
		}
		third := pull(t.Context(), r)
		g.Expect(third.Rest).To(BeNil(), "the memory was freed")
		_, _ = take(g, third)
		r.SetTargets(nil)
	})
}

// Guards against an answer that breaks off on its way and looks complete, and
// against memory that attempts without an answer keep.
func TestBrokenLargeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &archive{broken: true}
		r := a.relay(relay.WithAnswerMemory(largeBytes + 1))
		g.Expect(pull(t.Context(), r).Status).To(Equal(http.StatusBadGateway))
		g.Expect(a.seen()).To(Equal(2), "a held answer is replaced by that of another target")
		a.broken = false
		whole := pull(t.Context(), r)
		g.Expect(whole.Rest).To(BeNil(), "failed attempts keep no memory")
		a.broken = true
		part := pull(t.Context(), r)
		g.Expect(part.Rest).NotTo(BeNil())
		_, err := take(g, part)
		g.Expect(err).To(HaveOccurred())
		_, _ = take(g, whole)
		r.SetTargets(nil)
	})
}

// Load pattern: large answers take long on the link. Guards against a long transfer
// that counts as a slow target and is begun a second time.
func TestLongTransferIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &archive{pause: 3 * time.Second}
		r := a.relay()
		answer := pull(t.Context(), r)
		g.Expect(answer.Status).To(Equal(http.StatusOK))
		g.Expect(a.seen()).To(Equal(1))
		g.Expect(r.Pool("archive").ServiceTime()).To(BeNumerically("<", time.Second))
		_, _ = take(g, answer)
		r.SetTargets(nil)
	})
}

// Guards against a target that announces more than any answer holds.
func TestAnswerWithoutEndIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &archive{length: 1 << 40}
		r := a.relay()
		g.Expect(pull(t.Context(), r).Status).To(Equal(http.StatusBadGateway))
		r.SetTargets(nil)
	})
}

// Guards against attempts that begin, or go on, after the caller has left while a
// large answer is on its way.
func TestLeavingCallerEndsTheTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &archive{pause: 2 * time.Second}
		r := a.relay()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		answer := pull(ctx, r)
		g.Expect(time.Since(begin)).To(Equal(time.Second))
		g.Expect(answer.Status).NotTo(Equal(http.StatusOK))
		time.Sleep(3 * time.Second)
		g.Expect(a.seen()).To(Equal(1))
		g.Expect(r.Pool("archive").State()[0].Own + r.Pool("archive").State()[1].Own).To(BeZero())
		r.SetTargets(nil)
	})
}
