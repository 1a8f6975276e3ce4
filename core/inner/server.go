package inner

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	// handshakeTimeout limits how long an unauthenticated peer can hold a connection.
	handshakeTimeout = 5 * time.Second
	// serverIdleTimeout exceeds the client's idle timeout, so that the client closes
	// an idle connection first.
	serverIdleTimeout = 3 * time.Minute
	// defaultMaxConns allows 690 daemons with two connections each, rounded up.
	defaultMaxConns = 1400
	acceptRetryMin  = 10 * time.Millisecond
	acceptRetryMax  = time.Second
)

// Server serves the inner protocol to peers that have a certificate of the fleet.
type Server struct {
	identity  Identity
	drpc      *drpcserver.Server
	log       log.Logger
	connSlots chan struct{}
	running   sync.WaitGroup
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithServerLog sets the logger for refused and broken connections.
func WithServerLog(l log.Logger) ServerOption {
	return func(s *Server) { s.log = l }
}

// WithMaxConns limits the number of open connections.
func WithMaxConns(n int) ServerOption {
	return func(s *Server) { s.connSlots = make(chan struct{}, n) }
}

// NewServer returns a server that passes requests to the handlers.
func NewServer(id Identity, h Handlers, opts ...ServerOption) (*Server, error) {
	mux := drpcmux.New()
	if err := mux.Register(&h, rpcDescription{}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "register the calls of the inner protocol")
	}
	s := &Server{
		identity:  id,
		log:       log.NewNopLogger(),
		connSlots: make(chan struct{}, defaultMaxConns),
		drpc: drpcserver.NewWithOptions(mux, drpcserver.Options{
			Manager: drpcmanager.Options{
				Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxRequestBytes},
				InactivityTimeout: serverIdleTimeout,
				// With manual flushing, the reply and the frame that ends the call are
				// sent in one packet.
				Stream: drpcstream.Options{ManualFlush: true},
			},
		}),
	}
	for _, o := range opts {
		o(s)
	}
	return s, nil
}

// Serve accepts connections until ctx ends. It then closes the listener and waits
// for the calls in progress, whose contexts end with ctx.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	defer s.running.Wait()
	acceptBackoff := backoff.NewExponentialBackOff()
	acceptBackoff.InitialInterval, acceptBackoff.MaxInterval = acceptRetryMin, acceptRetryMax
	for {
		conn, err := lis.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fault.Wrap(err, fault.Internal, "listener of the inner protocol")
		case err != nil:
			// The error may be temporary, for example when the process has run out of
			// file descriptors.
			_ = level.Warn(s.log).Log("msg", "accept failed", "detail", err)
			sleep(ctx, acceptBackoff.NextBackOff())
		default:
			acceptBackoff.Reset()
			s.startConn(ctx, conn)
		}
	}
}

// startConn serves the connection in a new goroutine, or closes it if the
// connection limit is reached.
func (s *Server) startConn(ctx context.Context, conn net.Conn) {
	select {
	case s.connSlots <- struct{}{}:
		s.running.Add(1)
		go s.run(ctx, conn)
	default:
		_ = level.Warn(s.log).Log("msg", "connection refused: too many connections", "peer", conn.RemoteAddr())
		_ = conn.Close()
	}
}

// run serves one connection.
func (s *Server) run(ctx context.Context, conn net.Conn) {
	defer s.running.Done()
	defer func() { <-s.connSlots }()
	defer conn.Close()
	tc := tls.Server(conn, s.identity.serverTLS())
	from, err := handshake(ctx, tc, handshakeTimeout)
	if err != nil {
		_ = level.Warn(s.log).Log("msg", "peer failed to authenticate", "peer", conn.RemoteAddr(), "detail", err)
		return
	}
	ctx = context.WithValue(ctx, peerContextKey{}, from)
	if err := s.drpc.ServeOne(ctx, fastCloseConn{tc}); err != nil && ctx.Err() == nil {
		_ = level.Debug(s.log).Log("msg", "connection ended", "vm", from, "detail", err)
	}
}

// handshake performs the TLS handshake and returns the VM id of the peer.
func handshake(ctx context.Context, tc *tls.Conn, timeout time.Duration) (fleet.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		return "", fault.Wrap(err, fault.Unauthenticated, "TLS handshake")
	}
	return vmFromCertificate(tc.ConnectionState().PeerCertificates[0])
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
