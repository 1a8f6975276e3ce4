package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/watch"
)

// readConfig reads the configuration from the store. It fails with
// fault.StoreUnavailable if the answer is older than the configuration that was in force
// before the call, so that nothing it claims to cover can be relied on.
func (n *Node) readConfig(ctx context.Context) (ConfigResult, error) {
	inForce := n.configVersion()
	read, err := n.platform.ReadConfig(ctx)
	if err != nil || read.Config == nil {
		return read, err
	}
	if int64(read.Config.Version) < inForce {
		return ConfigResult{}, fault.New(fault.StoreUnavailable, "store returned configuration %d, older than %d", read.Config.Version, inForce)
	}
	return read, nil
}

// pollConfig waits for a configuration that is written after the position. It fails with
// fault.HistoryGone if the store has begun another era since the position was read: what was
// written in it meanwhile may have a lower version.
func (n *Node) pollConfig(ctx context.Context, after watch.Position, wait time.Duration) (ConfigResult, error) {
	read, err := n.platform.LongPollConfig(ctx, after.Version, wait)
	if err == nil && !read.Era.Matches(after.Era) {
		return ConfigResult{}, fault.New(fault.HistoryGone, "store is in era %s, version %d is of era %s", read.Era, after.Version, after.Era)
	}
	return read, err
}

// logConfigRead logs a call to the store for the configuration. position is 0 for a full
// read.
func (n *Node) logConfigRead(began time.Time, position int64, read ConfigResult, err error) {
	fields := []any{"msg", "configuration read", "duration", time.Since(began), "after", position, "position", read.StoreVersion}
	if read.Config != nil {
		fields = append(fields, "version", read.Config.Version)
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	_ = n.logger.Log(fields...)
}

// applyConfig puts a configuration in force unless one of the same or a higher version
// is in force, and reports whether it did. The source is the VM of a peer or fromStore.
// No newer configuration existed at asOf.
func (n *Node) applyConfig(source string, read ConfigResult, asOf time.Time) bool {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	newer := n.putInForce(source, read)
	t := n.relay.Table()
	switch {
	case t == nil:
	case source == fromStore:
		n.configAge.confirmRead(t.Version, asOf)
	case newer:
		n.configAge.confirmReport(t.Version, asOf)
	}
	return newer
}

// putInForce is applyConfig without recording the age. n.configMu is held.
func (n *Node) putInForce(source string, read ConfigResult) bool {
	if read.Err != nil {
		_ = n.logger.Log("msg", "configuration refused", "err", read.Err, "position", read.StoreVersion)
		return false
	}
	if read.Config == nil {
		return false
	}
	if inForce := n.configVersion(); inForce > 0 && int64(read.Config.Version) <= inForce {
		if int64(read.Config.Version) < inForce {
			_ = n.logger.Log("msg", "configuration is not newer", "version", read.Config.Version, "in-force", inForce)
		}
		return false
	}
	problems, err := read.Config.Validate()
	if err != nil {
		_ = n.logger.Log("msg", "configuration refused", "version", read.Config.Version, "err", err)
		return false
	}
	previous := n.relay.Table()
	n.configDocument.Store(&gossip.Document{Version: int64(read.Config.Version), Data: read.Raw})
	table := route.Compile(read.Config)
	n.quotaIndex.Store(newQuotaIndex(table))
	n.relay.SetTable(table)
	n.updateTargets()
	n.refresh()
	n.metrics.Counter("config_problems").Inc(int64(len(problems)))
	for _, p := range problems {
		_ = n.logger.Log("msg", "part of the configuration cannot be used", "version", read.Config.Version, "err", p)
	}
	if previous == nil || previous.Limits != table.Limits {
		n.logLimitsBeyondMemory(table.Limits)
	}
	_ = n.logger.Log("msg", "configuration in force", "version", read.Config.Version, "position", read.StoreVersion, "from-peer", source != fromStore, "source", source)
	return true
}

// handleConfig applies a configuration that was received from a peer. One from another
// data centre, for which this daemon has asked, is sent to the local one.
func (n *Node) handleConfig(peer string, d gossip.Document) {
	if d.Version <= n.configVersion() {
		return
	}
	config, err := n.platform.DecodeConfig(d.Data)
	if err == nil && int64(config.Version) != d.Version {
		err = fault.New(fault.SettingsInvalid, "configuration %d was sent as version %d", config.Version, d.Version)
	}
	age := d.Age
	if age == 0 {
		age = unknownConfigAge
	}
	newer := n.applyConfig(peer, ConfigResult{Config: config, Raw: d.Data, Err: err}, time.Now().Add(-age))
	if newer && n.roster.IsRemote(peer) {
		n.sendConfigToLocalPeers()
	}
}

// distributeConfig sends the configuration in force, which this daemon has just read, to
// the daemons of the local data centre, and tells others of its version.
func (n *Node) distributeConfig() {
	n.sendConfigToLocalPeers()
	n.notifyRemotePeers()
}

// sendConfigToLocalPeers sends the configuration in force to the daemons of the local
// data centre.
func (n *Node) sendConfigToLocalPeers() {
	peers := n.roster.LocalPeers()
	doc := n.currentDocument()
	_ = n.logger.Log("msg", "configuration sent", "version", doc.Version, "peers", len(peers))
	n.gossip.SendConfig(doc, peers)
}

// currentDocument returns the configuration in force with its age.
func (n *Node) currentDocument() gossip.Document {
	doc := *n.configDocument.Load()
	doc.Age = n.reportedConfigAge()
	return doc
}

// configVersion returns the version of the configuration in force, or 0.
func (n *Node) configVersion() int64 {
	if t := n.relay.Table(); t != nil {
		return int64(t.Version)
	}
	return 0
}
