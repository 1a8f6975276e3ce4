package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
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
	// archiveBytes is the size of the largest usual response.
	archiveBytes = 540 << 10
	heldTimeout  = 30 * time.Second
	// endlessBytes is the size of a response that is never buffered.
	endlessBytes = 2 << 20
)

// archiveTarget is a target on a loopback port. The path of a request is the size of its
// response in bytes, or "wait" for a response that comes once release is closed.
type archiveTarget struct {
	listener net.Listener
	slots    int
	body     []byte
	release  chan struct{}
	// unread, if set, is closed when the target may read the bodies of requests.
	unread   chan struct{}
	requests atomic.Int64
	served   atomic.Int64
}

func newArchiveTarget(t testing.TB) *archiveTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &archiveTarget{listener: l, slots: 2000, body: make([]byte, endlessBytes), release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go a.run()
	return a
}

func (a *archiveTarget) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		go (&archiveConn{a, c}).run()
	}
}

// archiveConn is a connection to an archiveTarget.
type archiveConn struct {
	target *archiveTarget
	conn   net.Conn
}

func (c *archiveConn) run() {
	defer c.conn.Close()
	r := bufio.NewReaderSize(c.conn, 512)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.target.requests.Add(1)
		if c.target.unread != nil {
			<-c.target.unread
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		size, err := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/"))
		if err != nil {
			<-c.target.release
		}
		_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: r\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Id"), size)
		if _, err := c.conn.Write(c.target.body[:size]); err != nil {
			return
		}
		c.target.served.Add(1)
	}
}

func (a *archiveTarget) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", a.listener.Addr().String())
}

// narrowListener accepts connections with small buffers in the kernel, so that a caller
// that does not read blocks the daemon at once.
type narrowListener struct{ net.Listener }

// Accept accepts a connection and shrinks its send buffer.
func (l narrowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
	}
	return c, err
}

// heldDaemon is a relay that serves callers on a loopback port.
type heldDaemon struct {
	relay    *relay.Relay
	server   *caller.Server
	listener net.Listener
}

func (d *heldDaemon) run() {
	d.server.Serve(d.listener)
}

func newHeldDaemon(t testing.TB, a *archiveTarget, relayOpts []relay.Option, callerOpts []caller.Option) *heldDaemon {
	r := relay.New("a", headerNames, append([]relay.Option{relay.WithLinkOptions(link.WithDial(a.dial), link.WithDialTimeout(heldTimeout))}, relayOpts...)...)
	r.SetTable(route.Compile(&route.Config{
		Version:  1,
		Limits:   route.DefaultLimits,
		Services: []route.Service{{Name: "archive"}},
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "pull", Prefix: "/", Idempotency: route.NotIdempotent, Timeout: heldTimeout, MaxAttempts: 1,
			Split: []route.WeightedService{{Service: "archive", Weight: 1}},
		}}}},
	}))
	r.SetTargets(map[string][]sched.Target{"archive": {
		{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: a.slots},
	}})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &heldDaemon{r, caller.NewServer(r.Handle, r.Limits, callerOpts...), narrowListener{l}}
	go d.run()
	t.Cleanup(func() {
		d.server.Close()
		r.SetTargets(nil)
	})
	return d
}

