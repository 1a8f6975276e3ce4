package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Rig holds what a case consists of.
type Rig struct {
	Record *Record
	Store  *Store
	Fleet  *Fleet
	// Trouble is unset if the case is played without its disruption.
	Trouble   bool
	Upstreams []*Upstream
	dir       string
	ctx       context.Context
	cancel    context.CancelFunc
}

// NewRig returns a rig with an empty store.
func NewRig(record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.Record, err = NewRecord(record); err != nil {
		return nil, err
	}
	if r.Store, err = NewStore(); err != nil {
		return nil, err
	}
	return r, nil
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	r.cancel()
	if r.Fleet != nil {
		r.Fleet.KillAll()
	}
	r.Record.Close()
	_ = os.RemoveAll(r.dir)
}

// endOnSignal ends all processes if the rig itself is told to end.
func (r *Rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	r.Close()
	os.Exit(exitFailed)
}

// AddUpstreams adds upstreams of a service, whose first entries are written at once. They
// ping at the same moments from the given time on.
func (r *Rig) AddUpstreams(service string, count int, first time.Time) error {
	for i := range count {
		u, err := NewUpstream(fmt.Sprintf("%s-%d", service, i+1), service, "a", r.Store, r.Record)
		if err != nil {
			return err
		}
		u.Ping()
		r.Upstreams = append(r.Upstreams, u)
		go u.run(r.ctx, first)
	}
	return nil
}

// PutConfig writes a configuration with one host. The store's answer is its
// acknowledgement.
func (r *Rig) PutConfig(version int, maxHeaderBytes int64) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "prefix": prefix, "route_type": kind, "timeout_ms": 2000, "target_latency_ms": 600,
			"priority": 1, "max_attempts": 2, "service": "stock",
		}
	}
	ok := r.Store.Put("op", "config", map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": "stock", "health_path": "/health", "max_conns": 300}},
		"hosts":    []any{map[string]any{"host": host, "paths": []any{route("check", "/check/", "safe"), route("order", "/order/", "unsafe")}}},
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	r.Record.Logf("operator: config %d with max_header_bytes %d acknowledged: %v", version, maxHeaderBytes, ok)
}

// StartFleet starts a daemon in each of the zones and waits until all are ready.
func (r *Rig) StartFleet(zones ...string) error {
	fleet, err := NewFleet(r.dir, r.Store.Address(), zones, r.Record)
	if err != nil {
		return err
	}
	r.Fleet = fleet
	if err := fleet.StartAll(); err != nil {
		return err
	}
	return fleet.AwaitReady(10 * time.Second)
}

// finalFault kills all daemons right after a config was acknowledged, and starts them
// again. It returns when they were back.
func (r *Rig) finalFault() (back time.Time, err error) {
	r.Fleet.KillAll()
	time.Sleep(time.Second)
	for _, d := range r.Fleet.Daemons {
		if err := d.setFirstStart(false); err != nil {
			return back, err
		}
	}
	if err := r.Fleet.StartAll(); err != nil {
		return back, err
	}
	r.Record.Notef("final fault: all daemons were killed and are started again")
	return time.Now(), nil
}
