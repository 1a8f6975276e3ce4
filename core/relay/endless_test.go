package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
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

// endlessTarget is a target that sends prefix and then repeats a text until the connection
// ends, on the first connections; it serves the requests on all further ones. "{id}" in
// prefix and repeat stands for the id of the request.
type endlessTarget struct {
	prefix, repeat string
	// pause is the time before each repetition.
	pause time.Duration
	// connections is the number of connections that get a response without end.
	connections int64

	accepted atomic.Int64
	written  atomic.Int64
	running  sync.WaitGroup
}

func (e *endlessTarget) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &endlessConn{target: e, conn: server, serves: e.accepted.Add(1) > e.connections}
	e.running.Add(1)
	go c.run()
	return client, nil
}

// endlessConn is a connection to an endlessTarget.
type endlessConn struct {
	target *endlessTarget
	conn   net.Conn
	serves bool
}

func (c *endlessConn) run() {
	defer c.target.running.Done()
	defer c.conn.Close()
	r := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		if !c.serves {
			c.sendEndless(id)
			return
		}
		_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nReceipt: r\r\nContent-Length: 2\r\n\r\nok")
	}
}

// sendEndless sends the response without end until the connection is closed.
func (c *endlessConn) sendEndless(id string) {
	e := c.target
	n, err := io.WriteString(c.conn, strings.ReplaceAll(e.prefix, "{id}", id))
	e.written.Add(int64(n))
	for repeat := strings.ReplaceAll(e.repeat, "{id}", id); err == nil; e.written.Add(int64(n)) {
		if e.pause > 0 {
			time.Sleep(e.pause)
		}
		n, err = io.WriteString(c.conn, repeat)
	}
}

// newRelay returns a relay with two targets that are both served by e. Retries have no
// limit but that of the route.
func (e *endlessTarget) newRelay(idempotency route.Idempotency, opts ...relay.Option) *relay.Relay {
	r := (&largeTarget{}).newRelay(append([]relay.Option{relay.WithLinkOptions(link.WithDial(e.dial))}, opts...)...)
	r.SetTable(route.Compile(&route.Config{
		Version:  2,
		Services: []route.Service{{Name: "archive"}},
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "pull", Prefix: "/", Idempotency: idempotency, Timeout: 4 * time.Second, MaxAttempts: 3,
			Split: []route.WeightedService{{Service: "archive", Weight: 1}},
		}}}},
	}))
	return r
}

const (
	endlessLength  = "Content-Length: 600000\r\n\r\n"
	endlessChunked = "Transfer-Encoding: chunked\r\n\r\n"
	oneChunk       = "1\r\na\r\n"
)

// Guards against a response that its head already shows to be unusable, but whose body is
// awaited until the deadline: the request fails although another target could serve it.
func TestBodyOfUnusableResponseIsNotAwaited(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: {id}\r\nNot-Run: 1\r\n"
	cases := map[string]struct {
		prefix, repeat string
		idempotency    route.Idempotency
	}{
		"refusal with a length":              {refusal + endlessLength, "a", route.Idempotent},
		"refusal in chunks":                  {refusal + endlessChunked, oneChunk, route.Idempotent},
		"refusal without a length":           {refusal + "\r\n", "a", route.Idempotent},
		"refusal of a non-idempotent one":    {refusal + endlessLength, "a", route.NotIdempotent},
		"misdirected":                        {"HTTP/1.1 421 Misdirected Request\r\nId: {id}\r\n" + endlessLength, "a", route.NotIdempotent},
		"refusal that says nothing of a run": {"HTTP/1.1 503 Service Unavailable\r\nId: {id}\r\n" + endlessLength, "a", route.Idempotent},
		"success without a seal":             {"HTTP/1.1 200 OK\r\nId: {id}\r\n" + endlessChunked, oneChunk, route.Idempotent},
		"success with an encoding":           {"HTTP/1.1 200 OK\r\nId: {id}\r\nReceipt: r\r\nContent-Encoding: gzip\r\n" + endlessLength, "a", route.Idempotent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &endlessTarget{prefix: c.prefix, repeat: c.repeat, pause: 10 * time.Millisecond, connections: 1}
				r := target.newRelay(c.idempotency)
				defer target.running.Wait()
				defer r.SetTargets(nil)
				begin := time.Now()
				resp := sendRequest(t.Context(), r)
				g.Expect(resp.Status).To(Equal(http.StatusOK))
				g.Expect(time.Since(begin)).To(BeNumerically("<", 200*time.Millisecond))
				_, err := readAll(g, resp)
				g.Expect(err).NotTo(HaveOccurred())
			})
		})
	}
}

// manyCallers send requests through a relay at once and read the responses when told to.
type manyCallers struct {
	relay   *relay.Relay
	mu      sync.Mutex
	open    []*caller.Response
	pending sync.WaitGroup
}

