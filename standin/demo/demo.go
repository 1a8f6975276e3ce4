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
	fleet   *Fleet
	out     io.Writer
	tally   *tally
	started time.Time
	mu      sync.Mutex
}

// Run starts a fleet for the example settings, plays the script and returns an
// error if a caller was given a wrong, short or doubled answer.
func Run(ctx context.Context, settingsFile string, out io.Writer, logger log.Logger) error {
	f, err := NewFleet(settingsFile, logger)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &Demo{fleet: f, out: out, tally: newTally(), started: time.Now()}
	if err := f.StartDaemons(ctx); err != nil {
		return err
	}
	d.say("%d daemons in %v are ready", len(f.Nodes()), f.Centres)
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	d.startCallers(callCtx, &callers)
	d.play(ctx)
	stop()
	callers.Wait()
	return d.verdict()
}

// verdict prints what callers were told and fails if any of it was wrong.
func (d *Demo) verdict() error {
	if !d.tally.verdict(d.fleet.Runs(), d.out) {
		return fault.New(fault.Internal, "a caller was given a wrong, lost or doubled answer")
	}
	return nil
}

// say prints one line with the time since the start.
func (d *Demo) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// jobs returns one kind of work for each route of the settings.
func (d *Demo) jobs() []work {
	var jobs []work
	catalog, err := d.fleet.Doc.Catalog()
	if err != nil {
		return nil
	}
	for _, s := range catalog.Services() {
		for _, r := range s.Routes {
			jobs = append(jobs, workFor(s.ID, r))
		}
	}
	return jobs
}

func workFor(service fleet.ServiceID, r fleet.Route) work {
	w := work{service: service, method: http.MethodGet, path: r.PathPrefix + "/today", every: lookupEvery}
	switch {
	case !r.Idempotent:
		w.method = http.MethodPost
		w.every = orderEvery
	case r.Kind == fleet.Batch:
		w.every = batchEvery
	}
	return w
}

const (
	lookupEvery = 25 * time.Millisecond
	orderEvery  = 40 * time.Millisecond
	batchEvery  = 50 * time.Millisecond
)

func (d *Demo) startCallers(ctx context.Context, done *sync.WaitGroup) {
	for _, w := range d.jobs() {
		for i, dc := range d.fleet.Centres {
			name := fmt.Sprintf("%s-%s-%s-%d", w.service, w.method, dc, i)
			done.Add(1)
			c := newCaller(name, dc, w, d.bootAddresses, d.tally)
			go c.run(ctx, done)
		}
	}
}

func (d *Demo) bootAddresses() []string {
	var out []string
	for _, n := range d.fleet.Nodes() {
		out = append(out, n.VM.CallerAddress)
	}
	return out
}
