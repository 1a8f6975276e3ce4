package link

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// inlineBody is the size up to which a body is written before the response is
// read. It fits in the socket buffers, so that the write does not wait for the
// target to read.
const inlineBody = 16 << 10

// Message is a request that is forwarded byte for byte: neither the request
// target nor the header is cleaned or completed.
type Message struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether a response belongs to this request. A response that
	// does not is read and dropped, and the next one is expected.
	Owns func(*http.Response) bool
}

// write writes the message in HTTP/1.1 form.
func (m *Message) write(w *bufio.Writer) error {
	_, _ = w.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if err := m.Header.Write(w); err != nil {
		return err
	}
	if len(m.Body) > 0 || bodyExpected(m.Method) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, err := w.Write(m.Body)
	return err
}

// bodyExpected reports whether a request of the method states a length even
// without a body.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Response is a response with its head read and its body still to be read.
type Response struct {
	*http.Response
	// Reused says that the connection had carried an exchange before.
	Reused bool
}

// Forward sends the message once and returns the response that belongs to it.
// The body must be closed. A connection is reused only if it was idle for at
// most maxIdle. Errors are of type *Failure.
func (p *Pool) Forward(ctx context.Context, m *Message, maxIdle time.Duration) (*Response, error) {
	c, err := p.getWithin(ctx, maxIdle)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { abort(c) })
	x := &exchange{pool: p, conn: c, stop: stop, ctx: ctx}
	resp, err := x.forward(m)
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return &Response{Response: resp, Reused: c.used}, nil
}

func (x *exchange) forward(m *Message) (*http.Response, error) {
	x.conn.sent = 0
	x.sender = &sender{conn: x.conn, write: m.write, done: make(chan struct{})}
	if len(m.Body) <= inlineBody {
		x.sender.run()
		if err := x.sendError(); err != nil {
			return nil, err
		}
	} else {
		go x.sender.run()
	}
	return x.readOwn(m)
}

const (
	// maxForeignBytes bounds the bodies of responses that belong to other requests
	// and come before the own one, maxForeign their number.
	maxForeignBytes = 1 << 20
	maxForeign      = 4
)

var (
	errForeignTooLarge = errors.New("responses to other requests have no end or are larger than 1 MiB")
	errForeignTooMany  = errors.New("too many responses to other requests")
)

// readOwn reads responses until one belongs to the message. A target that sent
// an extra response is out of step, so its connection is not kept. The heads of
// all of them together are bounded like one: a target may send without end.
func (x *exchange) readOwn(m *Message) (*http.Response, error) {
	left := int64(maxForeignBytes)
	x.conn.headLeft = maxHeadBytes
	for foreign := 0; foreign <= maxForeign; foreign++ {
		resp, err := x.readResponse(&http.Request{Method: m.Method})
		if err != nil {
			return nil, err
		}
		if m.Owns != nil && !m.Owns(resp) {
			if left, err = x.skip(resp, left); err != nil {
				return nil, err
			}
			continue
		}
		keep := foreign == 0 && !resp.Close && endIsKnown(m.Method, resp)
		x.conn.noteKeepAlive(resp.Header)
		resp.Body = &body{exchange: x, inner: resp.Body, keep: keep}
		return resp, nil
	}
	return nil, newProtocolFailure(errForeignTooMany)
}

// skip reads a response that belongs to another request to its end, at most the
// given number of bytes, and returns how many are left of them. The body is not
// closed, because that would read it to its end.
func (x *exchange) skip(resp *http.Response, left int64) (int64, error) {
	if resp.Close || !endIsKnown(resp.Request.Method, resp) {
		return 0, newProtocolFailure(errors.New("connection ended after a response to another request"))
	}
	if resp.ContentLength > left {
		return 0, newProtocolFailure(errForeignTooLarge)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, left+1))
	switch {
	case err != nil:
		return 0, newFailure(x.ctx, StageBody, err)
	case n > left:
		return 0, newProtocolFailure(errForeignTooLarge)
	default:
		return left - n, nil
	}
}

// endIsKnown reports whether the end of the response does not depend on the
// end of the connection.
func endIsKnown(method string, resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return resp.ContentLength >= 0 || chunked || bodyless(method, resp.StatusCode)
}

// noteKeepAlive takes over the idle time after which the target closes the
// connection.
func (c *conn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.keepAlive = time.Duration(seconds) * time.Second
		}
	}
}
