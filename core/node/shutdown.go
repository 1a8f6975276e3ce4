package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/relay"
)

const (
	// lookupDrainTime is how long callers may still connect after the address endpoints
	// have stopped naming this daemon: some callers keep an answer for three times as
	// long as its TTL.
	lookupDrainTime = 3500 * time.Millisecond
	// drainCheckInterval is the time between two checks of the requests in progress.
	drainCheckInterval = 50 * time.Millisecond
	// maxShutdownReserve and shutdownReserveRatio bound the time between the latest
	// response to a request and the kill of the process. A third of it is for writing
	// that response, a third for closing connections, and a third is left over.
	maxShutdownReserve   = 900 * time.Millisecond
	shutdownReserveRatio = 0.15
	// maxShortenTime is the longest time after the signal in which requests are served
	// whose deadline is after the shutdown. The platform accepts that a request which was
	// sent by then ends with the process.
	maxShortenTime = 3 * time.Second
)

// shutdownSchedule holds the times of a shutdown. It is fixed when the signal is
// handled: settings that change later say nothing about when the process is killed.
type shutdownSchedule struct {
	began time.Time
	// lastResponse is the time by which each request must have its response.
	lastResponse time.Time
	// stopReading is when the callers' port is closed and no further request is read.
	stopReading time.Time
	// close is when the connections are closed that have not ended by themselves.
	close time.Time
	kill  time.Time
}

func newShutdownSchedule(began time.Time, limit time.Duration) shutdownSchedule {
	reserve := min(maxShutdownReserve, time.Duration(shutdownReserveRatio*float64(limit)))
	kill := began.Add(limit)
	return shutdownSchedule{
		began:        began,
		lastResponse: kill.Add(-reserve),
		stopReading:  kill.Add(-2 * reserve / 3),
		close:        kill.Add(-reserve / 3),
		kill:         kill,
	}
}

// plan returns which requests the relay may still serve. Without a peer that is ready,
// requests with a late deadline are served early in the shutdown, because they would find
// no other daemon.
func (s *shutdownSchedule) plan(peerReady func() bool) relay.ShutdownPlan {
	return relay.ShutdownPlan{
		End:          s.lastResponse,
		ShortenUntil: s.began.Add(min(maxShortenTime, s.kill.Sub(s.began)/2)),
		PeerReady:    peerReady,
	}
}

// Stop shuts the daemon down gracefully. It announces that the daemon is leaving, and
// serves on until callers have had time to switch to other daemons; requests that could
// not be answered before the process is killed are refused. Then it ends the connections
// of callers after the responses that are due, and stops everything.
func (n *Node) Stop(ctx context.Context) error {
	s := newShutdownSchedule(time.Now(), n.settings.Load().ShutdownTimeout())
	n.setLeaving()
	n.logOpenRequests("leaving", "connections", n.callerServer.OpenConnections(), "limit", s.kill.Sub(s.began))
	n.gossip.SendHeartbeat()
	n.quotas.Leave()
	n.relay.BeginShutdown(s.plan(func() bool { return n.roster.AnyPeerReady(time.Now()) }))
	n.callerServer.Drain()
	d := &callerDrain{server: n.callerServer, schedule: s}
	d.wait(ctx)
	n.logOpenRequests("closing connections", "after", time.Since(s.began), "connections", n.callerServer.OpenConnections())
	closeCtx, cancel := context.WithDeadline(ctx, s.close)
	defer cancel()
	n.callerServer.Shutdown(closeCtx)
	n.logOpenRequests("stopped", "after", time.Since(s.began), "before-kill", time.Until(s.kill))
	err := n.app.Stop(ctx)
	_ = n.logger.Log("msg", "ended", "after", time.Since(s.began))
	return err
}

// setLeaving makes the daemon count as leaving. It waits for a refresh that may still set
// the status from before.
func (n *Node) setLeaving() {
	n.refreshMu.Lock()
	defer n.refreshMu.Unlock()
	n.leaving.Store(true)
	n.roster.SetStatus(false, true)
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

// callerDrain waits during the shutdown until callers use other daemons.
type callerDrain struct {
	server   *caller.Server
	schedule shutdownSchedule
}

func (d *callerDrain) wait(ctx context.Context) {
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for !d.done(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *callerDrain) done(now time.Time) bool {
	if !now.Before(d.schedule.stopReading) {
		return true
	}
	return now.Sub(d.schedule.began) >= lookupDrainTime && len(d.server.OpenRequests()) == 0
}
