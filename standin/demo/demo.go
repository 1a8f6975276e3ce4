package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Demo is one run of the demo.
type Demo struct {
	fleet     *Fleet
	out       io.Writer
	recorder  *recorder
	startedAt time.Time
	mu        sync.Mutex
}

// Run starts a fleet with the settings file, runs the script and returns an error
// if a response was wrong or an order was lost or executed twice.
func Run(ctx context.Context, settingsFile string, out io.Writer, logger log.Logger) error {
	f, err := NewFleet(settingsFile, logger)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &Demo{fleet: f, out: out, recorder: newRecorder(), startedAt: time.Now()}
	if err := f.StartDaemons(ctx); err != nil {
		return err
	}
	d.logf("%d daemons in %v are ready", len(f.Nodes()), f.DataCentres)
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	d.startCallers(callCtx, &callers)
	d.runScript(ctx)
	stop()
	callers.Wait()
	return d.verify()
}

// verify prints the outcomes that callers were told and returns an error if any of
// them contradicts what the targets executed.
func (d *Demo) verify() error {
	if !d.recorder.verify(d.fleet.RunCounts(), d.out) {
		return fault.New(fault.Internal, "a caller received a wrong response, or an order was lost or executed twice")
	}
	return nil
}

// logf prints a line that starts with the time since the start of the demo.
func (d *Demo) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// workloads returns one workload for each route in the settings.
func (d *Demo) workloads() []workload {
	var workloads []workload
	catalog, err := d.fleet.Doc.Catalog()
	if err != nil {
		return nil
	}
	for _, s := range catalog.Services() {
		for _, r := range s.Routes {
			workloads = append(workloads, workloadFor(s.ID, r))
		}
	}
	return workloads
}

// workloadFor returns the workload for a route. Callers send orders to routes that
// are not idempotent and lookups to all others.
func workloadFor(service fleet.ServiceID, r fleet.Route) workload {
	w := workload{service: service, method: http.MethodGet, path: r.PathPrefix + "/today", interval: lookupInterval}
	switch {
	case !r.Idempotent:
		w.method = http.MethodPost
		w.interval = orderInterval
	case r.Kind == fleet.Batch:
		w.interval = batchInterval
	}
	return w
}

const (
	lookupInterval = 25 * time.Millisecond
	orderInterval  = 40 * time.Millisecond
	batchInterval  = 50 * time.Millisecond
)

// startCallers starts one caller for each workload in each data centre.
func (d *Demo) startCallers(ctx context.Context, wg *sync.WaitGroup) {
	for _, w := range d.workloads() {
		for i, dc := range d.fleet.DataCentres {
			name := fmt.Sprintf("%s-%s-%s-%d", w.service, w.method, dc, i)
			wg.Add(1)
			c := newCaller(name, dc, w, d.callerAddresses, d.recorder)
			go c.run(ctx, wg)
		}
	}
}

// callerAddresses returns the addresses on which all daemons accept callers.
func (d *Demo) callerAddresses() []string {
	var addresses []string
	for _, n := range d.fleet.Nodes() {
		addresses = append(addresses, n.VM.CallerAddress)
	}
	return addresses
}
