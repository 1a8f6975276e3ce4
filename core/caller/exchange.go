package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// bodyReadStep is the size of the steps in which a body is read and memory for it is
// reserved.
const bodyReadStep = 64 << 10

// exchange is one request and the response to it.
type exchange struct {
	conn *conn
	// interim is set if this is not a request, but the interim response to the next one,
	// which must not come in between the bytes of an earlier response.
	interim       bool
	request       *Request
	reservedBytes int64
	// closeAfter is set if the connection closes after this response.
	closeAfter bool
	response   chan *Response
	// writing is set once the response is being written.
	writing atomic.Bool
}

func newExchange(c *conn, closeAfter bool) *exchange {
	return &exchange{conn: c, closeAfter: closeAfter, response: make(chan *Response, 1)}
}

// readBody reads the whole body. It fails if the body exceeds the limit, which may be
// raised meanwhile, or the memory that the server has for bodies.
func (x *exchange) readBody(req *http.Request, limit int64) ([]byte, error) {
	if req.ContentLength == 0 || req.Body == nil {
		return nil, nil
	}
	if req.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	var b bytes.Buffer
	for {
		step := int64(bodyReadStep)
		if req.ContentLength > 0 {
			step = min(step, req.ContentLength-int64(b.Len()))
		}
		if !x.conn.server.reserveBodyMemory(step) {
			return nil, errBodyMemory
		}
		x.reservedBytes += step
		n, err := b.ReadFrom(io.LimitReader(req.Body, step))
		if err != nil {
			return nil, err
		}
		limit = max(limit, x.conn.server.limits().BodyBytes)
		if int64(b.Len()) > limit {
			return nil, errBodyTooLarge
		}
		if n < step || int64(b.Len()) == req.ContentLength {
			return b.Bytes(), nil
		}
	}
}

// run calls the handler and passes its response to the writer.
func (x *exchange) run() {
	resp := x.conn.server.handle(x.conn.ctx, x.request)
	x.conn.server.releaseBodyMemory(x.reservedBytes)
	x.response <- resp
}
