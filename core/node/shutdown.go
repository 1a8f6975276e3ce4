package node

import (
	"context"
	"time"
)

// Stop leaves the fleet without cutting a request and ends the daemon.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	n.leaving.Store(true)
	n.roster.SetSelf(false, true)
	_ = n.logger.Log("msg", "leaving", "busy", n.callers.Busy(), "connections", n.callers.Connections())
	n.peers.Beat()
	n.callers.Drain()
	d := &departure{node: n, began: began}
	d.wait(ctx)
	_ = n.logger.Log("msg", "stopped", "after", time.Since(began), "cut", n.callers.Busy())
	return n.app.Stop(ctx)
}

// Close ends the daemon at once, without regard to requests in progress.
func (n *Node) Close() error {
	return n.app.Stop(context.Background())
}

const (
	// staleAnswers is how long callers may still connect after the daemon has
	// left the answers to the question where to connect: some keep an answer for
	// three times as long as they should.
	staleAnswers = 3500 * time.Millisecond
	// killMargin is kept between the end of the process and its being killed.
	killMargin = 900 * time.Millisecond
	// departureCheck is the time between two looks at what is still open.
	departureCheck = 50 * time.Millisecond
)

// departure waits for the callers to go elsewhere.
type departure struct {
	node  *Node
	began time.Time
}

func (d *departure) wait(ctx context.Context) {
	tick := time.NewTicker(departureCheck)
	defer tick.Stop()
	for !d.over(time.Since(d.began)) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *departure) over(since time.Duration) bool {
	if since >= d.node.settings.Load().Shutdown()-killMargin {
		return true
	}
	return since >= staleAnswers && d.node.callers.Busy() == 0
}
