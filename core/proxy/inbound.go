package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// maxBufferedBody is the size in bytes up to which a body is kept in memory. A
// request body up to this size can be sent again to another target. A response
// body up to this size is checked to be complete before the caller gets a byte.
const maxBufferedBody = 64 << 10

// inboundRequest is a request of a caller with its route, workspace and deadline.
type inboundRequest struct {
	request   *http.Request
	requestID string
	arrived   time.Time
	service   *fleet.Service
	route     *fleet.Route
	workspace fleet.WorkspaceID
	deadline  time.Time
	// body holds the whole body if buffered is set; larger bodies are streamed
	// and cannot be sent a second time.
	body     []byte
	buffered bool
}

// newInboundRequest matches the request to a route of the service, determines its
// deadline and reads its body if it is small enough to be kept in memory.
func newInboundRequest(w http.ResponseWriter, r *http.Request, service *fleet.Service, id string, now time.Time) (*inboundRequest, error) {
	in := &inboundRequest{request: r, requestID: id, arrived: now, service: service}
	route, found, allowed := service.RouteFor(r.Method, r.URL.Path)
	switch {
	case !found:
		return nil, fault.New(fault.UnknownRoute, "service %s has no route for path %q", service.ID, r.URL.Path)
	case !allowed:
		return nil, fault.New(fault.MethodNotAllowed, "no route of service %s admits %s on path %q", service.ID, r.Method, r.URL.Path)
	}
	in.route = route
	in.workspace = fleet.WorkspaceID(r.Header.Get(HeaderWorkspace))
	if in.workspace == "" {
		in.workspace = service.Workspace
	}
	requested, err := requestedTimeout(r)
	if err != nil {
		return nil, err
	}
	in.deadline = requestDeadline(r.Context(), now, route.Deadline, requested)
	return in, in.readBodyBeforeDeadline(http.NewResponseController(w))
}

// writeGrace is the time after the deadline of a request within which the caller
// has to read the rest of the response. Without this limit, a caller that stops
// reading would hold the slot of the target forever.
const writeGrace = 5 * time.Second

// readBodyBeforeDeadline reads the body with the deadline of the request as the
// read deadline of the connection. Once the body has been read, the read deadline
// is removed, because net/http continues to read from the connection to detect
// that the caller disconnects while the request is handled.
func (in *inboundRequest) readBodyBeforeDeadline(control *http.ResponseController) error {
	_ = control.SetWriteDeadline(in.deadline.Add(writeGrace))
	if in.request.ContentLength == 0 {
		return in.readBody()
	}
	_ = control.SetReadDeadline(in.deadline)
	err := in.readBody()
	if in.buffered {
		_ = control.SetReadDeadline(time.Time{})
	}
	return err
}

// requestedTimeout returns the time that the caller allows for its request, 0 if it
// states none.
func requestedTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	const maxMillis = int64(24 * time.Hour / time.Millisecond)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxMillis {
		return 0, fault.New(fault.BadRequest, "%s must be a whole number from 1 to %d", HeaderDeadline, maxMillis)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads a body of up to maxBufferedBody bytes into memory and leaves a
// larger one to be streamed. The body of an order is always read whole and is
// limited to maxOrderBody bytes.
func (in *inboundRequest) readBody() error {
	r := in.request
	if r.ContentLength > in.route.MaxBody {
		return fault.New(fault.RequestTooLarge, "body of %d bytes is larger than %d", r.ContentLength, in.route.MaxBody)
	}
	if r.ContentLength == 0 {
		in.buffered = true
		return nil
	}
	maxBuffer := int64(maxBufferedBody)
	if !in.route.Idempotent {
		maxBuffer = maxOrderBody
	}
	if r.ContentLength > maxBuffer && in.route.Idempotent {
		return nil
	}
	limit := min(maxBuffer, in.route.MaxBody)
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return fault.Wrap(err, fault.BadRequest, "request body broke off")
	case int64(len(body)) > in.route.MaxBody, int64(len(body)) > limit && !in.route.Idempotent:
		return fault.New(fault.RequestTooLarge, "body is larger than %d bytes", limit)
	case int64(len(body)) > limit:
		in.body = body
		return nil
	}
	in.body = body
	in.buffered = true
	return nil
}

// errBodyTooLarge is the error of a streamed request body that exceeds the limit
// of its route.
var errBodyTooLarge = errors.New("request body is larger than the route allows")

// targetBody returns the body for one request to a target and its length, which
// is -1 if unknown.
func (in *inboundRequest) targetBody() (io.ReadCloser, int64) {
	if in.buffered {
		if len(in.body) == 0 {
			return http.NoBody, 0
		}
		return io.NopCloser(bytes.NewReader(in.body)), int64(len(in.body))
	}
	rest := &limitedBody{source: in.request.Body, remaining: in.route.MaxBody - int64(len(in.body))}
	stream := io.MultiReader(bytes.NewReader(in.body), rest)
	return io.NopCloser(stream), in.request.ContentLength
}

// limitedBody is a streamed request body that must not exceed the limit of its route.
type limitedBody struct {
	source    io.Reader
	remaining int64
}

// Read returns errBodyTooLarge as soon as more bytes arrive than are allowed.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
