package node

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

const (
	// auxHeaderTimeout limits the time to read the header of a request to an auxiliary
	// server.
	auxHeaderTimeout = 3 * time.Second
	// auxReadTimeout limits the time to read a whole request to an auxiliary server,
	// auxWriteTimeout that until its response is written.
	auxReadTimeout  = 5 * time.Second
	auxWriteTimeout = 15 * time.Second
	// auxMaxHeadBytes limits the head of such a request, which has a short path and few
	// fields.
	auxMaxHeadBytes = 8 << 10
	// auxIdleTimeout is the time after which an auxiliary server closes an idle
	// connection.
	auxIdleTimeout = 30 * time.Second
)

// auxServers are the HTTP servers for addresses, readiness and metrics, which
// listen on ports of their own beside the callers' port.
type auxServers struct {
	servers []*http.Server
}

// auxServer serves one listener.
type auxServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *auxServer) run() {
	_ = s.server.Serve(s.listener)
}

// callerListener accepts the connections of callers.
type callerListener struct {
	node     *Node
	listener net.Listener
}

func (l *callerListener) run() {
	l.node.callerServer.Serve(l.listener)
}

func (n *Node) openListeners() (*auxServers, error) {
	l, err := net.Listen("tcp4", n.self.CallerAddress)
	if err != nil {
		return nil, err
	}
	callers := &callerListener{n, l}
	go callers.run()
	servers := &auxServers{}
	settings := n.settings.Load()
	endpoints := []struct {
		address string
		handler http.Handler
	}{
		{settings.LookupAddress, n.platform.AddressHandler(n.lookup)},
		{settings.ReadyAddress, n.platform.ReadinessHandler(n.Ready)},
		{settings.MetricsAddress, n.diagnosticsHandler()},
	}
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		if err := servers.listen(e.address, e.handler); err != nil {
			servers.close()
			return nil, err
		}
	}
	return servers, nil
}

func (a *auxServers) listen(address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	httpServer := newAuxServer(handler)
	a.servers = append(a.servers, httpServer)
	server := &auxServer{httpServer, l}
	go server.run()
	return nil
}

// newAuxServer returns the HTTP server for an auxiliary port.
func newAuxServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: auxHeaderTimeout,
		ReadTimeout:       auxReadTimeout,
		WriteTimeout:      auxWriteTimeout,
		IdleTimeout:       auxIdleTimeout,
		MaxHeaderBytes:    auxMaxHeadBytes,
	}
}

func (a *auxServers) close() {
	for _, server := range a.servers {
		_ = server.Close()
	}
}

// diagnosticsHandler returns the handler for metrics and the state dump.
func (n *Node) diagnosticsHandler() http.Handler {
	r := mux.NewRouter()
	r.Methods(http.MethodGet).Path("/metrics").Handler(n.metrics)
	r.Methods(http.MethodGet).Path("/state").HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.stateDump.Read(req.URL.Query().Get("part")))
	})
	return r
}
