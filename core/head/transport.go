package head

import (
	"net"
	"net/http"
)

// Transport is an HTTP transport that fails if the head of a response is not valid, or if
// the connection was reset before the end of a response that ends with it.
type Transport struct {
	transport *http.Transport
}

// NewTransport returns a Transport that sends requests with t. It changes how t opens
// connections, so t must not be used before.
func NewTransport(t *http.Transport) Transport {
	dial := dialFunc(t.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = dial.dial
	return Transport{transport: t}
}

// RoundTrip sends the request and returns its response if the head is valid.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var tr tracer
	resp, err := t.transport.RoundTrip(tr.trace(req))
	if err != nil {
		return nil, err
	}
	if err := tr.check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t Transport) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}
