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

// maxInlineBody is the largest body that is written before the response is read.
// It fits in the socket buffers, so that the write does not block until the target
// reads. A larger body is written by another goroutine.
const maxInlineBody = 16 << 10

// RawRequest is a request that is forwarded as it is: unlike with http.Request, neither
// the request target nor the header is normalised or completed.
type RawRequest struct {
	Method string
	// RequestURI is the request target of the request line as the caller sent it, that is,
	// usually path and query.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// Matches reports whether a response belongs to this request; reused says that the
	// connection carried another exchange before. Other responses are read and discarded,
	// and the next one is read. If Matches is nil, the first response is returned.
	Matches func(r *http.Response, reused bool) bool
	// BeforeSend is called once there is a connection, before the first byte is sent. If it
	// fails, nothing is sent, and its error is the cause of that of the exchange. It may be
	// nil.
	BeforeSend func() error
}

// write writes the message in the format of HTTP/1.1.
func (m *RawRequest) write(w *bufio.Writer) error {
	_, _ = w.WriteString(m.Method + " " + m.RequestURI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if err := m.Header.Write(w); err != nil {
		return err
	}
	if len(m.Body) > 0 || needsContentLength(m.Method) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, err := w.Write(m.Body)
	return err
}

// needsContentLength reports whether a request with the method has a Content-Length
// header even if its body is empty.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Response is a response whose head was read and whose body is still to be read.
type Response struct {
	*http.Response
	// Reused is set if the connection had carried another exchange before.
	Reused bool
}

// Forward sends the message once and returns the response that belongs to it. The
// body of the response must be closed. A pooled connection is reused only if it was
// idle for at most maxIdle. Errors are of type [*Error].
func (p *Pool) Forward(ctx context.Context, m *RawRequest, maxIdle time.Duration) (*Response, error) {
	c, err := p.getConn(ctx, maxIdle)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { abort(c) })
	x := &exchange{pool: p, conn: c, stopAbort: stop, ctx: ctx}
	resp, err := x.forward(m)
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return &Response{Response: resp, Reused: c.reused}, nil
}

func (x *exchange) forward(m *RawRequest) (*http.Response, error) {
	x.conn.bytesSent = 0
	x.sender = &sender{conn: x.conn, write: m.write, done: make(chan struct{})}
	if m.BeforeSend != nil {
		if err := m.BeforeSend(); err != nil {
			return nil, newError(x.ctx, StageUnsent, err)
		}
	}
	if len(m.Body) <= maxInlineBody {
		x.sender.run()
		if err := x.sendError(); err != nil {
			return nil, err
		}
	} else {
		go x.sender.run()
	}
	return x.readMatching(m)
}

const (
	// maxUnmatchedBytes bounds the total size of the bodies of responses to other
	// requests that arrive before the response to this one.
	maxUnmatchedBytes = 1 << 20
	// maxUnmatched is the maximum number of such responses.
	maxUnmatched = 4
)

var (
	errUnmatchedTooLarge = errors.New("responses to other requests have no end or are larger than 1 MiB")
	errTooManyUnmatched  = errors.New("too many responses to other requests")
)

// readMatching reads responses until one belongs to the message. If others came before
// it, the connection is not reused, because its responses no longer correspond to the
// requests. The heads of all responses together are bounded like a single one, because
// a target may send responses without end.
func (x *exchange) readMatching(m *RawRequest) (*http.Response, error) {
	bytesLeft := int64(maxUnmatchedBytes)
	x.conn.headBytesLeft = maxHeadBytes
	for unmatched := 0; unmatched <= maxUnmatched; unmatched++ {
		resp, err := x.readFinalHead(&http.Request{Method: m.Method})
		if err != nil {
			return nil, err
		}
		if m.Matches != nil && !m.Matches(resp, x.conn.reused) {
			if bytesLeft, err = x.discardResponse(resp, bytesLeft); err != nil {
				return nil, err
			}
			continue
		}
		reusable := unmatched == 0 && !resp.Close && selfDelimited(m.Method, resp)
		x.conn.recordKeepAlive(resp.Header)
		x.wrapBody(resp, reusable)
		return resp, nil
	}
	return nil, newProtocolError(errTooManyUnmatched)
}

// discardResponse reads a response to another request to its end and returns how many
// of the bytesLeft remain. It fails if the body is larger than bytesLeft. The body is not
// closed, because Close would read the rest of a longer one.
func (x *exchange) discardResponse(resp *http.Response, bytesLeft int64) (int64, error) {
	if resp.Close || !selfDelimited(resp.Request.Method, resp) {
		return 0, newProtocolError(errors.New("connection ended after a response to another request"))
	}
	if resp.ContentLength > bytesLeft {
		return 0, newProtocolError(errUnmatchedTooLarge)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bytesLeft+1))
	switch {
	case err != nil:
		return 0, newError(x.ctx, StageBody, err)
	case n > bytesLeft:
		return 0, newProtocolError(errUnmatchedTooLarge)
	default:
		return bytesLeft - n, nil
	}
}

// selfDelimited reports whether the end of the response follows from its framing and
// not from the end of the connection.
func selfDelimited(method string, resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return resp.ContentLength >= 0 || chunked || hasNoBody(method, resp.StatusCode)
}

// maxKeepAliveSeconds is the longest timeout of a Keep-Alive header, a day.
const maxKeepAliveSeconds = 24 * 60 * 60

// recordKeepAlive stores the timeout of a Keep-Alive header, the idle time after which
// the target closes the connection.
func (c *conn) recordKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.keepAliveTimeout = time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		}
	}
}
