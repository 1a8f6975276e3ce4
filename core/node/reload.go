package node

import (
	"context"
	"os"
	"time"
)

// settingsCheckInterval is how often the settings file is checked for changes,
// which may come without a signal.
const settingsCheckInterval = time.Second

// ReloadSettings applies the settings that may change while the daemon runs: the
// retry budget, the bound of the quotas and the shutdown time. Changed addresses take
// effect at the next start; the log line says whether a restart is needed.
func (n *Node) ReloadSettings(s *Settings) {
	previous := n.settings.Swap(s)
	unchanged := s.CallerAddress == previous.CallerAddress && s.PeerAddress == previous.PeerAddress && s.StoreAddress == previous.StoreAddress
	n.relay.SetRetryBudget(relayBudget(s))
	n.quotas.SetPolicy(quotaPolicy(s))
	_ = n.logger.Log("msg", "settings reloaded", "restart-needed", !unchanged)
}

// ReloadSettingsFile reloads the settings from a file; the old ones stay in force
// if the file cannot be used.
func (n *Node) ReloadSettingsFile(file string) {
	s, err := LoadSettings(file, WithPlatformFields(n.platform.TranslateSettings))
	if err != nil {
		_ = n.logger.Log("msg", "settings not reloaded", "err", err)
		return
	}
	n.ReloadSettings(s)
}

// WatchSettings reloads the settings at each signal, and whenever the content of the
// file changes, until ctx ends. It reads the file in the background, because that may
// take long, and the daemon must not handle SIGTERM late.
func (n *Node) WatchSettings(ctx context.Context, file string, reload <-chan os.Signal) {
	w := &settingsWatcher{Node: n, file: file, reload: reload}
	go w.loop(ctx)
}

// settingsWatcher polls the settings file for changes.
type settingsWatcher struct {
	*Node
	file   string
	reload <-chan os.Signal
	last   string
}

func (w *settingsWatcher) loop(ctx context.Context) {
	w.last = w.content()
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reload:
			w.last = w.content()
			w.ReloadSettingsFile(w.file)
		case <-tick.C:
			w.reloadIfChanged()
		}
	}
}

func (w *settingsWatcher) reloadIfChanged() {
	if now := w.content(); now != w.last {
		w.last = now
		w.ReloadSettingsFile(w.file)
	}
}

// content returns the content of the file, or the last known one if the file cannot
// be read.
func (w *settingsWatcher) content() string {
	data, err := os.ReadFile(w.file)
	if err != nil {
		return w.last
	}
	return string(data)
}
