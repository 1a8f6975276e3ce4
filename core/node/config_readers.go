package node

import (
	"time"

	"wisteriarelay.example/core/gossip"
)

const (
	// configReaders is the number of daemons of a data centre that wait for
	// configurations at the store for the others.
	configReaders = 2
	// readerSettle is the time after a start in which peers are not known yet, and
	// every daemon would take itself for a reader.
	readerSettle = time.Second
	// readerMemory is how long a daemon that has read the target list itself counts
	// among them: those that should read may be cut from the store.
	readerMemory = 2 * time.Second
)

// readsForOthers reports whether this daemon waits for configurations at the store.
// Load pattern: hundreds of daemons, each of which would call the store at each
// change.
func (n *Node) readsForOthers() bool {
	now := time.Now()
	if now.Sub(n.startedAt) < readerSettle {
		return false
	}
	lately := n.listReadAt.Load()
	return n.roster.Rank(now) < configReaders || lately != nil && now.Sub(*lately) < readerMemory
}

// configHeard takes in a configuration that a peer has read.
func (n *Node) configHeard(d gossip.Document) {
	if t := n.relay.Table(); t != nil && d.Version <= int64(t.Version) {
		return
	}
	config, err := n.platform.DecodeConfig(d.Data)
	f := &configFollower{n}
	f.apply(ConfigRead{Config: config, Raw: d.Data, Problem: err}, true)
}
