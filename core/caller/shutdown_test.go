package caller_test

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
	"wisteriarelay.example/core/route"
)

// heldHandler answers a request once its path is released.
type heldHandler struct {
	started chan string
	mu      sync.Mutex
	gates   map[string]chan struct{}
}

func newHeldHandler() *heldHandler {
	return &heldHandler{started: make(chan string, 100), gates: map[string]chan struct{}{}}
}

// gate returns the channel that is closed when the path is released.
func (h *heldHandler) gate(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[path] == nil {
		h.gates[path] = make(chan struct{})
	}
	return h.gates[path]
}

func (h *heldHandler) release(path string) {
	close(h.gate(path))
}

func (h *heldHandler) handle(_ context.Context, r *caller.Request) *caller.Response {
	h.started <- r.RequestURI
	<-h.gate(r.RequestURI)
	return caller.TextResponse(http.StatusOK, r.RequestURI)
}

func sendGet(conn net.Conn, path string) {
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
}

// shutdownRunner shuts a server down.
type shutdownRunner struct {
	server *caller.Server
	done   chan struct{}
}

func (s *shutdownRunner) run() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	s.server.Shutdown(ctx)
	close(s.done)
}

func startShutdown(s *caller.Server) *shutdownRunner {
	r := &shutdownRunner{s, make(chan struct{})}
	go r.run()
	return r
}

// Guards against a connection whose caller always sends another request before it has the
// response to the last one, and that therefore never closes during a shutdown.
func TestPipelinedConnectionClosesWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHeldHandler()
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &runningServer{caller.NewServer(h.handle, func() route.Limits { return limits }), p}
		go s.run()
		defer s.server.Close()
		conn, serverSide := net.Pipe()
		defer conn.Close()
		p.conns <- serverSide
		r := bufio.NewReader(conn)
		const count = 10
		sendGet(conn, "/0")
		sendGet(conn, "/1")
		synctest.Wait()
		s.server.Drain()
		for answered := 0; answered < count; answered++ {
			sendGet(conn, fmt.Sprintf("/%d", answered+2))
			// The request is read, and started if there is a further one to start.
			synctest.Wait()
			h.release(fmt.Sprintf("/%d", answered))
			resp, body := readResponse(g, r)
			g.Expect(body).To(Equal(fmt.Sprintf("/%d", answered)))
			if resp.Close {
				g.Expect(h.started).To(HaveLen(answered+1), "each request that was started has its response")
				return
			}
		}
		t.Errorf("connection still open after %d responses", count)
		for i := range 2 {
			h.release(fmt.Sprintf("/%d", count+i))
		}
	})
}

// Guards against a connection that stays open until the idle timeout after a response that
// says that it closes: the reader renewed its deadline while the writer still counted the
// request as pending.
func TestConnectionClosesAfterFinalResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		release := make(chan struct{})
		handle := func(context.Context, *caller.Request) *caller.Response {
			<-release
			resp := caller.TextResponse(http.StatusOK, "")
			resp.Release = func() { time.Sleep(time.Millisecond) }
			return resp
		}
		server, callerSide, reader := servePipe(t, handle, constantLimits)
		sendGet(callerSide, "/")
		synctest.Wait()
		server.Drain()
		close(release)
		resp, _ := readResponse(g, reader)
		g.Expect(resp.Close).To(BeTrue())
		began := time.Now()
		_, err := reader.ReadByte()
		g.Expect(err).To(MatchError(io.EOF))
		g.Expect(time.Since(began)).To(BeNumerically("<", limits.IdleTimeout))
	})
}

// Guards against a request that is given up because its caller has sent much behind it,
// which is not read as the connection ends after that request.
func TestLastRequestIsAnsweredWhenMuchFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		release := make(chan struct{})
		handle := func(ctx context.Context, _ *caller.Request) *caller.Response {
			select {
			case <-release:
				return caller.TextResponse(http.StatusOK, "whole")
			case <-ctx.Done():
				return caller.TextResponse(http.StatusGatewayTimeout, "given up")
			}
		}
		_, callerSide, reader := servePipe(t, handle, constantLimits)
		_, _ = fmt.Fprint(callerSide, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_, err := callerSide.Write(make([]byte, 1<<20))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		close(release)
		_, body := readResponse(g, reader)
		g.Expect(body).To(Equal("whole"))
	})
}

