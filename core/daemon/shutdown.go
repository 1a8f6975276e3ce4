package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// addressGrace is added to the lifetime of address responses, for callers
	// that keep one a little too long.
	addressGrace = 10 * time.Second
	// activePoll is how often the end of requests in progress is looked for.
	activePoll = 50 * time.Millisecond
)

// drain makes the daemon leave without cutting a request: it is no longer
// handed out, tells its peers, serves callers that still hold its address,
// waits for requests in progress, and hands over its order ledger. It returns
// early if ctx ends.
func (d *Daemon) drain(ctx context.Context) {
	wait := d.parts.Engine.longestTTL() + addressGrace
	d.parts.Engine.leaving.Store(true)
	d.parts.Members.Leave()
	_ = level.Info(d.logger).Log("msg", "leaving", "serving-on-for", wait, "active", d.parts.Relay.ActiveRequests())
	d.waitForCallers(ctx, wait)
	d.waitForRequests(ctx)
	copies := d.parts.Peers.handOver(ctx, d.parts.Manager.ExportLedgers())
	if err := d.parts.Manager.FlushOutcomes(ctx); err != nil {
		_ = level.Warn(d.logger).Log("msg", "order outcomes not written", "detail", err)
	}
	_ = level.Info(d.logger).Log("msg", "left", "ledger-copies", copies, "active", d.parts.Relay.ActiveRequests())
}

// Hurry ends the wait for callers that may still hold the daemon's address.
// Requests in progress are still finished.
func (d *Daemon) Hurry() {
	d.hurryOnce.Do(func() { close(d.hurry) })
}

func (d *Daemon) waitForCallers(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.hurry:
		_ = level.Info(d.logger).Log("msg", "wait for callers shortened by a second signal", "active", d.parts.Relay.ActiveRequests())
	case <-ctx.Done():
	}
}

func (d *Daemon) waitForRequests(ctx context.Context) {
	ticker := time.NewTicker(activePoll)
	defer ticker.Stop()
	for d.parts.Relay.ActiveRequests() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = level.Error(d.logger).Log("msg", "shutdown limit reached with requests in progress", "active", d.parts.Relay.ActiveRequests())
			return
		}
	}
}
