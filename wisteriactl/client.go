package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/head"
)

// callTimeout is longer than a daemon takes to report a roll-out while many other
// daemons do not answer.
const callTimeout = 30 * time.Second

// apiClient sends the requests to the administration API.
var apiClient = &http.Client{Transport: head.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// apiRequest is a request to the administration API. Its path is relative to /v1.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	// body is encoded as JSON, unless it is a []byte, which is sent unchanged.
	body any
}

func get(path string, query url.Values) apiRequest {
	return apiRequest{method: http.MethodGet, path: path, query: query}
}

func post(path string, body any) apiRequest {
	return apiRequest{method: http.MethodPost, path: path, body: body}
}

// escapeSegment escapes one segment of a URL path.
func escapeSegment(s string) string { return url.PathEscape(s) }

// send sends a request and decodes the reply. If a request other than GET was sent
// but no reply arrived, the outcome is unknown and send returns an
// outcomeUnknownError.
func send(ctx context.Context, c *cli.Command, r apiRequest, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := newRequest(ctx, c, r)
	if err != nil {
		return err
	}
	resp, err := apiClient.Do(req)
	if err != nil {
		return transportError(r, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return transportError(r, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(r, resp.Status, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return errors.Wrap(err, "cannot decode the daemon's reply")
	}
	return nil
}

func newRequest(ctx context.Context, c *cli.Command, r apiRequest) (*http.Request, error) {
	if c.String("operator-token") == "" {
		return nil, newUsageError("--operator-token or WISTERIA_OPERATOR_TOKEN is needed")
	}
	data, isBytes := r.body.([]byte)
	if !isBytes && r.body != nil {
		var err error
		if data, err = json.Marshal(r.body); err != nil {
			return nil, err
		}
	}
	base, err := url.Parse(c.String("admin"))
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, newUsageError("--admin %q; allowed: a URL such as http://10.10.1.1:7200", c.String("admin"))
	}
	address := strings.TrimSuffix(base.String(), "/") + "/v1" + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(data))
	if err != nil {
		return nil, newUsageError("--admin: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.String("operator-token"))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// transportError returns the error for a request that got no complete response. The
// outcome is unknown unless the request only reads or cannot have been sent.
func transportError(r apiRequest, err error) error {
	if r.method == http.MethodGet || isDialError(err) {
		return errors.Wrap(err, "no reply")
	}
	return &outcomeUnknownError{detail: err.Error()}
}

// responseError returns the error for a response with an error status: the problem
// document in its body, if there is one.
func responseError(r apiRequest, status string, data []byte) error {
	p := &admin.Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Kind == "" {
		return errors.Newf("status %s without problem details", status)
	}
	if r.method == http.MethodGet {
		// A failed read changes nothing, so there is no outcome to ask for.
		p.Outcome = ""
	}
	return p
}

// isDialError reports whether the connection could not be established, in which
// case the request was not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
