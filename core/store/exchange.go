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

// exchange is one request to the platform and the destination of its reply.
type exchange struct {
	breaker *breaker
	method  string
	path    string
	query   url.Values
	body    []byte
	// jsonReply receives the decoded body of a JSON reply, rawReply the body of
	// another reply.
	jsonReply any
	rawReply  *[]byte
	// notFound is the kind of the error for a reply with status 404.
	notFound fault.Kind
}

func (x *exchange) isWrite() bool {
	return x.method != http.MethodGet
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode a request to the store")
	}
	return b, nil
}

// do performs one exchange, subject to the circuit breaker, the rate limit and the
// timeout.
func (c *Client) do(ctx context.Context, x exchange) error {
	if err := x.breaker.admit(time.Now()); err != nil {
		return err
	}
	callerCtx := ctx
	ctx, cancel := context.WithTimeout(callerCtx, c.timeout)
	defer cancel()
	limit := c.readLimit
	if x.isWrite() {
		limit = c.writeLimit
	}
	if err := limit.acquire(ctx, x.breaker.lastClosed()); err != nil {
		x.breaker.abandon()
		return err
	}
	available, err := c.send(ctx, x)
	switch {
	case available:
		x.breaker.succeed(time.Now())
	case errors.Is(callerCtx.Err(), context.Canceled):
		// The caller cancelled the request, which says nothing about the store.
		x.breaker.abandon()
	default:
		x.breaker.fail(time.Now(), err)
	}
	return err
}

// send sends the request and stores the reply. available reports whether the reply
// shows that the store is in service; the breaker counts anything else as a failure.
func (c *Client) send(ctx context.Context, x exchange) (available bool, err error) {
	// A request counts as sent as soon as it has a connection, although its bytes
	// may still be in a buffer.
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	requestURL := c.baseURL + x.path
	if x.query != nil {
		requestURL += "?" + x.query.Encode()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.method, requestURL, bytes.NewReader(x.body))
	if err != nil {
		return false, fault.Wrap(err, fault.StoreUnavailable, "request to the store")
	}
	// Without GetBody the transport cannot repeat a write on its own.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return false, x.noReplyError(sent, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return false, x.noReplyError(true, err)
	}
	return x.handleReply(res.StatusCode, body)
}

// noReplyError returns the error for an exchange without a definite reply. A write
// that was sent may have taken effect.
func (x *exchange) noReplyError(sent bool, cause error) error {
	if sent && x.isWrite() {
		return fault.Wrap(cause, fault.StoreAmbiguous, "no definite reply from the store")
	}
	return fault.Wrap(cause, fault.StoreUnavailable, "no reply from the store")
}

// handleReply stores a successful reply or returns the error for its status. Only the
// statuses that the protocol defines for a write without effect show that a write
// had none; any other status may come from an intermediary.
func (x *exchange) handleReply(status int, body []byte) (available bool, err error) {
	switch status {
	case http.StatusOK:
		return x.decodeReply(body)
	case http.StatusNotFound:
		return true, fault.New(x.notFound, "%s", x.path)
	case http.StatusConflict:
		return true, fault.New(fault.StoreConflict, "%s", quote(body))
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return true, fault.New(fault.BadRequest, "%s", quote(body))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return false, fault.New(fault.StoreUnavailable, "status %d from the store: %s", status, quote(body))
	default:
		return false, x.noReplyError(true, fault.New(fault.StoreUnavailable, "status %d from the store", status))
	}
}

// maxQuoteBytes is the maximum length of the part of a reply that an error quotes.
const maxQuoteBytes = 1 << 10

// quote returns the start of the body of a reply for an error. The state of the client
// keeps the last error.
func quote(body []byte) string {
	return string(body[:min(len(body), maxQuoteBytes)])
}

// decodeReply stores the body of a successful reply in its destination. It reports
// whether the body could be decoded.
func (x *exchange) decodeReply(body []byte) (bool, error) {
	if x.rawReply != nil {
		*x.rawReply = body
		return true, nil
	}
	if x.jsonReply == nil {
		return true, nil
	}
	if err := json.Unmarshal(body, x.jsonReply); err != nil {
		return false, fault.Wrap(err, fault.StoreUnavailable, "malformed reply from the store")
	}
	return true, nil
}
