package node

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// catchUpInterval is how often the version in force is compared with those of peers.
	catchUpInterval = 50 * time.Millisecond
	// firstAttemptDelay is the time after which a newer version is asked for: until then,
	// the configuration may be on its way. If only daemons of other data centres have it, a
	// random part of remoteAttemptSpread is added. The daemon that gets it first sends it
	// to the others, so that few of them ask.
	firstAttemptDelay   = 200 * time.Millisecond
	remoteAttemptSpread = 250 * time.Millisecond
	// secondAttemptDelay is the delay after the first attempt, catchUpBackoff that after
	// the second one, which doubles with each further one up to maxCatchUpBackoff. A
	// version that no attempt can get may not exist.
	secondAttemptDelay = 250 * time.Millisecond
	catchUpBackoff     = time.Second
	maxCatchUpBackoff  = 16 * time.Second
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
// due.
func (c *configCatchUp) attemptIfDue(now time.Time, version int64, members []roster.Member) {
	m := c.missing[version]
	if m == nil {
		c.missing[version] = &missingConfig{next: now.Add(c.firstDelay(members))}
		return
	}
	if now.Before(m.next) {
		return
	}
	m.attempts++
	m.next = now.Add(m.delay())
	_ = c.logger.Log("msg", "peers have a newer configuration", "version", version, "peers", len(members), "attempt", m.attempts)
	c.askForConfig(members)
	if m.attempts > 1 {
		c.requestConfigRead()
	}
}

// firstDelay returns the delay of the first attempt to get a version from the members.
func (c *configCatchUp) firstDelay(members []roster.Member) time.Duration {
	if len(c.localMembers(members)) > 0 {
		return firstAttemptDelay
	}
	return firstAttemptDelay + rand.N(remoteAttemptSpread)
}

// delay returns the time between the last attempt and the next one.
func (m *missingConfig) delay() time.Duration {
	if m.attempts < 2 {
		return secondAttemptDelay
	}
	return min(catchUpBackoff<<min(m.attempts-2, 8), maxCatchUpBackoff)
}
