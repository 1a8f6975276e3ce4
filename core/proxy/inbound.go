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

// bufferLimit is the largest body that is held in memory: request bodies up to
// it can be sent again to another target, response bodies up to it are checked
// to be whole before the caller sees a byte.
const bufferLimit = 64 << 10

// inbound is one request of a caller with what the daemon found out about it.
type inbound struct {
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

// newInbound checks the request against the service's routes.
func newInbound(w http.ResponseWriter, r *http.Request, service *fleet.Service, id string, now time.Time) (*inbound, error) {
	in := &inbound{request: r, requestID: id, arrived: now, service: service}
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
	asked, err := askedDeadline(r)
	if err != nil {
		return nil, err
	}
	in.deadline = deadlineFrom(r.Context(), now, route.Deadline, asked)
	return in, in.readInTime(http.NewResponseController(w))
}

// writeGrace is the time after a request's deadline in which its caller has to
// take the rest of the response. A caller that stops reading would hold the
// slot of the target for ever.
const writeGrace = 5 * time.Second

// readInTime reads the body before the deadline. The deadline of the connection
// is lifted afterwards, because net/http watches the connection for the end of
// the caller while the request is handled.
func (in *inbound) readInTime(control *http.ResponseController) error {
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

func askedDeadline(r *http.Request) (time.Duration, error) {
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

// readBody takes a small body into memory and leaves a larger one to be streamed.
func (in *inbound) readBody() error {
	r := in.request
	if r.ContentLength > in.route.MaxBody {
		return fault.New(fault.RequestTooLarge, "body of %d bytes is larger than %d", r.ContentLength, in.route.MaxBody)
	}
	if r.ContentLength == 0 {
		in.buffered = true
		return nil
	}
	buffer := int64(bufferLimit)
	if !in.route.Idempotent {
		buffer = maxOrderBody
	}
	if r.ContentLength > buffer && in.route.Idempotent {
		return nil
	}
	limit := min(buffer, in.route.MaxBody)
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

var errBodyTooLarge = errors.New("request body is larger than the route admits")

// targetBody returns the body for one request to a target, its length (-1 if
// unknown), and whether it is in memory.
func (in *inbound) targetBody() (io.ReadCloser, int64) {
	if in.buffered {
		if len(in.body) == 0 {
			return http.NoBody, 0
		}
		return io.NopCloser(bytes.NewReader(in.body)), int64(len(in.body))
	}
	rest := &limitedBody{inner: in.request.Body, left: in.route.MaxBody - int64(len(in.body))}
	stream := io.MultiReader(bytes.NewReader(in.body), rest)
	return io.NopCloser(stream), in.request.ContentLength
}

// limitedBody fails a streamed request body that grows over the route's limit.
type limitedBody struct {
	inner io.Reader
	left  int64
}

// Read fails once more than the limit was read.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
