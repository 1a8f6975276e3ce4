package head

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxInterimResponses is the maximum number of interim responses before a response. For each of
// them, net/http applies its limit on heads anew.
const maxInterimResponses = 16

var (
	errEarlyResponse  = errors.New("response began before its request")
	errTooManyInterim = errors.Newf("more than %d interim responses", maxInterimResponses)
)

// exchange is a request on its way over a connection, and the head of the response to it.
type exchange struct {
	// done is closed at the end of the request's context.
	done <-chan struct{}
	// sent is closed once the request is sent or sending it has failed.
	sent     chan struct{}
	sentOnce sync.Once
	// scanner belongs to the goroutine that reads from the connection until the whole head
	// of the response has arrived.
	scanner Scanner
}

// check returns an error if the raw lines of the head are not valid.
func (x *exchange) check(resp *http.Response) error {
	if !x.scanner.ended {
		return errEarlyResponse
	}
	return x.scanner.Check(resp)
}

// tracer follows one request, which net/http may send again over another connection.
type tracer struct {
	// done is closed at the end of the request's context.
	done <-chan struct{}
	// current is the last exchange; nil if there is none, or if it is not known.
	current atomic.Pointer[exchange]
	// interimCount is the number of interim responses.
	interimCount atomic.Int64
}

// trace returns the request with a trace that ties its exchange to the connection. It does
// not do so through TLS, where the bytes are encrypted and HTTP/2 sends requests side by
// side.
func (t *tracer) trace(req *http.Request) *http.Request {
	t.done = req.Context().Done()
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:        t.gotConn,
		WroteRequest:   t.wroteRequest,
		Got1xxResponse: t.checkInterim,
	}))
}

func (t *tracer) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		t.current.Store(nil)
		return
	}
	x := &exchange{done: t.done, sent: make(chan struct{})}
	t.current.Store(x)
	c.exchange.Store(x)
}

func (t *tracer) wroteRequest(httptrace.WroteRequestInfo) {
	if x := t.current.Load(); x != nil {
		x.sentOnce.Do(func() { close(x.sent) })
	}
}

// checkInterim returns an error if the head of an interim response is not valid.
func (t *tracer) checkInterim(_ int, h textproto.MIMEHeader) error {
	if t.interimCount.Add(1) > maxInterimResponses {
		return errTooManyInterim
	}
	return checkNames(http.Header(h))
}

// check returns an error if the head of the response is not valid.
func (t *tracer) check(resp *http.Response) error {
	if x := t.current.Load(); x != nil {
		if err := x.check(resp); err != nil {
			return err
		}
	}
	return CheckResponse(resp)
}
