package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// lingerTimeout is how long a connection is read on after its last answer. A
// close with unread bytes resets the connection and may destroy that answer.
const lingerTimeout = time.Second

// answers writes the answers of one connection in the order of the requests.
type answers struct {
	conn *conn
	// broken says that the caller cannot be reached any more.
	broken bool
}

// run ends when the reader has ended and all answers are written.
func (w *answers) run() {
	c := w.conn
	defer c.server.forget(c)
	defer c.leave()
	defer c.net.Close()
	for x := range c.queue {
		w.next(x, <-x.done)
		c.end()
	}
	w.linger()
}

func (w *answers) next(x *exchange, a *Answer) {
	if a.Done != nil {
		defer a.Done()
	}
	if a.Rest != nil {
		defer a.Rest.Close()
	}
	if w.broken {
		return
	}
	last := x.last
	if w.conn.server.closing.Load() {
		last = w.conn.endAfterThis() || last
	}
	if err := w.write(x, a, last); err != nil {
		w.broken = true
		w.conn.leave()
		_ = w.conn.net.Close()
		return
	}
	if last {
		// Wakes a reader that waits for a further request.
		_ = w.conn.net.SetReadDeadline(time.Unix(1, 0))
	}
}

func (w *answers) write(x *exchange, a *Answer, last bool) error {
	c := w.conn
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.head(a, last)
	if err := w.body(x, a); err != nil {
		return err
	}
	return c.writer.Flush()
}

// linger closes the sending side and reads until the caller closes too.
func (w *answers) linger() {
	tcp, ok := w.conn.net.(*net.TCPConn)
	if !ok || w.broken {
		return
	}
	if err := tcp.CloseWrite(); err != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcp)
}

func (w *answers) head(a *Answer, last bool) {
	b := w.conn.writer
	_, _ = fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	_ = a.Header.Write(b)
	switch {
	case a.Length >= 0:
		_, _ = b.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	default:
		_, _ = b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if last {
		_, _ = b.WriteString("Connection: close\r\n")
	} else {
		idle := int(w.conn.server.limits().IdleTimeout / time.Second)
		_, _ = fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", idle)
	}
	_, _ = b.WriteString("\r\n")
}

// body writes the body; an error leaves the answer visibly incomplete.
func (w *answers) body(x *exchange, a *Answer) error {
	if x.request != nil && x.request.Method == http.MethodHead {
		return nil
	}
	out := io.Writer(w.conn.writer)
	if a.Length < 0 {
		out = chunks{w.conn.writer}
	}
	if len(a.Body) > 0 {
		if _, err := out.Write(a.Body); err != nil {
			return err
		}
	}
	if a.Rest != nil {
		if _, err := io.Copy(out, extending{a.Rest, w.conn}); err != nil {
			return err
		}
	}
	if a.Length < 0 {
		_, err := io.WriteString(w.conn.writer, "0\r\n\r\n")
		return err
	}
	return nil
}

// extending moves the write deadline on while a long body makes progress.
type extending struct {
	io.Reader
	conn *conn
}

// Read reads on and renews the write deadline.
func (e extending) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	_ = e.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	return n, err
}

// chunks writes each piece as one chunk.
type chunks struct {
	out io.Writer
}

// Write writes one chunk.
func (c chunks) Write(p []byte) (int, error) {
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
