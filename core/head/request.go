package head

import (
	"net/http"
	"net/http/httptrace"
	"sync"
)

// request is a request on its way to a server.
type request struct {
	// sent is closed once the request is sent or sending it has failed.
	sent     chan struct{}
	sentOnce sync.Once
}

// trace returns the request with a trace that tells the connection when it is sent. The
// connection does not learn this through TLS, where HTTP/2 sends requests side by side.
func (r *request) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.request.Store(r)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			r.sentOnce.Do(func() { close(r.sent) })
		},
	}))
}
