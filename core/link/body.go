package link

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/head"
)

// responseBody is the body of a response. It finishes the exchange at its end.
type responseBody struct {
	exchange *exchange
	response *http.Response
	wrapped  io.ReadCloser
	// framed is set if the end of the body follows from its framing, not from the end of
	// the connection.
	framed   bool
	reusable bool
}

// wrapBody makes the body of the response finish the exchange. reusable is set if the
// connection can be reused after the end of the body.
func (x *exchange) wrapBody(resp *http.Response, reusable bool) {
	framed := selfDelimited(resp.Request.Method, resp)
	resp.Body = &responseBody{exchange: x, response: resp, wrapped: resp.Body, framed: framed, reusable: reusable}
}

// Read reads the body. A truncated body or an invalid trailer results in an [*Error].
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.wrapped.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = b.checkEnd()
	}
	if err == nil {
		b.exchange.finish(b.reusable)
		return n, io.EOF
	}
	err = newError(b.exchange.ctx, StageBody, err)
	b.exchange.finish(false)
	return n, err
}

// checkEnd returns an error if the body is not complete although its stream has ended. The
// system reports a reset of the connection only once, to the read or to the write that is
// first, and as the end of the stream to later reads. So a body that ends with the
// connection is complete only if the request was sent without an error.
func (b *responseBody) checkEnd() error {
	if b.framed {
		return head.CheckTrailer(b.response)
	}
	return b.exchange.sender.wait()
}

// Close finishes the exchange. If the body was not read to its end, the connection is
// closed, not reused.
func (b *responseBody) Close() error {
	b.exchange.finish(false)
	return nil
}
