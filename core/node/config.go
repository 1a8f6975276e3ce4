package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/route"
)

const (
	// configPollTimeout is how long the store may hold a long poll for a configuration.
	configPollTimeout = 20 * time.Second
	// minConfigBackoff is the first delay after a failed read of the configuration.
	minConfigBackoff = 200 * time.Millisecond
	// minConfigInterval is the shortest time between two store calls that return a
	// configuration. Operators may write many configurations in a row, and a change
	// only has to take effect within seconds.
	minConfigInterval = 400 * time.Millisecond
	// maxConfigBackoff limits the delay after failed reads.
	maxConfigBackoff = 2 * time.Second
	// versionCheckInterval is how often the version in force is compared with those of
	// peers.
	versionCheckInterval = 250 * time.Millisecond
	// maxBehindChecks is the number of consecutive comparisons that find a newer
	// version at a peer before the daemon rereads the configuration: its own long poll
	// may be stuck.
	maxBehindChecks = 2
)

// configFollower keeps the newest configuration in force.
type configFollower struct{ *Node }

func (f *configFollower) loop(ctx context.Context) {
	f.waitForPeers(ctx, func() bool { return f.relay.Table() != nil })
	c := &configChecker{Node: f.Node}
	go c.loop(ctx)
	// A position of 0 requests a full read, any other one a long poll for newer
	// versions.
	position := int64(0)
	wait := minConfigBackoff
	for ctx.Err() == nil {
		if f.relay.Table() != nil && !f.isConfigReader() {
			position = 0
			if !f.waitUntilReadNeeded(ctx) {
				continue
			}
		}
		began := time.Now()
		read, err := f.read(ctx, position)
		f.logRead(began, position, read, err)
		if err == nil {
			f.applyAndSend(read, answeredAt(began, position, read))
			if position != 0 && (read.Config != nil || read.Err != nil) {
				sleep(ctx, minConfigInterval)
			}
			position = read.StoreVersion
			wait = minConfigBackoff
			continue
		}
		// Continue with a full read: it does not need the store's change history, nor
		// a long poll, whose dead connection would go unnoticed.
		position = 0
		if ctx.Err() != nil || errors.Is(err, errReread) || fault.Is(err, fault.HistoryGone) {
			continue
		}
		_ = f.logger.Log("msg", "configuration not read", "err", err, "next", wait)
		sleep(ctx, wait)
		wait = min(2*wait, maxConfigBackoff)
	}
}

// answeredAt returns a time before the store's answer to a call that began then. A
// long poll that returns a configuration was answered when it was written.
func answeredAt(began time.Time, position int64, read ConfigResult) time.Time {
	if position != 0 && (read.Config != nil || read.Err != nil) {
		return time.Now()
	}
	return began
}

// logRead logs a call to the store for the configuration. position is 0 for a full read.
func (f *configFollower) logRead(began time.Time, position int64, read ConfigResult, err error) {
	fields := []any{"msg", "configuration read", "duration", time.Since(began), "after", position, "position", read.StoreVersion}
	if read.Config != nil {
		fields = append(fields, "version", read.Config.Version)
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	_ = f.logger.Log(fields...)
}

// applyAndSend applies a configuration that was read from the store, which answered
// after asOf, and sends it to the daemons of the local data centre if this daemon is
// one of its config readers.
func (f *configFollower) applyAndSend(read ConfigResult, asOf time.Time) {
	newer := f.apply(fromStore, read, asOf)
	if newer && f.isConfigReader() {
		f.sendToLocalPeers()
	}
}

// sendToLocalPeers sends the configuration in force to the daemons of the local data
// centre.
func (f *configFollower) sendToLocalPeers() {
	peers := f.roster.LocalPeers()
	doc := f.currentDocument()
	_ = f.logger.Log("msg", "configuration sent", "version", doc.Version, "peers", len(peers))
	f.gossip.SendConfig(doc, peers)
}

// currentDocument returns the configuration in force with its age.
func (n *Node) currentDocument() gossip.Document {
	doc := *n.configDocument.Load()
	doc.Age = n.reportedConfigAge()
	return doc
}

// waitUntilReadNeeded waits until the daemon has to read the configuration itself:
// a peer has a newer one that did not arrive here, or a reread was requested. It
// returns false once the daemon is a config reader or its context ends.
func (f *configFollower) waitUntilReadNeeded(ctx context.Context) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &staleConfigWatcher{f.Node}
	go w.loop(ctx, cancel)
	tick := time.NewTicker(versionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Is(context.Cause(ctx), errReread)
		case <-tick.C:
			if f.isConfigReader() {
				return false
			}
		}
	}
}

