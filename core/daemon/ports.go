package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/proxy"
)

const (
	// readHeaderTimeout limits the time that a caller takes to send its request
	// header, so that slow callers cannot occupy connections without a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout exceeds the usual pause between two requests of a caller such as
	// a booking counter, which can then reuse its connection.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// ports are the listening ports of the daemon.
type ports struct {
	inner   *inner.Server
	callers *httpServer
	admin   *httpServer
}

func newPorts(s *config.Settings, id inner.Identity, h inner.Handlers, rl *proxy.Relay, adminHandler http.Handler, l log.Logger) (*ports, error) {
	server, err := inner.NewServer(id, h, inner.WithServerLog(l))
	if err != nil {
		return nil, err
	}
	callerServer, err := newHTTPServer("caller", rl, s.CallerTLS, l)
	if err != nil {
		return nil, err
	}
	adminServer, err := newHTTPServer("admin", adminHandler, s.AdminTLS, l)
	return &ports{inner: server, callers: callerServer, admin: adminServer}, err
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "address %s cannot be opened", address)
	}
	return l, nil
}

// openPorts opens all ports when the daemon starts, the callers' port last.
func openPorts(lc fx.Lifecycle, s *config.Settings, o overrides, p *ports, tasks *taskGroup, l log.Logger) {
	lc.Append(fx.StartHook(func() error {
		var open []net.Listener
		for _, address := range []string{s.InnerAddress, s.AdminAddress, s.CallerAddress} {
			listener, err := o.listen(address)
			if err != nil {
				closeListeners(open)
				return err
			}
			open = append(open, listener)
		}
		debug.SetMemoryLimit(s.MemoryLimit)
		tasks.start(func(ctx context.Context) { _ = p.inner.Serve(ctx, open[0]) })
		p.admin.start(open[1])
		p.callers.start(open[2])
		_ = level.Info(l).Log("msg", "started", "callers", s.CallerAddress, "admin", s.AdminAddress)
		return nil
	}))
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		err := p.callers.stop(ctx)
		_ = p.admin.stop(ctx)
		return err
	}))
}

func closeListeners(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// kill closes the HTTP ports and their connections at once.
func (p *ports) kill() {
	_ = p.callers.server.Close()
	_ = p.admin.server.Close()
}

// httpServer is one HTTP port of the daemon.
type httpServer struct {
	name   string
	server *http.Server
	logger log.Logger
	done   chan struct{}
}

// newHTTPServer returns a server for HTTP/1.1 and HTTP/2. It uses TLS if
// certificate files are configured.
func newHTTPServer(name string, h http.Handler, files config.TLSFiles, logger log.Logger) (*httpServer, error) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
	if files.Enabled() {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return nil, fault.Wrap(err, fault.ConfigInvalid, "certificate of the %s port", name)
		}
		s.TLSConfig = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	}
	return &httpServer{name: name, server: s, logger: logger, done: make(chan struct{})}, nil
}

func (s *httpServer) start(l net.Listener) {
	go s.run(l)
}

// run serves requests until stop or kill closes the server.
func (s *httpServer) run(l net.Listener) {
	defer close(s.done)
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(l, "", "")
	} else {
		err = s.server.Serve(l)
	}
	if err != nil && err != http.ErrServerClosed {
		_ = level.Error(s.logger).Log("msg", "HTTP server failed", "port", s.name, "detail", err)
	}
}

// stop waits until the requests in progress have ended. If ctx ends first, it
// closes their connections and returns an error.
func (s *httpServer) stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "requests interrupted at the shutdown limit", "port", s.name, "detail", err)
		_ = s.server.Close()
	}
	<-s.done
	return err
}