// Guards against a request that goes on although its caller has disconnected, because the
// caller sent much behind it.
func TestDisconnectIsSeenWhenMuchFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cancelled, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		handle := func(ctx context.Context, _ *caller.Request) *caller.Response {
			select {
			case <-ctx.Done():
				close(cancelled)
			case <-release:
			}
			return caller.TextResponse(http.StatusOK, "")
		}
		_, callerSide, _ := servePipe(t, handle, constantLimits)
		_, _ = fmt.Fprint(callerSide, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_, _ = callerSide.Write(make([]byte, 1<<20))
		_ = callerSide.Close()
		synctest.Wait()
		g.Expect(cancelled).To(BeClosed())
	})
}

// Guards against requests that are cut because the shutdown closes their connections while
// they are in progress.
func TestShutdownWaitsForResponses(t *testing.T) {
	g := NewWithT(t)
	h := newHeldHandler()
	s, dial := serve(t, h.handle)
	conn, r := dial()
	sendGet(conn, "/1")
	<-h.started
	shutdown := startShutdown(s)
	g.Consistently(shutdown.done, 100*time.Millisecond).ShouldNot(BeClosed())
	h.release("/1")
	resp, body := readResponse(g, r)
	g.Expect(body).To(Equal("/1"))
	g.Expect(resp.Close).To(BeTrue())
	_, err := r.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(shutdown.done).NotTo(BeClosed(), "the caller may not have read its response yet")
	_ = conn.Close()
	g.Eventually(shutdown.done).WithTimeout(waitTimeout).Should(BeClosed())
}

// Guards against idle connections that are reset, which a caller that has just sent a
// request takes for a failure of that request.
func TestShutdownEndsIdleConnectionsInOrder(t *testing.T) {
	g := NewWithT(t)
	s, dial := serve(t, echo)
	conn, r := dial()
	sendGet(conn, "/1")
	readResponse(g, r)
	shutdown := startShutdown(s)
	_, err := r.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
	sendGet(conn, "/2")
	_, err = r.ReadByte()
	g.Expect(err).To(MatchError(io.EOF), "bytes that cross the end of the connection do not reset it")
	_ = conn.Close()
	g.Eventually(shutdown.done).WithTimeout(waitTimeout).Should(BeClosed())
	g.Expect(s.OpenConnections()).To(BeZero())
}

// Guards against a request that was sent on a new connection just before the callers' port
// closes, and whose caller cannot tell whether it was read.
func TestShutdownAnswersRequestOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server, callerSide, reader := servePipe(t, echo, constantLimits)
		synctest.Wait()
		shutdown := startShutdown(server)
		synctest.Wait()
		sendGet(callerSide, "/1")
		resp, body := readResponse(g, reader)
		g.Expect(body).To(Equal("GET /1 "))
		g.Expect(resp.Close).To(BeTrue())
		<-shutdown.done
	})
}

// Guards against a request whose body is still arriving, and that is cut by a shutdown
// without a word.
func TestShutdownRefusesHalfReadRequest(t *testing.T) {
	for name, half := range map[string]string{
		"head":            "GET / HTTP/1.1\r\nHos",
		"body":            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na",
		"size of a chunk": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1",
		"trailer":         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, dial := serve(t, echo)
			conn, r := dial()
			_, _ = fmt.Fprint(conn, half)
			g.Eventually(func() int { return caller.Count(s.OpenRequests()).Reading }).WithTimeout(waitTimeout).Should(Equal(1))
			startShutdown(s)
			resp, _ := readResponse(g, r)
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(resp.Close).To(BeTrue())
		})
	}
}

// lateListener returns a connection from Accept although it was closed in the meantime, as
// a listener does whose connection was accepted just before.
type lateListener struct {
	pipeListener
	accepted net.Conn
	release  chan struct{}
}

// Accept returns the connection once it is released, and then fails.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.release
	if c := l.accepted; c != nil {
		l.accepted = nil
		return c, nil
	}
	return nil, net.ErrClosed
}

