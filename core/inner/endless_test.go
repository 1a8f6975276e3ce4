package inner

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"storj.io/drpc/drpcwire"
)

// writeEndlessMessage writes frames of a message that has no end until the connection
// fails, with a pause before each. It returns the number of bytes written.
func writeEndlessMessage(c net.Conn, kind drpcwire.Kind, frameBytes int, pause time.Duration) int {
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, frameBytes), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind,
	})
	written := 0
	for {
		time.Sleep(pause)
		n, err := c.Write(frame)
		if written += n; err != nil {
			return written
		}
	}
}

// Guards against a peer that sends a request without end, which the server keeps in memory.
func TestEndlessRequestOfPeerIsAborted(t *testing.T) {
	const maxBytes = 2 * MaxRequestBytes
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{Report: answerReport})
		raw, err := f.net.dial(t.Context(), "b:1")
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer raw.Close()
		c := tls.Client(raw, f.issue(f.authority, "a").clientTLS())
		f.g.Expect(c.HandshakeContext(t.Context())).To(gomega.Succeed())
		written := writeEndlessMessage(c, drpcwire.KindInvoke, 16<<10, 0)
		t.Logf("%d KiB sent", written>>10)
		f.g.Expect(written).To(gomega.BeNumerically("<", maxBytes))
		f.stopServer()
	})
}

// endlessPeer accepts one connection as VM "b" and sends a reply without end.
type endlessPeer struct {
	listener   *pipeListener
	identity   Identity
	frameBytes int
	pause      time.Duration
	written    int
	done       chan struct{}
}

func (p *endlessPeer) run() {
	defer close(p.done)
	raw, err := p.listener.Accept()
	if err != nil {
		return
	}
	defer raw.Close()
	c := tls.Server(raw, p.identity.serverTLS())
	if err := c.HandshakeContext(context.Background()); err != nil {
		return
	}
	r := &discarder{c}
	go r.run()
	p.written = writeEndlessMessage(c, drpcwire.KindMessage, p.frameBytes, p.pause)
}

// discarder discards what it reads.
type discarder struct{ source io.Reader }

func (d *discarder) run() {
	_, _ = io.Copy(io.Discard, d.source)
}

// Guards against a peer that sends a reply without end, which the client keeps in memory
// or awaits beyond the time for a call.
func TestEndlessReplyOfPeerIsAborted(t *testing.T) {
	const maxBytes = 2 * MaxReplyBytes
	cases := map[string]*endlessPeer{
		"at once": {frameBytes: 64 << 10},
		"dripped": {frameBytes: 1, pause: 100 * time.Millisecond},
	}
	for name, p := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Handlers{Report: answerReport})
				f.stopServer()
				p.listener, p.identity, p.done = f.net.listen("b:1"), f.issue(f.authority, "b"), make(chan struct{})
				go p.run()
				begin := time.Now()
				_, err := f.report()
				f.g.Expect(err).To(gomega.HaveOccurred())
				f.g.Expect(time.Since(begin)).To(gomega.BeNumerically("<=", DefaultCallTimeout))
				<-p.done
				t.Logf("%d KiB sent", p.written>>10)
				f.g.Expect(p.written).To(gomega.BeNumerically("<", maxBytes))
			})
		})
	}
}