// dial opens a connection of a caller that reads through a small window.
func (d *heldDaemon) dial(t testing.TB) net.Conn {
	conn, err := net.Dial("tcp4", d.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	_ = conn.SetDeadline(time.Now().Add(heldTimeout))
	return conn
}

func askFor(conn net.Conn, id int, path string) {
	_, _ = fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: %s\r\nId: id%d\r\n\r\n", path, host, id)
}

// processMemory returns the bytes of reachable objects on the heap and of the stacks.
func processMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// heldVM is the memory of the VM in these tests. Its budget is small enough for hundreds
// of connections to reach it.
const heldVM = 64 << 20

// testSideMemory is the most that the caller and the target of one connection take in the
// test's process, in bytes, with the stacks of the race detector.
const testSideMemory = 16 << 10

// newBoundedDaemon returns a daemon with the budget of a VM with heldVM bytes.
func newBoundedDaemon(t testing.TB, a *archiveTarget) (*heldDaemon, *memory.Budget) {
	b := memory.New(memory.LimitsOf(heldVM))
	return newHeldDaemon(t, a, []relay.Option{relay.WithMemory(b)}, []caller.Option{caller.WithMemory(b)}), b
}

// heldAnswer is how the response to a caller ended.
type heldAnswer struct {
	status, bytes int
	retryAfter    string
	err           error
}

// heldCaller asks for a response on its own connection and reads it in steps of step bytes
// with a pause in between, until drip has passed, and the rest at once.
type heldCaller struct {
	conn  net.Conn
	step  int
	pause time.Duration
	drip  time.Duration
	done  chan heldAnswer
}

func (c *heldCaller) run() {
	r := bufio.NewReaderSize(c.conn, 1024)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		c.done <- heldAnswer{err: err}
		return
	}
	answer := heldAnswer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
	for began := time.Now(); answer.err == nil; {
		n, err := io.CopyN(io.Discard, resp.Body, int64(c.step))
		answer.bytes += int(n)
		answer.err = err
		if time.Since(began) < c.drip {
			time.Sleep(c.pause)
		}
	}
	if answer.err == io.EOF {
		answer.err = nil
	}
	c.done <- answer
}

// callAll opens count connections that each ask for the path.
func (d *heldDaemon) callAll(t testing.TB, count int, path string) []*heldCaller {
	var callers []*heldCaller
	for i := range count {
		c := &heldCaller{conn: d.dial(t), step: 64 << 10, done: make(chan heldAnswer, 1)}
		askFor(c.conn, i, path)
		callers = append(callers, c)
	}
	return callers
}

// finishAll lets the callers read and returns how many were served and how many refused.
// Each response must be whole, or a refusal that states when to come back.
func finishAll(g *WithT, callers []*heldCaller) (served, refused int) {
	for _, c := range callers {
		go c.run()
	}
	for _, c := range callers {
		a := <-c.done
		g.Expect(a.err).NotTo(HaveOccurred())
		switch a.status {
		case http.StatusOK:
			served++
			g.Expect(a.bytes).To(Equal(archiveBytes))
		default:
			refused++
			g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(a.retryAfter).NotTo(BeEmpty())
		}
	}
	return served, refused
}

// Guards against memory beyond the bound, and against responses that are cut off, when
// hundreds of callers ask for large responses and do not read them for a while: the first
// are buffered, the next streamed, the others refused and not run.
func TestHundredsOfCallersThatStopReading(t *testing.T) {
	const count = 400
	g := NewWithT(t)
	a := newArchiveTarget(t)
	d, b := newBoundedDaemon(t, a)
	limits := memory.LimitsOf(heldVM)
	before := processMemory()
	callers := d.callAll(t, count, strconv.Itoa(archiveBytes))
	g.Eventually(func() int {
		c := caller.Count(d.server.OpenRequests())
		return c.Reading + c.Waiting + c.Sent
	}).WithTimeout(heldTimeout).Should(BeZero())
	g.Eventually(func() int64 { return a.requests.Load() }).WithTimeout(heldTimeout).Should(BeNumerically(">", 0))
	time.Sleep(500 * time.Millisecond)
	grown := processMemory() - before
	t.Logf("held %+v; process grew by %d", b.State(), grown)
	g.Expect(b.State().Peak).To(BeNumerically("<=", limits.Total))
	g.Expect(grown).To(BeNumerically("<", limits.Total+count*testSideMemory))
	served, refused := finishAll(g, callers)
	t.Logf("%d served, %d refused, %d reached the target", served, refused, a.requests.Load())
	g.Expect(int64(served)).To(Equal(a.requests.Load()), "a refused request is not run")
	g.Expect(b.Denied(memory.Responses)).To(BeNumerically(">", 0))
	for _, c := range callers {
		_ = c.conn.Close()
	}
	g.Eventually(func() int64 { return b.Total() - b.Held(memory.IdleConnections) }).WithTimeout(heldTimeout).Should(BeZero())
}

