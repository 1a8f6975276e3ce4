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
)

// callTimeout exceeds the time that a daemon takes for a roll-out while many
// daemons do not answer.
const callTimeout = 30 * time.Second

// request is one call of the administration API.
type request struct {
	method string
	path   string
	query  url.Values
	// body is encoded as JSON; bytes are sent as they are.
	body any
}

func get(path string, query url.Values) request {
	return request{method: http.MethodGet, path: path, query: query}
}

func post(path string, body any) request {
	return request{method: http.MethodPost, path: path, body: body}
}

// segment escapes one element of a path.
func segment(s string) string { return url.PathEscape(s) }

// send carries out a request and decodes its reply. A request that changes
// something and gets no reply is in doubt.
func send(ctx context.Context, c *cli.Command, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := newRequest(ctx, c, r)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return noReply(r, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return noReply(r, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(r, resp.Status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "reply of the daemon")
	}
	return nil
}

func newRequest(ctx context.Context, c *cli.Command, r request) (*http.Request, error) {
	if c.String("operator-token") == "" {
		return nil, wrongUsage("--operator-token or WISTERIA_OPERATOR_TOKEN is needed")
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
		return nil, wrongUsage("--admin %q; allowed: a URL such as http://10.10.1.1:7200", c.String("admin"))
	}
	address := strings.TrimSuffix(base.String(), "/") + "/v1" + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(data))
	if err != nil {
		return nil, wrongUsage("--admin: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.String("operator-token"))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func noReply(r request, err error) error {
	if r.method == http.MethodGet || isDialError(err) {
		return errors.Wrap(err, "no reply")
	}
	return &unknown{detail: err.Error()}
}

func refusal(r request, status string, data []byte) error {
	p := &admin.Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Kind == "" {
		return errors.Newf("status %s without problem details", status)
	}
	if r.method == http.MethodGet {
		// A read that fails leaves nothing in doubt.
		p.Outcome = ""
	}
	return p
}

// isDialError reports whether no connection was made, so that the request
// cannot have arrived.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
