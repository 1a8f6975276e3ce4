package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"wisteriarelay.example/core/fault"
)

// exchange is one request to the platform and where its reply goes.
type exchange struct {
	part   *breaker
	method string
	path   string
	query  url.Values
	body   []byte
	// into receives a JSON reply, raw a reply of bytes.
	into any
	raw  *[]byte
	// missing is the kind of a reply with status 404.
	missing fault.Kind
}

func (x *exchange) write() bool {
	return x.method != http.MethodGet
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode a request to the store")
	}
	return b, nil
}

// do carries out one exchange within breaker, budget and timeout.
func (c *Client) do(ctx context.Context, x exchange) error {
	if err := x.part.admit(time.Now()); err != nil {
		return err
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, c.timeout)
	defer cancel()
	limit := c.reads
	if x.write() {
		limit = c.writes
	}
	if err := limit.take(ctx, x.part.reopened()); err != nil {
		x.part.abandon()
		return err
	}
	answered, err := c.send(ctx, x)
	switch {
	case answered:
		x.part.succeed(time.Now())
	case errors.Is(caller.Err(), context.Canceled):
		// The caller left, which says nothing about the store.
		x.part.abandon()
	default:
		x.part.fail(time.Now(), err)
	}
	return err
}

// send returns whether the store gave a definite reply of its own, and the result.
func (c *Client) send(ctx context.Context, x exchange) (answered bool, err error) {
	// A request counts as sent from the moment it has a connection, even if
	// its bytes may still be in a buffer.
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	target := c.base + x.path
	if x.query != nil {
		target += "?" + x.query.Encode()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.method, target, bytes.NewReader(x.body))
	if err != nil {
		return false, fault.Wrap(err, fault.StoreUnavailable, "request to the store")
	}
	// Without GetBody the transport never sends a write a second time by itself.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return false, x.noReply(sent, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return false, x.noReply(true, err)
	}
	return x.result(res.StatusCode, body)
}

// noReply returns the error of an exchange without a definite reply.
func (x *exchange) noReply(sent bool, cause error) error {
	if sent && x.write() {
		return fault.Wrap(cause, fault.StoreAmbiguous, "no definite reply from the store")
	}
	return fault.Wrap(cause, fault.StoreUnavailable, "no reply from the store")
}

// result maps a reply. Only the statuses that the protocol defines for a write
// without effect are definite; any other may come from something in between.
func (x *exchange) result(status int, body []byte) (answered bool, err error) {
	switch status {
	case http.StatusOK:
		return x.accept(body)
	case http.StatusNotFound:
		return true, fault.New(x.missing, "%s", x.path)
	case http.StatusConflict:
		return true, fault.New(fault.StoreConflict, "%s", body)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return true, fault.New(fault.BadRequest, "%s", body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return false, fault.New(fault.StoreUnavailable, "status %d from the store: %s", status, body)
	default:
		return false, x.noReply(true, fault.New(fault.StoreUnavailable, "status %d from the store", status))
	}
}

func (x *exchange) accept(body []byte) (bool, error) {
	if x.raw != nil {
		*x.raw = body
		return true, nil
	}
	if x.into == nil {
		return true, nil
	}
	if err := json.Unmarshal(body, x.into); err != nil {
		return false, fault.Wrap(err, fault.StoreUnavailable, "malformed reply from the store")
	}
	return true, nil
}
