package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	g := NewWithT(t)
	h := newHeldHandler()
	s, dial := serve(t, h.handle)
	conn, r := dial()
	const count = 10
	sendGet(conn, "/0")
	sendGet(conn, "/1")
	g.Expect([]string{<-h.started, <-h.started}).To(ConsistOf("/0", "/1"))
	s.Drain()
	started := 2
	for answered := 0; answered < count; answered++ {
		sendGet(conn, fmt.Sprintf("/%d", answered+2))
		if answered == 0 {
			<-h.started
			started++
		}
		h.release(fmt.Sprintf("/%d", answered))
		resp, body := readResponse(g, r)
		g.Expect(body).To(Equal(fmt.Sprintf("/%d", answered)))
		if resp.Close {
			g.Expect(answered+1).To(Equal(started), "each request that was started has its response")
			return
		}
	}
	t.Fatalf("connection still open after %d responses", count)
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
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &runningServer{caller.NewServer(handle, func() route.Limits { return limits }), p}
		go s.run()
		defer s.server.Close()
		callerSide, serverSide := net.Pipe()
		p.conns <- serverSide
		reader := bufio.NewReader(callerSide)
		sendGet(callerSide, "/")
		synctest.Wait()
		s.server.Drain()
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
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &runningServer{caller.NewServer(handle, func() route.Limits { return limits }), p}
		go s.run()
		defer s.server.Close()
		callerSide, serverSide := net.Pipe()
		p.conns <- serverSide
		_, _ = fmt.Fprint(callerSide, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_, err := callerSide.Write(make([]byte, 1<<20))
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		close(release)
		_, body := readResponse(g, bufio.NewReader(callerSide))
		g.Expect(body).To(Equal("whole"))
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
		p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := &runningServer{caller.NewServer(echo, func() route.Limits { return limits }), p}
		go s.run()
		callerSide, serverSide := net.Pipe()
		p.conns <- serverSide
		synctest.Wait()
		shutdown := startShutdown(s.server)
		synctest.Wait()
		sendGet(callerSide, "/1")
		resp, body := readResponse(g, bufio.NewReader(callerSide))
		g.Expect(body).To(Equal("GET /1 "))
		g.Expect(resp.Close).To(BeTrue())
		<-shutdown.done
	})
}

// Guards against a request whose body is still arriving, and that is cut by a shutdown
// without a word.
func TestShutdownRefusesHalfReadRequest(t *testing.T) {
	for name, half := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHos",
		"body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na",
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