// Guards against responses that are cut off although their callers go on reading, in very
// small amounts and for longer than the write timeout.
func TestCallersThatDripAreServedWhole(t *testing.T) {
	const count = 40
	g := NewWithT(t)
	a := newArchiveTarget(t)
	d, b := newBoundedDaemon(t, a)
	callers := d.callAll(t, count, strconv.Itoa(archiveBytes))
	for _, c := range callers {
		c.step, c.pause, c.drip = 4<<10, 350*time.Millisecond, 13*time.Second
	}
	served, refused := finishAll(g, callers)
	g.Expect(served + refused).To(Equal(count))
	g.Expect(refused).To(BeZero())
	g.Expect(b.Denied(memory.Responses)).To(BeNumerically(">", 0), "some responses were streamed")
	g.Expect(b.State().Peak).To(BeNumerically("<=", memory.LimitsOf(heldVM).Total))
}

// Guards against memory that stays counted after callers have left in every state of their
// requests, so that the bound is reached for good.
func TestMemoryOfCallersThatLeaveIsReturned(t *testing.T) {
	const count = 60
	g := NewWithT(t)
	a := newArchiveTarget(t)
	defer close(a.release)
	d, b := newBoundedDaemon(t, a)
	var conns []net.Conn
	for i := range count {
		conn := d.dial(t)
		conns = append(conns, conn)
		switch i % 4 {
		case 0:
			askFor(conn, i, strconv.Itoa(archiveBytes))
		case 1:
			askFor(conn, i, "100")
			askFor(conn, i, strconv.Itoa(endlessBytes))
		case 2:
			_, _ = fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: %s\r\nContent-Length: 600000\r\n\r\n%s", host, strings.Repeat("a", 100_000))
		default:
			_, _ = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", 5000))
		}
	}
	g.Eventually(func() int64 { return b.Held(memory.Bodies) }).WithTimeout(heldTimeout).Should(BeNumerically(">=", count/4*100_000))
	g.Eventually(func() int64 { return b.Held(memory.Responses) }).WithTimeout(heldTimeout).Should(BeNumerically(">=", count/8*archiveBytes))
	for _, c := range conns {
		_ = c.Close()
	}
	g.Eventually(func() map[string]int64 {
		held := b.State().Held
		delete(held, memory.IdleConnections.String())
		return held
	}).WithTimeout(heldTimeout).Should(HaveEach(BeZero()))
}

// Guards against request bodies beyond the bound while targets do not read them: the first
// ones run, the others are refused, and no request that was sent is cut off.
func TestLargeBodiesForSlowTargetsStayWithinBound(t *testing.T) {
	const count, bodyBytes = 120, 900_000
	g := NewWithT(t)
	a := newArchiveTarget(t)
	a.unread = make(chan struct{})
	d, b := newBoundedDaemon(t, a)
	limits := memory.LimitsOf(heldVM)
	var callers []*heldCaller
	for i := range count {
		c := &heldCaller{conn: d.dial(t), step: 64 << 10, done: make(chan heldAnswer, 1)}
		callers = append(callers, c)
		u := &upload{conn: c.conn, id: i, bytes: bodyBytes}
		go u.run()
		go c.run()
	}
	settled := func() bool {
		answered := 0
		for _, c := range callers {
			answered += len(c.done)
		}
		return caller.Count(d.server.OpenRequests()).Sent+answered == count
	}
	g.Eventually(settled).WithTimeout(heldTimeout).Should(BeTrue())
	g.Expect(b.Held(memory.Bodies)).To(BeNumerically(">", limits.Admit/2))
	g.Expect(b.State().Peak).To(BeNumerically("<=", limits.Total))
	close(a.unread)
	served, refused := finishUploads(g, callers)
	t.Logf("%d served, %d refused, %d reached the target; held %+v", served, refused, a.requests.Load(), b.State())
	g.Expect(int64(served)).To(Equal(a.requests.Load()))
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(refused).To(BeNumerically(">", 0))
}