// run sends one request and keeps the response.
func (m *manyCallers) run(ctx context.Context) {
	defer m.pending.Done()
	resp := sendRequest(ctx, m.relay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open = append(m.open, resp)
}

// discardAll discards the responses as a server does when their callers disconnect.
func (m *manyCallers) discardAll() {
	for _, resp := range m.open {
		if resp.UnreadBody != nil {
			_ = resp.UnreadBody.Close()
		}
		if resp.Release != nil {
			resp.Release()
		}
	}
}

// heapInUse returns the number of bytes of reachable objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory beyond the configured one for responses, while many targets send
// without end and their callers read nothing yet.
func TestMemoryOfManyEndlessResponsesIsBounded(t *testing.T) {
	const (
		requests       = 100
		responseMemory = 8 << 20
		perConnection  = 48 << 10
	)
	const own = "HTTP/1.1 200 OK\r\nId: {id}\r\nReceipt: r\r\n"
	piece := strings.Repeat("a", 16<<10)
	cases := map[string]*endlessTarget{
		"head":                      {prefix: own + "X: ", repeat: piece},
		"interim responses":         {repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
		"no HTTP":                   {repeat: piece},
		"body with a length":        {prefix: own + "Content-Length: 700000\r\n\r\n", repeat: piece},
		"body with a large length":  {prefix: own + "Content-Length: 60000000\r\n\r\n", repeat: piece},
		"body in chunks":            {prefix: own + endlessChunked, repeat: "4000\r\n" + piece + "\r\n"},
		"body without a length":     {prefix: own + "Connection: close\r\n\r\n", repeat: piece},
		"failure without a length":  {prefix: "HTTP/1.1 500 Internal Server Error\r\nId: {id}\r\n\r\n", repeat: piece},
		"responses to other ids":    {prefix: "HTTP/1.1 200 OK\r\nId: other\r\n" + endlessChunked, repeat: "4000\r\n" + piece + "\r\n"},
		"small chunks":              {prefix: own + endlessChunked, repeat: strings.Repeat("20\r\n"+strings.Repeat("a", 32)+"\r\n", 100)},
		"refusal without an ending": {prefix: "HTTP/1.1 503 Service Unavailable\r\nId: {id}\r\nNot-Run: 1\r\n\r\n", repeat: piece},
	}
	for name, target := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target.connections = 3 * requests
				m := &manyCallers{relay: target.newRelay(route.Idempotent, relay.WithResponseMemory(responseMemory))}
				m.relay.SetTargets(map[string][]sched.Target{"archive": {
					{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: requests},
					{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: requests},
				}})
				defer target.running.Wait()
				defer m.relay.SetTargets(nil)
				defer m.discardAll()
				before := heapInUse()
				for range requests {
					m.pending.Add(1)
					go m.run(t.Context())
				}
				m.pending.Wait()
				used := heapInUse() - before
				t.Logf("%d KiB in use, %d KiB sent", used>>10, target.written.Load()>>10)
				g.Expect(used).To(BeNumerically("<", responseMemory+requests*perConnection))
			})
		})
	}
}

// Guards against a streamed response without end that keeps its connection beyond the
// limit on responses or the deadline of the request, and that looks complete to its caller.
func TestStreamedResponseWithoutEndIsAborted(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: {id}\r\nReceipt: r\r\n"
	const maxResponse = 64 << 20
	piece := strings.Repeat("a", 1<<20)
	cases := map[string]*endlessTarget{
		"without a length":               {prefix: own + "\r\n", repeat: piece},
		"in chunks":                      {prefix: own + endlessChunked, repeat: "100000\r\n" + piece + "\r\n"},
		"without a length, byte by byte": {prefix: own + "\r\n", repeat: "a", pause: 100 * time.Millisecond},
		"in chunks, byte by byte":        {prefix: own + endlessChunked, repeat: oneChunk, pause: 100 * time.Millisecond},
		"with a length, byte by byte":    {prefix: own + endlessLength, repeat: "a", pause: 100 * time.Millisecond},
	}
	for name, target := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target.connections = 1
				r := target.newRelay(route.Idempotent, relay.WithResponseMemory(1))
				defer target.running.Wait()
				defer r.SetTargets(nil)
				begin := time.Now()
				resp := sendRequest(t.Context(), r)
				g.Expect(resp.Status).To(Equal(http.StatusOK))
				size, err := readAll(g, resp)
				g.Expect(err).To(HaveOccurred())
				g.Expect(size).To(BeNumerically("<=", maxResponse))
				g.Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
				target.running.Wait()
				for _, s := range r.TargetPool("archive").State() {
					g.Expect(s.Own).To(BeZero())
				}
			})
		})
	}
}
