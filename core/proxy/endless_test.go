package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// endlessTarget responds to each request with prefix and then repeats a text until the
// connection ends, with a pause before each repetition.
type endlessTarget struct {
	prefix, repeat string
	pause          time.Duration
	written        atomic.Int64
	running        sync.WaitGroup
}

// endlessConn is a connection to an endlessTarget.
type endlessConn struct {
	target *endlessTarget
	conn   net.Conn
}

func (e *endlessTarget) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &endlessConn{e, server}
	e.running.Add(1)
	go c.run()
	return client, nil
}

func (c *endlessConn) run() {
	e := c.target
	defer e.running.Done()
	defer c.conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c.conn)); err != nil {
		return
	}
	n, err := io.WriteString(c.conn, e.prefix)
	for e.written.Add(int64(n)); err == nil; e.written.Add(int64(n)) {
		time.Sleep(e.pause)
		n, err = io.WriteString(c.conn, e.repeat)
	}
}

// countingWriter is a response writer that counts the bytes of the body and discards them.
type countingWriter struct {
	header http.Header
	status int
	bytes  int64
}

// Header returns the header of the response.
func (w *countingWriter) Header() http.Header {
	return w.header
}

// WriteHeader keeps the status.
func (w *countingWriter) WriteHeader(status int) {
	w.status = status
}

// Write counts the bytes.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += int64(len(p))
	return len(p), nil
}

// Flush does nothing.
func (w *countingWriter) Flush() {}

// serveAborted handles a request and reports whether the response was aborted.
func serveAborted(rl *Relay, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if err, ok := recover().(error); ok {
			aborted = errors.Is(err, http.ErrAbortHandler)
		}
	}()
	rl.ServeHTTP(w, r)
	return false
}

// Guards against a response without end that is kept in memory, holds a target's slot
// beyond the deadline of the request, or looks complete to its caller.
func TestEndlessResponseEndsAtDeadline(t *testing.T) {
	const deadline = 5 * time.Second
	const head = "HTTP/1.1 200 OK\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	piece := strings.Repeat("a", 16<<10)
	cases := map[string]struct {
		target *endlessTarget
		// streamed is true if the caller gets the start of the response.
		streamed bool
	}{
		"head":                  {target: &endlessTarget{prefix: head + "X: ", repeat: piece}},
		"no HTTP":               {target: &endlessTarget{repeat: piece}},
		"interim responses":     {target: &endlessTarget{repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)}},
		"body without a length": {target: &endlessTarget{prefix: head + "\r\n", repeat: piece}},
		"body with a length":    {&endlessTarget{prefix: head + "Content-Length: 9999999999\r\n\r\n", repeat: piece}, true},
		"chunks":                {&endlessTarget{prefix: chunked, repeat: "4000\r\n" + piece + "\r\n"}, true},
		"chunk extension":       {&endlessTarget{prefix: chunked + "1;", repeat: piece}, true},
		"trailers":              {&endlessTarget{prefix: chunked + "0\r\n", repeat: strings.Repeat("X: y\r\n", 100)}, true},
		"dripped head":          {target: &endlessTarget{prefix: head, repeat: "a", pause: 100 * time.Millisecond}},
		"dripped body":          {&endlessTarget{prefix: head + "Content-Length: 999999\r\n\r\n", repeat: "a", pause: 100 * time.Millisecond}, true},
		"dripped short body":    {target: &endlessTarget{prefix: head + "Content-Length: 999\r\n\r\n", repeat: "a", pause: 100 * time.Millisecond}},
		"dripped chunks":        {&endlessTarget{prefix: chunked, repeat: "1\r\na\r\n", pause: 100 * time.Millisecond}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				c.target.pause = max(c.target.pause, time.Millisecond)
				service := &fleet.Service{ID: "disponible", Workspace: "cortavientos", Routes: []fleet.Route{lookupRoute()}}
				service.Policy = fleet.Policy{RetryBudget: 1, QueueLength: 16, AddressTTL: 30 * time.Second}
				service.Targets = []fleet.Target{{ID: "t1", Address: "target:80", Slots: 2}}
				upstream := NewUpstream(fleet.VM{ID: "vm1"}, service, WithTargetDial(c.target.dial))
				upstream.Update(service, []limit.Target{{ID: "t1", Slots: 2, State: choose.Ready, Weight: 1, SameDataCentre: true}}, nil)
				defer upstream.Close()
				rl := NewRelay(fleet.VM{ID: "vm1"}, FleetView{
					Upstream:     func(fleet.ServiceID) (*Upstream, bool) { return upstream, true },
					HasWorkspace: func(fleet.WorkspaceID) bool { return true },
					Ready:        func() bool { return true },
					Leaving:      func() bool { return false },
				}, nil)
				req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/stock", nil)
				req.Header.Set(HeaderService, "disponible")
				w := &countingWriter{header: http.Header{}, status: http.StatusOK}
				begin := time.Now()
				aborted := serveAborted(rl, w, req)
				g.Expect(time.Since(begin)).To(gomega.BeNumerically("<=", deadline))
				g.Expect(aborted).To(gomega.Equal(c.streamed))
				if !c.streamed {
					g.Expect(w.status).To(gomega.BeNumerically(">=", http.StatusInternalServerError))
				}
				c.target.running.Wait()
				g.Expect(upstream.State().Connections["t1"].Open).To(gomega.BeZero())
				t.Logf("after %s: status %d, %d KiB sent, %d KiB passed on", time.Since(begin), w.status, c.target.written.Load()>>10, w.bytes>>10)
				g.Expect(c.target.written.Load() - w.bytes).To(gomega.BeNumerically("<", 1<<20))
			})
		})
	}
}
