package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// zones are those of the deployment.
var zones = []string{"mdp", "pinamar", "necochea"}

const (
	orderHost = "hulo84.example"
	orderPath = "/xapu221/ny95/2f"
	readPath  = "/lepu270/2f"
	service   = "wuno96b"
)

// fleet is a small deployment: the store, the daemons and the servers.
type fleet struct {
	root    string
	dir     string
	record  *record
	store   *store
	server  *http.Server
	address string
	daemons []*daemon
}

// maxBodyBytes is the limit on bodies in the example of the users' pages.
const maxBodyBytes = 67108864

// config is the operator's configuration with a route for orders and one for lookups.
func config(version, bodyLimit int) map[string]any {
	return map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"hosts": []any{map[string]any{"host": orderHost, "paths": []any{map[string]any{
			"name": "r-b9wu3fe", "prefix": "/xapu221/ny95/", "route_type": "unsafe", "timeout_ms": 2500,
			"target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": 2,
		}, map[string]any{
			"name": "r-9n73hh2", "prefix": "/lepu270/", "route_type": "safe", "timeout_ms": 2000,
			"target_latency_ms": 600, "priority": 2, "service": service, "max_attempts": 2,
		}}}},
	}
}

// newFleet starts the store, with a first configuration, and daemons in the zones, and
// waits until they are ready.
func newFleet(root string, r *record, perZone int, first map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: r, store: newStore()}
	l, err := net.Listen("tcp4", net.JoinHostPort(randomIP(), "0"))
	if err != nil {
		return nil, err
	}
	f.address = l.Addr().String()
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(l) }()
	f.store.put("op", "config", first)
	var seeds []string
	for _, z := range zones {
		for i := range perZone {
			d := &daemon{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, ip: randomIP()}
			d.settings = filepath.Join(dir, d.name+".json")
			if i == 0 {
				seeds = append(seeds, d.address(controlPort))
			}
			f.daemons = append(f.daemons, d)
		}
	}
	for _, d := range f.daemons {
		if err := d.writeSettings(root, f.address, seeds, true); err != nil {
			return f, err
		}
		if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
			return f, err
		}
		if err := d.start(root); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range f.daemons {
			if resp, err := client.Get("http://" + d.address(readyPort) + "/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.daemons) {
			f.record.add("all %d daemons are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d daemons are ready", ready, len(f.daemons))
		}
	}
}

// close ends all processes and deletes the temporary folder.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	_ = f.server.Close()
	_ = os.RemoveAll(f.dir)
}
