package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/watch"
)

const (
	// configCheckTimeout is the time limit of a check. It doubles with each failed one,
	// up to the time limit of a store call: the store may be slow, but a connection that
	// has died must not use up the time in which a change has to be in force.
	configCheckTimeout = 600 * time.Millisecond
	// firstConfigInterval is how often the checker looks whether the follower has read the
	// first configuration.
	firstConfigInterval = 100 * time.Millisecond
	// maxCheckDoublings bounds how often the time limit is doubled.
	maxCheckDoublings = 2
	// fullCheckBytesPerSecond limits the rate at which checks read whole
	// configurations. If the one in force is larger, some checks read changes only.
	fullCheckBytesPerSecond = 128 << 10
	// configBackups is the number of daemons after the first in rank that send a
	// configuration which they found by a check. Those that come later in rank all
	// check at the same time, so that they need not send it to each other.
	configBackups = 2
)

// configChecker bounds the age of the configuration in force. Long polls report a change
// early, but one that hears nothing looks like one for which nothing has changed. The
// checker asks the store anew once the configuration was not confirmed as the newest for
// some time, by this daemon or by a peer.
type configChecker struct {
	*Node
	schedule watch.Schedule
	failures int
	// position is the one that the last check covers; version 0 requests a full read.
	position watch.Position
	// fullReadAt is when the last full read began.
	fullReadAt time.Time
}

func (c *configChecker) loop(ctx context.Context) {
	for ctx.Err() == nil {
		asOf := c.configAge.lastConfirmed()
		if asOf.IsZero() {
			sleep(ctx, firstConfigInterval)
			continue
		}
		rank := c.roster.ReaderRank(time.Now())
		if wait := time.Until(c.schedule.Due(asOf, asOf, rank)); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		c.check(ctx, rank)
	}
}

// check asks the store for the newest configuration, and tells the peers of the local
// data centre that the one in force is current.
func (c *configChecker) check(ctx context.Context, rank int) {
	began := time.Now()
	position := c.nextPosition(began)
	read, err := c.read(ctx, position)
	c.logConfigRead(began, position.Version, read, err)
	if err != nil {
		c.failed(err, rank)
		return
	}
	c.succeeded(began, position, read)
	if c.applyConfig(fromStore, read, began) && rank <= configBackups {
		c.distributeConfig()
	}
	c.gossip.SendHeartbeatTo(addressesOf(c.roster.LocalPeers()))
}

// nextPosition returns the position from which to read changes, or version 0 for a full
// read. A full read does not rely on the position, that is, on what earlier answers claimed
// to cover.
func (c *configChecker) nextPosition(now time.Time) watch.Position {
	size := 0
	if doc := c.configDocument.Load(); doc != nil {
		size = len(doc.Data)
	}
	if now.Sub(c.fullReadAt) >= time.Duration(size)*time.Second/fullCheckBytesPerSecond {
		return watch.Position{}
	}
	return c.position
}

func (c *configChecker) read(ctx context.Context, position watch.Position) (ConfigResult, error) {
	ctx, cancel := context.WithTimeout(ctx, configCheckTimeout<<min(c.failures, maxCheckDoublings))
	defer cancel()
	if position.Version == 0 {
		return c.readConfig(ctx)
	}
	return c.pollConfig(ctx, position, 0)
}

func (c *configChecker) succeeded(began time.Time, position watch.Position, read ConfigResult) {
	c.schedule.Succeeded()
	c.failures = 0
	c.position = read.Position()
	if position.Version == 0 {
		c.fullReadAt = began
	}
}

func (c *configChecker) failed(err error, rank int) {
	c.schedule.Failed(time.Now(), rank)
	if fault.Is(err, fault.HistoryGone) {
		c.position = watch.Position{}
		return
	}
	c.failures++
}