// Guards against a shutdown that ends, so that the process exits, while a connection that
// was accepted just before is still to be registered, and whose request then is cut.
func TestShutdownWaitsForAcceptedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		callerSide, serverSide := net.Pipe()
		defer callerSide.Close()
		l := &lateListener{pipeListener: pipeListener{done: make(chan struct{})}, accepted: serverSide, release: make(chan struct{})}
		s := &runningServer{caller.NewServer(echo, func() route.Limits { return limits }), l}
		go s.run()
		synctest.Wait()
		shutdown := startShutdown(s.server)
		synctest.Wait()
		close(l.release)
		sendGet(callerSide, "/1")
		synctest.Wait()
		g.Expect(shutdown.done).NotTo(BeClosed(), "a request has no response yet")
		_, body := readResponse(g, bufio.NewReader(callerSide))
		g.Expect(body).To(Equal("GET /1 "))
		<-shutdown.done
	})
}

// queuedListener leaves connections in the queue of the system until the shutdown has
// closed it or has limited the time for accepting them.
type queuedListener struct {
	*net.TCPListener
	// accepting is closed once the server accepts connections, stopped when it stops.
	accepting, stopped chan struct{}
	accept, stop       func()
}

func newQueuedListener(l *net.TCPListener) *queuedListener {
	q := &queuedListener{TCPListener: l, accepting: make(chan struct{}), stopped: make(chan struct{})}
	q.accept = sync.OnceFunc(func() { close(q.accepting) })
	q.stop = sync.OnceFunc(func() { close(q.stopped) })
	return q
}

// Accept accepts a connection once the shutdown has begun.
func (l *queuedListener) Accept() (net.Conn, error) {
	l.accept()
	<-l.stopped
	return l.TCPListener.Accept()
}

// Close closes the listener.
func (l *queuedListener) Close() error {
	defer l.stop()
	return l.TCPListener.Close()
}

// SetDeadline limits the time for accepting connections.
func (l *queuedListener) SetDeadline(t time.Time) error {
	defer l.stop()
	return l.TCPListener.SetDeadline(t)
}

// Guards against requests that are sent on connections which wait to be accepted when the
// callers' port closes, as after a pause of the process, and that are reset with it.
func TestShutdownAnswersQueuedConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	queue := newQueuedListener(l)
	s := &runningServer{caller.NewServer(echo, func() route.Limits { return limits }), queue}
	go s.run()
	defer s.server.Close()
	conn, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	sendGet(conn, "/1")
	<-queue.accepting
	startShutdown(s.server)
	resp, _ := readResponse(g, bufio.NewReader(conn))
	g.Expect(resp.StatusCode).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	g.Expect(resp.Close).To(BeTrue())
}

// Guards against a large response that a shutdown cuts because its caller reads it slowly.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const size, pieces = 1 << 20, 16
		handle := func(context.Context, *caller.Request) *caller.Response {
			return caller.TextResponse(http.StatusOK, strings.Repeat("a", size))
		}
		server, callerSide, reader := servePipe(t, handle, constantLimits)
		sendGet(callerSide, "/")
		resp, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		shutdown := startShutdown(server)
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			n, err := io.CopyN(io.Discard, resp.Body, size/pieces)
			g.Expect(err).NotTo(HaveOccurred(), "after %d bytes", n)
		}
		<-shutdown.done
		g.Expect(server.OpenRequests()).To(BeEmpty())
	})
}

// Guards against a shutdown that never ends, or loses responses, because a connection has
// more requests in progress than may wait for its writer.
func TestShutdownAnswersFullPipeline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const sent = 50
		var mu sync.Mutex
		started := 0
		handle := func(_ context.Context, r *caller.Request) *caller.Response {
			mu.Lock()
			started++
			mu.Unlock()
			time.Sleep(time.Second)
			return caller.TextResponse(http.StatusOK, r.RequestURI)
		}
		server, callerSide, reader := servePipe(t, handle, constantLimits)
		var requests strings.Builder
		for i := range sent {
			_, _ = fmt.Fprintf(&requests, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		}
		_, err := io.WriteString(callerSide, requests.String())
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		shutdown := startShutdown(server)
		answered := 0
		for closes := false; !closes; answered++ {
			resp, body := readResponse(g, reader)
			g.Expect(body).To(Equal(fmt.Sprintf("/%d", answered)))
			closes = resp.Close
		}
		<-shutdown.done
		g.Expect(started).To(Equal(answered), "each request that was started has its response")
	})
}
