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
	reusable bool
}

// wrapBody makes the body of the response finish the exchange. reusable is set if the
// connection can be reused after the end of the body.
func (x *exchange) wrapBody(resp *http.Response, reusable bool) {
	resp.Body = &responseBody{exchange: x, response: resp, wrapped: resp.Body, reusable: reusable}
}

// Read reads the body. A truncated body or an invalid trailer results in an [*Error].
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.wrapped.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = head.CheckTrailer(b.response)
	}
	if err == nil {
		b.exchange.finish(b.reusable)
		return n, io.EOF
	}
	err = newError(b.exchange.ctx, StageBody, err)
	b.exchange.finish(false)
	return n, err
}

// Close finishes the exchange. If the body was not read to its end, the connection is
// closed, not reused.
func (b *responseBody) Close() error {
	b.exchange.finish(false)
	return nil
}
