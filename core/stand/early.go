package stand

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// EarlyHandler answers each request before it reads its body, and then ends the connection.
type EarlyHandler struct {
	// Response is what it sends; it need not be valid HTTP.
	Response string
	End      ConnEnd
}

// ConnEnd ends a connection; body is the unread body of the request on it.
type ConnEnd func(conn *net.TCPConn, body io.Reader)

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
func ResetAfter(delay time.Duration) ConnEnd {
	return func(conn *net.TCPConn, _ io.Reader) {
		sleep(context.Background(), delay)
		_ = conn.SetLinger(0)
	}
}

// CloseAfter returns an end that closes the connection after the delay. The system resets
// it if a part of the body has arrived.
func CloseAfter(delay time.Duration) ConnEnd {
	return func(*net.TCPConn, io.Reader) { sleep(context.Background(), delay) }
}

// CloseWriteThenReset returns an end that closes the sending side and resets the connection
// after the delay.
func CloseWriteThenReset(delay time.Duration) ConnEnd {
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

// ResetEnds returns the ends that reset the connection after a delay if the body is long.
func ResetEnds() map[string]func(delay time.Duration) ConnEnd {
	return map[string]func(time.Duration) ConnEnd{
		"reset": ResetAfter, "close": CloseAfter, "end of stream, then reset": CloseWriteThenReset,
	}
}

// earlyDelays is the number of delays that CountWhole tries, a millisecond apart.
const earlyDelays = 10

// CountWhole sends requests to a server that answers early and ends the connection after a
// delay that differs from try to try. It returns how many requests succeeded.
func CountWhole(tries int, response string, endAfter func(time.Duration) ConnEnd, send func(EarlyHandler) error) int {
	whole := 0
	for i := range tries {
		delay := time.Duration(i%earlyDelays) * time.Millisecond
		if send(EarlyHandler{Response: response, End: endAfter(delay)}) == nil {
			whole++
		}
	}
	return whole
}
