package node

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

const (
	// sideHeaderTimeout is the longest wait for the head of a request on the side ports.
	sideHeaderTimeout = 3 * time.Second
	// sideIdleTimeout closes idle connections on the side ports.
	sideIdleTimeout = 30 * time.Second
)

// ports are the HTTP servers beside the callers' port.
type ports struct {
	servers []*http.Server
}

// sidePort serves one listener.
type sidePort struct {
	server   *http.Server
	listener net.Listener
}

func (p *sidePort) run() {
	_ = p.server.Serve(p.listener)
}

// callersPort serves the callers' listener.
type callersPort struct {
	node     *Node
	listener net.Listener
}

func (p *callersPort) run() {
	p.node.callers.Serve(p.listener)
}

func (n *Node) openPorts() (*ports, error) {
	l, err := net.Listen("tcp4", n.self.Callers)
	if err != nil {
		return nil, err
	}
	c := &callersPort{n, l}
	go c.run()
	p := &ports{}
	settings := n.settings.Load()
	side := []struct {
		address string
		handler http.Handler
	}{
		{settings.AddressAddress, n.platform.Addresses(n.lookup)},
		{settings.ReadyAddress, n.platform.Readiness(n.Ready)},
		{settings.MetricsAddress, n.inspection()},
	}
	for _, s := range side {
		if s.address == "" {
			continue
		}
		if err := p.open(s.address, s.handler); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

func (p *ports) open(address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: sideHeaderTimeout, IdleTimeout: sideIdleTimeout}
	p.servers = append(p.servers, s)
	port := &sidePort{s, l}
	go port.run()
	return nil
}

func (p *ports) close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// inspection returns the handler of metrics and the state dump.
func (n *Node) inspection() http.Handler {
	r := mux.NewRouter()
	r.Methods(http.MethodGet).Path("/metrics").Handler(n.set)
	r.Methods(http.MethodGet).Path("/state").HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.dump.Read(req.URL.Query().Get("part")))
	})
	return r
}
