package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// catchUpInterval is how often the version in force is compared with those of peers,
	// and the delay of the first two attempts to get a newer one.
	catchUpInterval = 250 * time.Millisecond
	// catchUpBackoff is the delay after the second attempt; it doubles with each further
	// one up to maxCatchUpBackoff. A version that no attempt can get may not exist.
	catchUpBackoff    = time.Second
	maxCatchUpBackoff = 16 * time.Second
)

// configCatchUp gets a configuration that a peer has in force and that did not arrive
// here.
type configCatchUp struct {
	*Node
	// missing holds the versions above the one in force that peers report.
	missing map[int64]*missingConfig
}

// missingConfig is what was done to get a version.
type missingConfig struct {
	attempts int
	next     time.Time
}

func newConfigCatchUp(n *Node) *configCatchUp {
	return &configCatchUp{Node: n, missing: map[int64]*missingConfig{}}
}

func (c *configCatchUp) loop(ctx context.Context) {
	tick := time.NewTicker(catchUpInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.step(time.Now())
		}
	}
}

// step makes the attempts that are due.
func (c *configCatchUp) step(now time.Time) {
	inForce := c.configVersion()
	if inForce == 0 {
		return
	}
	holders := c.roster.ConfigHolders(now, inForce)
	for version := range c.missing {
		if holders[version] == nil {
			delete(c.missing, version)
		}
	}
	for version, members := range holders {
		c.attemptIfDue(now, version, members)
	}
}

// attemptIfDue makes an attempt to get the version, which the members have, if one is
// due. The first is due after catchUpInterval: until then, the configuration may be on
// its way.
func (c *configCatchUp) attemptIfDue(now time.Time, version int64, members []roster.Member) {
	m := c.missing[version]
	if m == nil {
		c.missing[version] = &missingConfig{next: now.Add(catchUpInterval)}
		return
	}
	if now.Before(m.next) {
		return
	}
	m.attempts++
	m.next = now.Add(m.delay())
	_ = c.logger.Log("msg", "peers have a newer configuration", "version", version, "peers", len(members), "attempt", m.attempts)
	c.askForConfig(members, m.attempts)
	if m.attempts > 1 {
		c.requestConfigRead()
	}
}

// delay returns the time between the last attempt and the next one.
func (m *missingConfig) delay() time.Duration {
	if m.attempts < 2 {
		return catchUpInterval
	}
	return min(catchUpBackoff<<min(m.attempts-2, 8), maxCatchUpBackoff)
}
