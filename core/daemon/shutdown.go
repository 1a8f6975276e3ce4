package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// addressGrace is added to the lifetime of address responses, for callers that
	// use one slightly past its end.
	addressGrace = 10 * time.Second
	// activePollInterval is the time between two checks whether requests are still
	// in progress.
	activePollInterval = 50 * time.Millisecond
)

// drain takes the daemon out of service without interrupting a request. The daemon
// is no longer ready, so that callers no longer receive its address, and announces
// to its peers that it leaves. It goes on serving callers that still have its
// address, waits for requests in progress, and hands over its order ledger. It
// stops waiting when ctx ends.
func (d *Daemon) drain(ctx context.Context) {
	wait := d.components.Controller.maxAddressTTL() + addressGrace
	d.components.Controller.leaving.Store(true)
	d.components.Members.Leave()
	_ = level.Info(d.logger).Log("msg", "leaving", "serving-on-for", wait, "active", d.components.Relay.ActiveRequests())
	d.waitForCallers(ctx, wait)
	d.waitForRequests(ctx)
	copies := d.components.PeerClient.handOverLedger(ctx, d.components.Manager.ExportLedgers())
	if err := d.components.Manager.FlushOutcomes(ctx); err != nil {
		_ = level.Warn(d.logger).Log("msg", "order outcomes not written", "detail", err)
	}
	_ = level.Info(d.logger).Log("msg", "left", "ledger-copies", copies, "active", d.components.Relay.ActiveRequests())
}

// SkipCallerWait makes Stop no longer wait for callers that may still have the daemon's
// address. Requests in progress are still completed.
func (d *Daemon) SkipCallerWait() {
	d.endCallerWaitOnce.Do(func() { close(d.endCallerWait) })
}

// waitForCallers waits for the time in which callers may still have the daemon's
// address. SkipCallerWait ends the wait early.
func (d *Daemon) waitForCallers(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.endCallerWait:
		_ = level.Info(d.logger).Log("msg", "wait for callers shortened by a second signal", "active", d.components.Relay.ActiveRequests())
	case <-ctx.Done():
	}
}

// waitForRequests waits until no request is in progress.
func (d *Daemon) waitForRequests(ctx context.Context) {
	ticker := time.NewTicker(activePollInterval)
	defer ticker.Stop()
	for d.components.Relay.ActiveRequests() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = level.Error(d.logger).Log("msg", "shutdown limit reached with requests in progress", "active", d.components.Relay.ActiveRequests())
			return
		}
	}
}
