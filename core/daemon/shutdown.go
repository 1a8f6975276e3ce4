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
	// handOverReserve is the part of the shutdown limit that is kept for handing over the
	// order ledger after the last request.
	handOverReserve = 2 * time.Second
)

// drain takes the daemon out of service without interrupting a request. The daemon
// is no longer ready, so that callers no longer receive its address, and announces
// to its peers that it leaves. It goes on serving callers that still have its
// address, then refuses further requests, waits for those in progress, and hands over
// its order ledger. It stops waiting when ctx ends.
func (d *Daemon) drain(ctx context.Context) {
	wait := d.callerWait(ctx)
	d.components.Controller.leaving.Store(true)
	d.components.Members.Leave()
	_ = level.Info(d.logger).Log("msg", "leaving", "serving-on-for", wait, "active", d.components.Relay.ActiveRequests())
	d.waitForCallers(ctx, wait)
	d.components.Relay.RefuseRequests()
	d.waitForRequests(ctx)
	copies := d.components.PeerClient.handOverLedger(ctx, d.components.Manager.ExportLedgers())
	if err := d.components.Manager.FlushOutcomes(ctx); err != nil {
		_ = level.Warn(d.logger).Log("msg", "order outcomes not written", "detail", err)
	}
	_ = level.Info(d.logger).Log("msg", "left", "ledger-copies", copies, "active", d.components.Relay.ActiveRequests())
}

// callerWait returns how long the daemon serves callers that still have its address: as
// long as one may, but not so long that a request taken last could be cut when ctx ends.
func (d *Daemon) callerWait(ctx context.Context) time.Duration {
	wait := d.components.Controller.maxAddressTTL() + addressGrace
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)-d.components.Controller.longestDeadline()-handOverReserve)
	}
	return max(wait, 0)
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
