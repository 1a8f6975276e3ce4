package head

import "net/http"

// Transport is an HTTP transport that fails if the head of a response is not valid.
type Transport struct {
	*http.Transport
}

// RoundTrip sends the request and returns its response if the head is valid.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
