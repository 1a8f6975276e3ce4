package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/caller"
)

// Stop shuts the daemon down gracefully: it announces that the daemon is leaving,
// waits until callers have had time to switch to other daemons and no request is in
// progress, and then stops everything. Requests that are still in progress shortly
// before the process is killed are cut off.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	n.leaving.Store(true)
	n.roster.SetStatus(false, true)
	n.logOpenRequests("leaving", "connections", n.callerServer.OpenConnections(), "limit", n.settings.Load().ShutdownTimeout())
	n.gossip.SendHeartbeat()
	n.callerServer.Drain()
	d := &callerDrain{node: n, began: began}
	d.wait(ctx)
	elapsed := time.Since(began)
	n.logOpenRequests("stopped", "after", elapsed, "before-kill", n.settings.Load().ShutdownTimeout()-elapsed)
	return n.app.Stop(ctx)
}

// logOpenRequests logs the event with the number of requests in each state.
func (n *Node) logOpenRequests(event string, fields ...any) {
	c := caller.Count(n.callerServer.OpenRequests())
	line := []any{"msg", event, "reading", c.Reading, "waiting", c.Waiting, "sent", c.Sent, "writing", c.Writing}
	_ = n.logger.Log(append(line, fields...)...)
}

// Close stops the daemon immediately, without waiting for requests in progress.
func (n *Node) Close() error {
	return n.app.Stop(context.Background())
}

const (
	// lookupDrainTime is how long callers may still connect after the address endpoints
	// have stopped naming this daemon: some callers keep an answer for three times as
	// long as its TTL.
	lookupDrainTime = 3500 * time.Millisecond
	// killMargin is the time kept in reserve between the end of the shutdown and the
	// kill of the process.
	killMargin = 900 * time.Millisecond
	// drainCheckInterval is the time between two checks of the requests in progress.
	drainCheckInterval = 50 * time.Millisecond
)

// callerDrain waits during the shutdown until callers use other daemons.
type callerDrain struct {
	node  *Node
	began time.Time
}

func (d *callerDrain) wait(ctx context.Context) {
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for !d.done(time.Since(d.began)) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *callerDrain) done(elapsed time.Duration) bool {
	if elapsed >= d.node.settings.Load().ShutdownTimeout()-killMargin {
		return true
	}
	return elapsed >= lookupDrainTime && d.node.callerServer.PendingRequests() == 0
}
