package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// lingerTimeout is how long a connection is still read after the last response. Closing
// it with unread bytes would reset it, and the caller might lose the response.
const lingerTimeout = time.Second

// responseWriter writes the responses of one connection in the order of the requests.
type responseWriter struct {
	conn *conn
	// failed is set after a failed write. Further responses are discarded.
	failed bool
	// closed is set after a response that closes the connection.
	closed bool
}

// run writes responses until no further requests are read and all are written, and then
// closes the connection.
func (w *responseWriter) run() {
	c := w.conn
	defer c.server.removeConn(c)
	defer c.cancel()
	defer c.netConn.Close()
	for x := range c.exchanges {
		if x.interim {
			w.writeInterim()
			continue
		}
		w.writeNext(x, <-x.response)
		c.endRequest()
	}
	w.linger()
}

func (w *responseWriter) writeNext(x *exchange, resp *Response) {
	defer x.reservation.release()
	if resp.Release != nil {
		defer resp.Release()
	}
	if resp.UnreadBody != nil {
		defer resp.UnreadBody.Close()
	}
	if resp.Abort != nil {
		stop := context.AfterFunc(w.conn.ctx, resp.Abort)
		defer stop()
	}
	if w.failed {
		return
	}
	closeAfter := x.closeAfter
	if w.conn.server.draining.Load() {
		closeAfter = w.conn.closeAfterCurrent() || closeAfter
	}
	x.writing.Store(true)
	if err := w.writeResponse(x, resp, closeAfter); err != nil {
		w.failed = true
		if w.conn.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
			w.conn.server.logUnanswered("response not written", x.open(time.Now()), "err", err)
		}
		w.conn.cancel()
		_ = w.conn.netConn.Close()
		return
	}
	if closeAfter {
		w.closed = true
		w.conn.reads.endAt(time.Unix(1, 0))
	}
}

// writeInterim tells the caller to send the body of its request. Nothing may follow a
// response that closes the connection.
func (w *responseWriter) writeInterim() {
	c := w.conn
	if w.failed || w.closed {
		return
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	if err := c.writer.Flush(); err != nil {
		w.failed = true
		c.cancel()
		_ = c.netConn.Close()
	}
}

func (w *responseWriter) writeResponse(x *exchange, resp *Response, closeAfter bool) error {
	c := w.conn
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.writeHead(resp, closeAfter)
	if err := w.writeBody(x, resp); err != nil {
		return err
	}
	return c.writer.Flush()
}

// linger closes the sending side of the connection and reads until the caller closes
// its side, for at most lingerTimeout.
func (w *responseWriter) linger() {
	tcp, ok := w.conn.netConn.(*net.TCPConn)
	if !ok || w.failed {
		return
	}
	if err := tcp.CloseWrite(); err != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcp)
}

func (w *responseWriter) writeHead(resp *Response, closeAfter bool) {
	b := w.conn.writer
	_, _ = fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", resp.Status, http.StatusText(resp.Status))
	_ = resp.Header.Write(b)
	switch {
	case resp.ContentLength >= 0:
		_, _ = b.WriteString("Content-Length: " + strconv.FormatInt(resp.ContentLength, 10) + "\r\n")
	default:
		_, _ = b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if closeAfter {
		_, _ = b.WriteString("Connection: close\r\n")
	} else {
		idleSeconds := int(w.conn.server.limits().IdleTimeout / time.Second)
		_, _ = fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", idleSeconds)
	}
	_, _ = b.WriteString("\r\n")
}

// writeBody writes the body. After an error, the framing shows the caller that the
// response is incomplete.
func (w *responseWriter) writeBody(x *exchange, resp *Response) error {
	if x.request != nil && x.request.Method == http.MethodHead {
		return nil
	}
	out := io.Writer(w.conn.writer)
	if resp.ContentLength < 0 {
		out = chunkWriter{w.conn.writer}
	}
	if len(resp.Body) > 0 {
		if err := w.writeBuffered(out, resp.Body); err != nil {
			return err
		}
	}
	if resp.UnreadBody != nil {
		if _, err := io.Copy(out, deadlineExtender{resp.UnreadBody, w.conn}); err != nil {
			return err
		}
	}
	if resp.ContentLength < 0 {
		_, err := io.WriteString(w.conn.writer, "0\r\n\r\n")
		return err
	}
	return nil
}

// writePiece is the size in bytes of the pieces of a buffered body for each of which the
// write deadline is renewed.
const writePiece = 16 << 10

// writeBuffered writes a buffered body. With a bounded memory many callers read slowly, so
// the write timeout applies to each piece: a caller that reads at all is not cut off.
func (w *responseWriter) writeBuffered(out io.Writer, body []byte) error {
	if !w.conn.server.memory.Bounded() {
		_, err := out.Write(body)
		return err
	}
	for len(body) > 0 {
		n, err := out.Write(body[:min(len(body), writePiece)])
		if err != nil {
			return err
		}
		body = body[n:]
		_ = w.conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return nil
}

// deadlineExtender extends the write deadline while a long body makes progress.
type deadlineExtender struct {
	io.Reader
	conn *conn
}

// Read reads from the body and renews the write deadline.
func (e deadlineExtender) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	_ = e.conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return n, err
}

// chunkWriter writes each slice as one chunk of the chunked transfer coding.
type chunkWriter struct {
	out io.Writer
}

// Write writes p as one chunk. It ignores an empty p, which would end the body.
func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(c.out, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	n, err := c.out.Write(p)
	if err != nil {
		return n, err
	}
	_, err = io.WriteString(c.out, "\r\n")
	return n, err
}
