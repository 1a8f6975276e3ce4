package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// scriptedTarget is a target that answers each request on a connection with the next
// reply.
type scriptedTarget struct {
	replies []string
	// closeAtEnd closes the connection after the last reply.
	closeAtEnd bool
	// bytesPerWrite is the number of bytes that are sent at once; 0 if there is no limit.
	bytesPerWrite int
	dials         int
	seen          chan string
}

func (s *scriptedTarget) dial(context.Context, string, string) (net.Conn, error) {
	s.dials++
	daemonSide, targetSide := net.Pipe()
	go s.run(targetSide)
	return daemonSide, nil
}

func (s *scriptedTarget) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, reply := range s.replies {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.seen <- req.Method + " " + req.URL.Path
		s.send(c, reply)
	}
	if !s.closeAtEnd {
		_, _ = io.Copy(io.Discard, r)
	}
}

func (s *scriptedTarget) send(c net.Conn, reply string) {
	size := s.bytesPerWrite
	if size == 0 {
		size = len(reply)
	}
	for part := range slices.Chunk([]byte(reply), max(size, 1)) {
		_, _ = c.Write(part)
	}
}

func newScriptedTarget(closeAtEnd bool, replies ...string) *scriptedTarget {
	return &scriptedTarget{replies: replies, closeAtEnd: closeAtEnd, seen: make(chan string, len(replies))}
}

func get(ctx context.Context, p *Pool, method string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://target/stock", nil)
	if err != nil {
		return "", err
	}
	resp, err := p.Do(ctx, req, method == http.MethodPost)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const (
	okReply    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	chunkReply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)

var _ = Describe("Pool", func() {
	ctx := context.Background()

	It("reuses a connection after a response that ended as framed", func() {
		s := newScriptedTarget(false, okReply, chunkReply, okReply)
		p := NewPool("target", WithDial(s.dial))
		for range 3 {
			Expect(get(ctx, p, "GET")).To(Equal("ok"))
		}
		Expect(s.dials).To(Equal(1))
		Expect(p.Stats()).To(Equal(Stats{Open: 1, Idle: 1, Dials: 1}))
	})

	DescribeTable("never reuses a connection that could deliver the response to another request",
		func(reply string) {
			s := newScriptedTarget(false, reply, okReply)
			p := NewPool("target", WithDial(s.dial))
			_, _ = get(ctx, p, "GET")
			Expect(p.Stats().Idle).To(BeZero())
			Expect(p.Stats().Discards).To(BeEquivalentTo(1))
		},
		Entry("bytes after the response", okReply+"HTTP/1.1 200 OK\r\n"),
		Entry("Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n"),
		Entry("no framing", "HTTP/1.1 200 OK\r\n\r\nok"),
		Entry("no HTTP at all", "SSH-2.0-x\r\n\r\n"),
	)

	DescribeTable("reports a truncated response, so that it is not taken for a whole one",
		func(reply string) {
			p := NewPool("target", WithDial(newScriptedTarget(true, reply).dial))
			_, err := get(ctx, p, "GET")
			var f *Error
			Expect(errors.As(err, &f)).To(BeTrue())
			Expect(f.Stage).To(Equal(StageBody))
		},
		Entry("shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
		Entry("without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
	)

	It("reports a request as unsent when the dial fails, so that an order may be retried", func() {
		refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no route") }
		_, err := get(ctx, NewPool("target", WithDial(refuse)), "POST")
		var f *Error
		Expect(errors.As(err, &f)).To(BeTrue())
		Expect(f.Unsent()).To(BeTrue())
	})

	It("does not report a request as unsent when the target closes after it", func() {
		_, err := get(ctx, NewPool("target", WithDial(newScriptedTarget(true, "").dial)), "POST")
		var f *Error
		Expect(errors.As(err, &f)).To(BeTrue())
		Expect(f.Stage).To(Equal(StageHead))
		Expect(f.Unsent()).To(BeFalse())
	})

	It("refuses a response head without end, so that a target cannot exhaust memory", func() {
		long := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxHeadBytes) + "\r\n\r\n"
		_, err := get(ctx, NewPool("target", WithDial(newScriptedTarget(false, long).dial)), "GET")
		Expect(err).To(MatchError(errHeadTooLarge))
	})

	It("notices a connection that the target closed while it was idle", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		far, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		idle := newConn(c)
		Expect(idle.alive()).To(BeTrue())
		Expect(far.Close()).To(Succeed())
		Eventually(idle.alive).WithTimeout(10 * time.Second).Should(BeFalse())
	})
})

// Guards against a late response that is taken for the response to the next request on
// the same connection.
func TestConnectionIsClosedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newScriptedTarget(false, "", okReply)
		p := NewPool("target", WithDial(s.dial))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := get(ctx, p, "GET")
		var f *Error
		g.Expect(errors.As(err, &f)).To(BeTrue())
		g.Expect(f.TimedOut).To(BeTrue())
		g.Expect(p.Stats()).To(Equal(Stats{Dials: 1, Discards: 1}))
	})
}

// Guards against a non-idempotent request on a connection that was idle for long: the
// target is likelier to close it while the request is on the way, which would leave the
// outcome unknown.
func TestNonIdempotentRequestsAvoidLongIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newScriptedTarget(false, okReply, okReply)
		p := NewPool("target", WithDial(s.dial))
		g.Expect(get(context.Background(), p, "POST")).To(Equal("ok"))
		time.Sleep(2 * nonIdempotentMaxIdle)
		g.Expect(get(context.Background(), p, "POST")).To(Equal("ok"))
		g.Expect(s.dials).To(Equal(2))
		p.Close()
	})
}
