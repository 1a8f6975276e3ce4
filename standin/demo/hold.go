package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Hold starts a fleet with its callers, prints how operators reach it, and
// keeps it running until ctx ends. It returns an error if a caller was given a
// wrong, short or doubled answer.
func Hold(ctx context.Context, settingsFile string, out io.Writer, logger log.Logger) error {
	f, err := NewFleet(settingsFile, logger)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &Demo{fleet: f, out: out, tally: newTally(), started: time.Now()}
	if err := f.StartDaemons(ctx); err != nil {
		return err
	}
	address, err := f.serve(newControl(ctx, d))
	if err != nil {
		return err
	}
	d.introduce(address)
	var callers sync.WaitGroup
	d.startCallers(ctx, &callers)
	<-ctx.Done()
	callers.Wait()
	return d.verdict()
}

// introduce prints the addresses and tokens of the fleet.
func (d *Demo) introduce(control string) {
	d.say("%d daemons in %v are ready", len(d.fleet.Nodes()), d.fleet.Centres)
	d.say("platform  http://%s", d.fleet.platform)
	d.say("control   http://%s", control)
	for _, n := range d.fleet.Nodes() {
		d.say("daemon    %-14s admin http://%s  callers http://%s", n.VM.ID, n.VM.AdminAddress, n.VM.CallerAddress)
	}
	for _, owner := range d.fleet.Doc.Owners() {
		d.say("owner     %-14s token %s", owner, OperatorToken(owner))
	}
	d.say("callers are at work; interrupt to end")
}