// errReread cancels a long poll whose connection may be dead, so that the
// configuration is reread.
var errReread = errors.New("configuration must be reread immediately")

func (f *configFollower) read(ctx context.Context, position int64) (ConfigResult, error) {
	if position == 0 {
		return f.platform.ReadConfig(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &staleConfigWatcher{f.Node}
	go w.loop(ctx, cancel)
	read, err := f.platform.LongPollConfig(ctx, position, configPollTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errReread) {
		return read, errReread
	}
	return read, err
}

// requestConfigRead cancels the long poll for a configuration, so that it is reread
// immediately.
func (n *Node) requestConfigRead() {
	select {
	case n.configReadRequests <- struct{}{}:
	default:
	}
}

// staleConfigWatcher cancels a wait for a configuration when its connection may be
// dead: a peer has a newer configuration, or the store was unreachable for a while.
type staleConfigWatcher struct{ *Node }

func (w *staleConfigWatcher) loop(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(versionCheckInterval)
	defer tick.Stop()
	behind := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.configReadRequests:
			cancel(errReread)
			return
		case <-tick.C:
		}
		if t := w.relay.Table(); t == nil || int64(t.Version) >= w.newestPeerConfig.Load() {
			behind = 0
			continue
		}
		if behind++; behind >= maxBehindChecks {
			_ = w.logger.Log("msg", "a peer has a newer configuration", "version", w.newestPeerConfig.Load())
			cancel(errReread)
			return
		}
	}
}

// apply puts a configuration in force unless one of the same or a higher version is
// in force, and reports whether it did. The source is for the log: the VM of a peer or
// fromStore. No newer configuration existed at asOf.
func (f *configFollower) apply(source string, read ConfigResult, asOf time.Time) bool {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	newer := f.putInForce(source, read)
	if t := f.relay.Table(); t != nil && (newer || source == fromStore) {
		f.configAge.confirm(t.Version, asOf)
	}
	return newer
}

// putInForce is apply without recording the age. f.configMu is held.
func (f *configFollower) putInForce(source string, read ConfigResult) bool {
	if read.Err != nil {
		_ = f.logger.Log("msg", "configuration refused", "err", read.Err, "position", read.StoreVersion)
		return false
	}
	if read.Config == nil {
		return false
	}
	problems, err := read.Config.Validate()
	if err != nil {
		_ = f.logger.Log("msg", "configuration refused", "version", read.Config.Version, "err", err)
		return false
	}
	if old := f.relay.Table(); old != nil && read.Config.Version <= old.Version {
		_ = f.logger.Log("msg", "configuration is not newer", "version", read.Config.Version, "in-force", old.Version)
		return false
	}
	f.configDocument.Store(&gossip.Document{Version: int64(read.Config.Version), Data: read.Raw})
	f.relay.SetTable(route.Compile(read.Config))
	f.updateTargets()
	f.refresh()
	f.metrics.Counter("config_problems").Inc(int64(len(problems)))
	for _, p := range problems {
		_ = f.logger.Log("msg", "part of the configuration cannot be used", "version", read.Config.Version, "err", p)
	}
	_ = f.logger.Log("msg", "configuration in force", "version", read.Config.Version, "position", read.StoreVersion, "from-peer", source != fromStore, "source", source)
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
