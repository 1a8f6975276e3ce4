package node

import "time"

const (
	// configReaderCount is the number of daemons of a data centre that poll the store
	// for configurations on behalf of the others.
	configReaderCount = 2
	// readerStartupDelay is the time after the start in which the daemon is not a
	// config reader. It may not know its peers yet, and every daemon would consider
	// itself a reader.
	readerStartupDelay = time.Second
	// recentReadWindow is how long a daemon that has read the target list itself counts
	// as a config reader: the designated readers may have lost their connection to the
	// store.
	recentReadWindow = 2 * time.Second
)

// isConfigReader reports whether this daemon polls the store for configurations and
// sends them to its peers. With hundreds of daemons, each change would otherwise
// cause one store call per daemon.
func (n *Node) isConfigReader() bool {
	now := time.Now()
	if now.Sub(n.startedAt) < readerStartupDelay {
		return false
	}
	lastRead := n.listReadAt.Load()
	return n.roster.ReaderRank(now) < configReaderCount || lastRead != nil && now.Sub(*lastRead) < recentReadWindow
}
