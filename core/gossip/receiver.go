package gossip

import (
	"net"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// receiver reads reports from the connection and calls the handlers.
type receiver struct {
	*Transport
	fanouts           *fanoutCache
	configFragments   reassembler
	snapshotFragments reassembler
}

// run processes reports until the connection is closed.
func (r *receiver) run() {
	buffer := make([]byte, 2*maxReportBytes)
	for {
		size, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The host of a peer rejected an earlier datagram (ICMP).
		}
		report, err := Decode(buffer[:size])
		if err != nil {
			_ = r.logger.Log("msg", "report dropped", "from", from, "err", err)
			continue
		}
		r.handle(report, from.String())
	}
}

// handle processes one report. If the report is a heartbeat that the Heartbeat handler
// rejects, its other contents are ignored.
func (r *receiver) handle(report *Report, from string) {
	if report.IsHeartbeat() && !r.handlers.Heartbeat(report.Sender(from), report) {
		return
	}
	r.handleQuota(report, from)
	r.handleEvents(report)
	r.handleEstimates(report, from)
	r.handleStartup(report)
	for _, g := range report.RemoteCarriers {
		r.handlers.RemoteCarriers(g)
	}
	if report.ListPart != nil {
		r.handlers.ListPart(report.VM, *report.ListPart)
	}
	if report.ConfigFragment != nil {
		r.handleConfigFragment(report)
	}
	if report.WantsListSince > 0 {
		r.handlers.ListRequest(report.Sender(from), watch.Position{Era: report.WantsListEra, Version: report.WantsListSince})
	}
	if report.WantsConfig {
		r.handlers.ConfigRequest(report.Sender(from), report.ConfigVersion)
	}
}

// handleConfigFragment adds a fragment of a configuration and calls the handler once
// it is complete.
func (r *receiver) handleConfigFragment(report *Report) {
	d, err := r.configFragments.add(report.ConfigFragment)
	if err != nil {
		_ = r.logger.Log("msg", "piece of a configuration dropped", "peer", report.VM, "err", err)
		return
	}
	if d != nil {
		d.Age = max(report.ConfigAge, 0)
		r.handlers.Config(report.VM, *d)
	}
}

// handleEvents calls the handler for the events that are new, and forwards them in the
// local data centre if the report requests it. Events of unknown targets are skipped.
func (r *receiver) handleEvents(report *Report) {
	if report.EventBatch == nil {
		return
	}
	index := r.sources.Targets()
	forwarded := map[roster.Member][]queuedEvent{}
	for i := range report.EventBatch.Events {
		e := &report.EventBatch.Events[i]
		seq := report.EventBatch.FirstSeq + e.Offset
		ref, known := index[e.Target]
		if !known || !r.markNew(report, seq) {
			continue
		}
		event := e.decode(ref)
		r.handlers.Event(report.VM, event)
		if !report.Forward {
			continue
		}
		for _, m := range r.fanouts.get(ref.Service).localRecipients(event) {
			forwarded[m] = append(forwarded[m], queuedEvent{seq: seq, service: ref.Service, target: e.Target, event: event})
		}
	}
	for m, events := range forwarded {
		r.sendEvents(m, Report{VM: report.VM, StartMillis: report.StartMillis}, events)
	}
}

// maxWindows is the largest number of senders whose events are deduplicated. Beyond it all
// are forgotten, so that an event which is on the way twice at that moment may count twice.
const maxWindows = 4096

// markNew marks the sender's event as received and reports whether it was new.
func (r *receiver) markNew(report *Report, seq uint64) bool {
	r.windowsMu.Lock()
	defer r.windowsMu.Unlock()
	w := r.windows[report.VM]
	if w == nil || w.startMillis != report.StartMillis {
		if w == nil && len(r.windows) >= maxWindows {
			clear(r.windows)
		}
		w = &senderWindow{startMillis: report.StartMillis}
		r.windows[report.VM] = w
	}
	return w.window.markNew(seq)
}
