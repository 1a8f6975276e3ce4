package caller

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// firstBodyBuffer is the size in bytes of the first buffer for a body.
const firstBodyBuffer = 64 << 10

// exchange is one request and the response to it.
type exchange struct {
	conn *conn
	// interim is set if this is not a request, but the interim response to the next one,
	// which must not come in between the bytes of an earlier response.
	interim bool
	request *Request
	// id is the request id, also of a request that could not be read completely.
	id          string
	reservation reservation
	// closeAfter is set if the connection closes after this response.
	closeAfter bool
	response   chan *Response
	// writing is set once the response is being written.
	writing atomic.Bool
}

func newExchange(c *conn, closeAfter bool) *exchange {
	return &exchange{conn: c, closeAfter: closeAfter, response: make(chan *Response, 1), reservation: reservation{budget: c.server.memory}}
}

// readBody reads the whole body. It fails if the body exceeds the limit, which may be
// raised meanwhile, or the memory that the server has left. The memory is reserved in full
// before it is allocated, and grows with what has arrived: a caller takes none by a
// Content-Length alone.
func (x *exchange) readBody(req *http.Request, limit int64) ([]byte, error) {
	if req.ContentLength == 0 || req.Body == nil {
		return nil, nil
	}
	if req.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := x.growBody(body, req.ContentLength)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		limit = max(limit, x.conn.server.limits().BodyBytes)
		if int64(len(body)) > limit {
			return nil, errBodyTooLarge
		}
		if err != nil {
			return body, nil
		}
	}
}

// growBody returns a copy of the body with more room, of at most length bytes if that is
// known. It fails if there is no memory left.
func (x *exchange) growBody(body []byte, length int64) ([]byte, error) {
	size := max(2*int64(cap(body)), firstBodyBuffer)
	if length > 0 && length < size {
		size = length + 1
	}
	if !x.reservation.growBody(size) {
		return nil, errMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// run calls the handler and passes its response to the writer.
func (x *exchange) run() {
	resp := x.conn.server.handle(x.conn.ctx, x.request)
	if resp.UnreadBody == nil {
		x.reservation.releaseExchange()
	}
	if !x.reservation.budget.Bounded() {
		x.reservation.releaseBody()
	}
	x.response <- resp
}
