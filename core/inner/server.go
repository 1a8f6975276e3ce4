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
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	// handshakeTimeout bounds how long an unauthenticated peer holds a connection.
	handshakeTimeout = 5 * time.Second
	// serverIdle lies above the client's idle time, so that the client closes first.
	serverIdle = 3 * time.Minute
	// defaultMaxConns is 690 daemons with two connections each, rounded up.
	defaultMaxConns = 1400
	acceptPause     = 10 * time.Millisecond
	acceptPauseMax  = time.Second
)

// Server serves the inner protocol to peers with a certificate of the fleet.
type Server struct {
	identity Identity
	drpc     *drpcserver.Server
	log      log.Logger
	conns    chan struct{}
	running  sync.WaitGroup
}

// ServerOption changes a server.
type ServerOption func(*Server)

// WithServerLog sets the logger of refused and broken connections.
func WithServerLog(l log.Logger) ServerOption {
	return func(s *Server) { s.log = l }
}

// WithMaxConns bounds the connections that are open at once.
func WithMaxConns(n int) ServerOption {
	return func(s *Server) { s.conns = make(chan struct{}, n) }
}

// NewServer returns a server that answers with the handlers.
func NewServer(id Identity, h Handlers, opts ...ServerOption) (*Server, error) {
	mux := drpcmux.New()
	if err := mux.Register(&h, description{}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "calls of the inner protocol")
	}
	s := &Server{
		identity: id,
		log:      log.NewNopLogger(),
		conns:    make(chan struct{}, defaultMaxConns),
		drpc: drpcserver.NewWithOptions(mux, drpcserver.Options{
			Manager: drpcmanager.Options{
				Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxAsk},
				InactivityTimeout: serverIdle,
			},
		}),
	}
	for _, o := range opts {
		o(s)
	}
	return s, nil
}

// Serve accepts connections until ctx ends. It closes the listener and waits
// for the calls in progress, whose contexts end with ctx.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	defer s.running.Wait()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = acceptPause, acceptPauseMax
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
			// Accept fails for a while when file descriptors run out.
			_ = s.log.Log("msg", "accept failed", "err", err)
			wait(ctx, pause.NextBackOff())
		default:
			pause.Reset()
			s.admit(ctx, conn)
		}
	}
}

func (s *Server) admit(ctx context.Context, conn net.Conn) {
	select {
	case s.conns <- struct{}{}:
		s.running.Add(1)
		go s.run(ctx, conn)
	default:
		_ = s.log.Log("msg", "connection refused at the limit", "peer", conn.RemoteAddr())
		_ = conn.Close()
	}
}

// run serves one connection.
func (s *Server) run(ctx context.Context, conn net.Conn) {
	defer s.running.Done()
	defer func() { <-s.conns }()
	defer conn.Close()
	tc := tls.Server(conn, s.identity.serverTLS())
	from, err := handshake(ctx, tc, handshakeTimeout)
	if err != nil {
		_ = s.log.Log("msg", "peer refused", "peer", conn.RemoteAddr(), "err", err)
		return
	}
	ctx = context.WithValue(ctx, peerKey{}, from)
	if err := s.drpc.ServeOne(ctx, transport{tc}); err != nil && ctx.Err() == nil {
		_ = s.log.Log("msg", "connection ended", "peer", from, "err", err)
	}
}

// handshake returns the VM id of the peer.
func handshake(ctx context.Context, tc *tls.Conn, timeout time.Duration) (fleet.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		return "", fault.Wrap(err, fault.Unauthenticated, "TLS handshake")
	}
	return vmOf(tc.ConnectionState().PeerCertificates[0])
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
