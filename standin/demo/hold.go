package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Hold starts a fleet with its callers, prints the addresses and tokens for
// operators, and keeps it running until ctx ends. It returns an error if a response
// was wrong or an order was lost or executed twice.
func Hold(ctx context.Context, settingsFile string, out io.Writer, logger log.Logger) error {
	f, err := NewFleet(settingsFile, logger)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &Demo{fleet: f, out: out, recorder: newRecorder(), startedAt: time.Now()}
	if err := f.StartDaemons(ctx); err != nil {
		return err
	}
	address, err := f.serve(newControlAPI(ctx, d))
	if err != nil {
		return err
	}
	d.printAddresses(address)
	var callers sync.WaitGroup
	d.startCallers(ctx, &callers)
	<-ctx.Done()
	callers.Wait()
	return d.verify()
}

// printAddresses prints the addresses of the fleet and the tokens of its owners.
func (d *Demo) printAddresses(control string) {
	d.logf("%d daemons in %v are ready", len(d.fleet.Nodes()), d.fleet.DataCentres)
	d.logf("platform  http://%s", d.fleet.platformAddress)
	d.logf("control   http://%s", control)
	for _, n := range d.fleet.Nodes() {
		d.logf("daemon    %-14s admin http://%s  callers http://%s", n.VM.ID, n.VM.AdminAddress, n.VM.CallerAddress)
	}
	for _, owner := range d.fleet.Doc.Owners() {
		d.logf("owner     %-14s token %s", owner, OperatorToken(owner))
	}
	d.logf("callers are at work; interrupt to end")
}
