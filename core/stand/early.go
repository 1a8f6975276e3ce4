package stand

import (
	"io"
	"net"
	"net/http"
	"time"
)

// EarlyHandler answers each request before it reads its body, and then ends the connection.
type EarlyHandler struct {
	// Response is what it sends; it need not be valid HTTP.
	Response string
	// End ends the connection; body is the unread body of the request.
	End func(conn *net.TCPConn, body io.Reader)
}

// ServeHTTP sends the response and ends the connection.
func (h EarlyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, h.Response)
	if tcp, ok := conn.(*net.TCPConn); ok {
		h.End(tcp, io.LimitReader(buffer, max(r.ContentLength, 0)))
	}
}

// ResetAfter returns an end that resets the connection after the delay.
func ResetAfter(delay time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	}
}

// CloseAfter returns an end that closes the connection after the delay. The system resets
// it if a part of the body has arrived.
func CloseAfter(delay time.Duration) func(*net.TCPConn, io.Reader) {
	return func(*net.TCPConn, io.Reader) { time.Sleep(delay) }
}

// CloseWriteThenReset returns an end that closes the sending side and resets the connection
// after the delay.
func CloseWriteThenReset(delay time.Duration) func(*net.TCPConn, io.Reader) {
	reset := ResetAfter(delay)
	return func(conn *net.TCPConn, body io.Reader) {
		_ = conn.CloseWrite()
		reset(conn, body)
	}
}

// ReadThenClose reads the body to its end and then closes the connection.
func ReadThenClose(_ *net.TCPConn, body io.Reader) {
	_, _ = io.Copy(io.Discard, body)
}

// CloseWriteThenRead closes the sending side and then reads the body to its end.
func CloseWriteThenRead(conn *net.TCPConn, body io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}