// Guards against a target that crashes because one daemon sends it more large requests than
// its slots and queue hold, and against requests that are refused because they wait.
func TestTargetHoldsOnlyTheBodiesOfItsSlots(t *testing.T) {
	const count, slots, queued = 20, 6, 2
	g := NewWithT(t)
	a := newArchiveTarget(t)
	a.slots, a.unread = slots, make(chan struct{})
	d, _ := newBoundedDaemon(t, a)
	var callers []*heldCaller
	for i := range count {
		c := &heldCaller{conn: d.dial(t), step: 64 << 10, done: make(chan heldAnswer, 1)}
		callers = append(callers, c)
		u := &upload{conn: c.conn, id: i, bytes: 900_000}
		go u.run()
		go c.run()
	}
	g.Eventually(func() caller.Counts { return caller.Count(d.server.OpenRequests()) }).WithTimeout(heldTimeout).
		Should(Equal(caller.Counts{Sent: slots + queued, Waiting: count - slots - queued}))
	g.Consistently(a.requests.Load).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<=", slots+queued))
	close(a.unread)
	served, _ := finishUploads(g, callers)
	g.Expect(served).To(Equal(count))
}

// upload is a request with a large body.
type upload struct {
	conn      net.Conn
	id, bytes int
}

func (u *upload) run() {
	_, _ = fmt.Fprintf(u.conn, "POST /100 HTTP/1.1\r\nHost: %s\r\nId: id%d\r\nContent-Length: %d\r\n\r\n", host, u.id, u.bytes)
	_, _ = u.conn.Write(make([]byte, u.bytes))
}

// finishUploads awaits the responses to uploads and returns how many were served and how
// many got a refusal. A refused caller that still sends may lose the response.
func finishUploads(g *WithT, callers []*heldCaller) (served, refused int) {
	for _, c := range callers {
		switch a := <-c.done; {
		case a.err != nil || a.status == http.StatusServiceUnavailable:
			refused++
		default:
			g.Expect(a.status).To(Equal(http.StatusOK))
			served++
		}
	}
	return served, refused
}

// heldCase is a state of callers' connections whose memory is measured.
type heldCase struct {
	// path is what each connection asks for; it asks for nothing if that is empty.
	path  string
	quota int64
}

// BenchmarkMemoryHeld reports the memory for each connection of a caller in several
// states. It includes what the target and the callers hold in the same process.
func BenchmarkMemoryHeld(b *testing.B) {
	cases := map[string]heldCase{
		"idle":            {},
		"waiting":         {path: "wait", quota: 1 << 30},
		"buffered-unread": {path: strconv.Itoa(archiveBytes), quota: 1 << 30},
		"streamed-unread": {path: strconv.Itoa(endlessBytes), quota: 1},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(c.measure(b)), "B/conn")
			}
		})
	}
}

// measure returns the memory for each of 200 connections.
func (c heldCase) measure(b *testing.B) int64 {
	const conns = 200
	g := NewWithT(b)
	a := newArchiveTarget(b)
	defer close(a.release)
	d := newHeldDaemon(b, a, []relay.Option{relay.WithResponseMemory(c.quota)}, nil)
	before := processMemory()
	for i := range conns {
		conn := d.dial(b)
		if c.path != "" {
			askFor(conn, i, c.path)
		}
	}
	settled := func() bool { return d.server.OpenConnections() == conns }
	switch {
	case c.path == "wait":
		settled = func() bool { return a.requests.Load() == conns }
	case c.path != "":
		settled = func() bool { return caller.Count(d.server.OpenRequests()).Writing == conns }
	}
	g.Eventually(settled).WithTimeout(heldTimeout).Should(BeTrue())
	return (processMemory() - before) / conns
}
