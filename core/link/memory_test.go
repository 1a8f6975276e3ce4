package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// stallingTarget is a target that sends a text on each connection and then nothing more.
type stallingTarget struct {
	text string
}

func (s *stallingTarget) dial(context.Context, string, string) (net.Conn, error) {
	daemonSide, targetSide := net.Pipe()
	go s.run(targetSide)
	return daemonSide, nil
}

func (s *stallingTarget) run(c net.Conn) {
	defer c.Close()
	buffer := make([]byte, 4<<10)
	_, _ = c.Read(buffer)
	_, _ = c.Write([]byte(s.text))
	_, _ = c.Read(buffer)
}

// pendingExchange is an exchange with a target that does not complete its response.
type pendingExchange struct {
	pool *Pool
	done sync.WaitGroup
}

func (e *pendingExchange) run(ctx context.Context) {
	defer e.done.Done()
	m := &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h"}
	_, _ = e.pool.Forward(ctx, m, time.Minute)
}

// heapInUse returns the number of bytes of reachable objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against heads that take a multiple of their size in memory because they consist
// of many short fields, while many targets send such heads and never complete them.
func TestMemoryOfUnfinishedHeadsIsBounded(t *testing.T) {
	const exchanges = 100
	const limitPerExchange = 256 << 10
	var fields strings.Builder
	for i := 0; fields.Len() < maxHeadBytes-100; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	cases := map[string]string{
		"one long field":     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxHeadBytes-100),
		"many short fields":  "HTTP/1.1 200 OK\r\n" + fields.String(),
		"one repeated field": "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", (maxHeadBytes-100)/4),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &stallingTarget{text: text}
				e := &pendingExchange{pool: NewPool("target", WithDial(target.dial))}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				before := heapInUse()
				for range exchanges {
					e.done.Add(1)
					go e.run(ctx)
				}
				synctest.Wait()
				used := (heapInUse() - before) / exchanges
				t.Logf("%d bytes for each exchange", used)
				g.Expect(used).To(BeNumerically("<", limitPerExchange))
				cancel()
				e.done.Wait()
			})
		})
	}
}

// Guards against whole responses that are rejected because lines of their bodies count as
// lines of a head.
func TestLinesOfBodyAreNotCountedAsHead(t *testing.T) {
	g := NewWithT(t)
	body := strings.Repeat("\n", 8<<10)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + strings.Repeat("Link: a\r\n", maxHeadLines-10)
	response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	target := newScriptedTarget(true, response, response)
	p := NewPool("target", WithDial(target.dial))
	defer p.Close()
	for range 2 {
		_, got, err := forwardAndRead(t, p, "r1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(body))
	}
	g.Expect(target.dials).To(Equal(1))
}
