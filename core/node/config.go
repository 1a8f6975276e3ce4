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
	// configWait is how long the store may hold a call that waits for a
	// configuration.
	configWait = 20 * time.Second
	// configRetry is the first wait after a failed read of the configuration.
	configRetry = 200 * time.Millisecond
	// configPace is the shortest time between two calls that bring a configuration.
	// A change counts within seconds, and operators may write many at once.
	configPace = 400 * time.Millisecond
	// maxConfigRetry bounds that wait.
	maxConfigRetry = 2 * time.Second
	// behindCheck is how often the version in force is compared with those of peers.
	behindCheck = 250 * time.Millisecond
	// behindChecks is the number of comparisons in a row after which the daemon
	// takes its own call for stuck.
	behindChecks = 2
)

// configFollower keeps the newest configuration in force.
type configFollower struct{ *Node }

func (f *configFollower) loop(ctx context.Context) {
	f.awaitPeers(ctx, func() bool { return f.relay.Table() != nil })
	position := int64(0)
	wait := configRetry
	for ctx.Err() == nil {
		if f.relay.Table() != nil && !f.readsForOthers() {
			position = 0
			if !f.awaitReason(ctx) {
				continue
			}
		}
		read, err := f.read(ctx, position)
		if err == nil {
			f.take(read)
			if position != 0 && (read.Config != nil || read.Problem != nil) {
				pause(ctx, configPace)
			}
			position = read.Position
			wait = configRetry
			continue
		}
		// A plain read needs no history, and no connection that waits in silence.
		position = 0
		if ctx.Err() != nil || errors.Is(err, errAskAgain) || fault.Is(err, fault.HistoryGone) {
			continue
		}
		_ = f.logger.Log("msg", "configuration not read", "err", err, "next", wait)
		pause(ctx, wait)
		wait = min(2*wait, maxConfigRetry)
	}
}

// take puts a configuration that was read from the store in force, and passes it
// on if this daemon reads for its data centre.
func (f *configFollower) take(read ConfigRead) {
	newer := f.apply(read, false)
	if newer && f.readsForOthers() {
		f.peers.TellConfig(*f.document.Load(), f.roster.Near())
	}
}

// awaitReason waits until the daemon has to read the configuration itself: a peer
// has a newer one and did not pass it on, or there is a reason to doubt what is in
// force. It returns false once the daemon reads for its data centre.
func (f *configFollower) awaitReason(ctx context.Context) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &configWatch{f.Node}
	go w.loop(ctx, cancel)
	tick := time.NewTicker(behindCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Is(context.Cause(ctx), errAskAgain)
		case <-tick.C:
			if f.readsForOthers() {
				return false
			}
		}
	}
}

// errAskAgain ends a waiting call whose connection may have gone silent.
var errAskAgain = errors.New("the configuration has to be read at once")

func (f *configFollower) read(ctx context.Context, position int64) (ConfigRead, error) {
	if position == 0 {
		return f.platform.ReadConfig(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &configWatch{f.Node}
	go w.loop(ctx, cancel)
	read, err := f.platform.AwaitConfig(ctx, position, configWait)
	if err != nil && errors.Is(context.Cause(ctx), errAskAgain) {
		return read, errAskAgain
	}
	return read, err
}

// askConfig ends the call that waits for a configuration, so that it is read at once.
func (n *Node) askConfig() {
	select {
	case n.askNow <- struct{}{}:
	default:
	}
}

// configWatch ends a call that waits for a configuration when there is a reason
// to doubt its connection: a peer has a newer one, or the store was away.
type configWatch struct{ *Node }

func (w *configWatch) loop(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(behindCheck)
	defer tick.Stop()
	behind := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.askNow:
			cancel(errAskAgain)
			return
		case <-tick.C:
		}
		if t := w.relay.Table(); t == nil || int64(t.Version) >= w.newest.Load() {
			behind = 0
			continue
		}
		if behind++; behind >= behindChecks {
			_ = w.logger.Log("msg", "a peer has a newer configuration", "version", w.newest.Load())
			cancel(errAskAgain)
			return
		}
	}
}

// apply puts a configuration in force unless it is older than the one in force,
// and reports whether it did. fromPeer says that a peer has read it.
func (f *configFollower) apply(read ConfigRead, fromPeer bool) bool {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	if read.Problem != nil {
		_ = f.logger.Log("msg", "configuration refused", "err", read.Problem, "position", read.Position)
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
	f.document.Store(&gossip.Document{Version: int64(read.Config.Version), Data: read.Raw})
	f.relay.SetTable(route.Compile(read.Config))
	f.renewTargets()
	f.refresh()
	f.set.Counter("config_problems").Inc(int64(len(problems)))
	for _, p := range problems {
		_ = f.logger.Log("msg", "part of the configuration cannot be used", "version", read.Config.Version, "err", p)
	}
	_ = f.logger.Log("msg", "configuration in force", "version", read.Config.Version, "position", read.Position, "from-peer", fromPeer)
	return true
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
