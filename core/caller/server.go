package caller

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/route"
)

// Handler returns the response to one request. ctx is cancelled when the caller
// disconnects.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections of callers and serves their requests.
type Server struct {
	handle          Handler
	limits          func() route.Limits
	logger          log.Logger
	requestIDHeader string
	draining        atomic.Bool
	memory          *memory.Budget
	// surplusConns limits the connections beyond the memory budget, on which requests are
	// refused; each takes one element while it is open.
	surplusConns chan struct{}
	mu           sync.Mutex
	listener     net.Listener
	// serving is the number of calls of Serve that may still register a connection.
	serving int
	conns   map[*conn]struct{}
	// readUntil is the time after which no request is read; zero before Shutdown.
	readUntil time.Time
	// allEnded is closed once no connection is left after Shutdown.
	allEnded chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger; the server logs nothing without it.
func WithLogger(l log.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithRequestIDHeader sets the name of the header with the request id, for logs.
func WithRequestIDHeader(name string) Option {
	return func(s *Server) { s.requestIDHeader = name }
}

// WithMaxBodyMemory sets the maximum memory, in bytes, for the bodies of all requests
// in progress.
func WithMaxBodyMemory(bytes int64) Option {
	return WithMemory(memory.New(memory.Limits{Bodies: bytes}))
}

// WithMemory sets the budget for the memory of connections, requests and bodies.
func WithMemory(b *memory.Budget) Option {
	return func(s *Server) { s.memory = b }
}

// defaultMaxBodyMemory is the default of WithMaxBodyMemory, in bytes.
const defaultMaxBodyMemory = 64 << 20

// NewServer returns a server. It calls limits for the current limits.
func NewServer(handle Handler, limits func() route.Limits, opts ...Option) *Server {
	s := &Server{
		handle:   handle,
		limits:   limits,
		logger:   log.NewNopLogger(),
		memory:   memory.New(memory.Limits{Bodies: defaultMaxBodyMemory}),
		conns:    map[*conn]struct{}{},
		allEnded: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	s.surplusConns = make(chan struct{}, maxSurplusConns(s.memory))
	return s
}

// acceptRetryDelay is the delay after a failed accept, for example when the process has
// no free file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	if !s.beginServing(l) {
		_ = l.Close()
		return
	}
	defer s.endServing()
	for {
		n, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(n)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			_ = l.Close()
			return
		default:
			_ = s.logger.Log("msg", "accept failed", "err", err)
			<-time.After(acceptRetryDelay)
		}
	}
}

// beginServing registers the listener. It returns false if the server was shut down.
func (s *Server) beginServing(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readUntil.IsZero() {
		return false
	}
	s.listener = l
	s.serving++
	return true
}

func (s *Server) endServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	s.checkAllEnded()
}

// maxSurplusConns returns the maximum number of connections beyond the memory budget. They
// may take half of what the budget keeps for running work. Further ones are accepted when
// one of these has ended: within seconds if its request is refused, or after the response
// if memory was available for the request.
func maxSurplusConns(b *memory.Budget) int64 {
	return max(b.Limits().Spare()/2/connectionMemory, 1)
}

// startConn serves a connection. If the budget has no memory left for it, its only request
// is refused.
func (s *Server) startConn(n net.Conn) {
	c := newConn(s, n)
	if !s.memory.Reserve(memory.Connections, connectionMemory) {
		s.surplusConns <- struct{}{}
		s.memory.Add(memory.Connections, connectionMemory)
		c.surplus = true
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	readUntil := s.readUntil
	s.mu.Unlock()
	if !readUntil.IsZero() {
		c.reads.endAt(readUntil)
	}
	go c.run()
}

func (s *Server) removeConn(c *conn) {
	s.memory.Release(memory.Connections, connectionMemory)
	if c.surplus {
		<-s.surplusConns
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkAllEnded()
}

// checkAllEnded closes allEnded if Shutdown was called and no connection is left or still
// to be registered. The caller holds mu.
func (s *Server) checkAllEnded() {
	if s.readUntil.IsZero() || len(s.conns) > 0 || s.serving > 0 {
		return
	}
	select {
	case <-s.allEnded:
	default:
		close(s.allEnded)
	}
}

// Drain makes the server close each connection after its next response or, if further
// requests of the connection have already started, after the last of theirs.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// PendingRequests returns the number of requests whose response is not written yet.
func (s *Server) PendingRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := 0
	for c := range s.conns {
		pending += c.pendingRequests()
	}
	return pending
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

const (
	// finalAcceptTime is how long connections are still accepted during a shutdown. Those
	// that wait to be accepted when the listener closes are reset.
	finalAcceptTime = 50 * time.Millisecond
	// finalReadTime is how long requests that are on the way are still read after that.
	finalReadTime = 100 * time.Millisecond
)

// Shutdown closes the listener, and reads no further requests but those that are on the
// way. Those that were read get their responses, one that is not complete is refused. It
// returns once all connections have ended, or when ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	until := time.Now().Add(finalAcceptTime + finalReadTime)
	for _, c := range s.stop(until) {
		c.reads.endAt(until)
	}
	select {
	case <-s.allEnded:
	case <-ctx.Done():
	}
}

// stop ends the listener and returns the open connections.
func (s *Server) stop(readUntil time.Time) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readUntil = readUntil
	if s.listener != nil {
		endListener(s.listener)
	}
	s.checkAllEnded()
	return slices.Collect(maps.Keys(s.conns))
}

// endListener makes the listener accept what waits in its queue, and then end; one
// without deadlines is closed.
func endListener(l net.Listener) {
	limited, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(finalAcceptTime)) != nil {
		_ = l.Close()
	}
}

// Close closes the listener and all connections. It logs each request that ends without
// a complete response because of it.
func (s *Server) Close() {
	for _, r := range s.OpenRequests() {
		s.logUnanswered("request cut", r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.netConn.Close()
	}
}

// logUnanswered logs a request that ends without a complete response.
func (s *Server) logUnanswered(event string, r OpenRequest, fields ...any) {
	line := []any{"msg", event, "id", r.ID, "state", r.State, "age", r.Age, "caller", r.Caller}
	_ = s.logger.Log(append(line, fields...)...)
}
