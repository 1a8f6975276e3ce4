package gossip

import (
	"net"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/roster"
)

// receiver takes reports in.
type receiver struct {
	*Node
	groups   *groups
	config   joiner
	snapshot joiner
}

// run ends when the connection is closed.
func (r *receiver) run() {
	buffer := make([]byte, 2*maxReport)
	for {
		size, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier datagram was refused by its receiver.
		}
		report, err := Decode(buffer[:size])
		if err != nil {
			_ = r.logger.Log("msg", "report dropped", "from", from, "err", err)
			continue
		}
		r.take(report, from.String())
	}
}

func (r *receiver) take(report *Report, from string) {
	if report.Beat() && !r.handlers.Heard(report.Member(from), report) {
		return
	}
	r.takeEvents(report)
	r.takeBeliefs(report, from)
	r.takeStart(report)
	for _, g := range report.Groups {
		r.handlers.Group(g)
	}
	if report.List != nil {
		r.handlers.List(*report.List)
	}
	if report.Piece != nil {
		r.takePiece(report)
	}
}

func (r *receiver) takePiece(report *Report) {
	d, err := r.config.add(report.Piece)
	if err != nil {
		_ = r.logger.Log("msg", "piece of a configuration dropped", "peer", report.VM, "err", err)
		return
	}
	if d != nil {
		r.handlers.Config(*d)
	}
}

// takeEvents takes in the events that are new and passes them on if asked to. Those
// of targets that this daemon does not know cost only themselves.
func (r *receiver) takeEvents(report *Report) {
	if report.Results == nil {
		return
	}
	index := r.sources.Targets()
	onward := map[roster.Member][]queued{}
	for i := range report.Results.Events {
		e := &report.Results.Events[i]
		number := report.Results.First + e.Offset
		ref, known := index[e.Target]
		if !known || !r.firstTime(report, number) {
			continue
		}
		event := e.decoded(ref)
		r.handlers.Event(report.VM, event)
		if !report.Forward {
			continue
		}
		for _, m := range r.groups.of(ref.Service).within(event) {
			onward[m] = append(onward[m], queued{number: number, service: ref.Service, target: e.Target, event: event})
		}
	}
	for m, events := range onward {
		r.sendEvents(m, Report{VM: report.VM, Born: report.Born}, events)
	}
}

func (r *receiver) firstTime(report *Report, number uint64) bool {
	r.seenMu.Lock()
	defer r.seenMu.Unlock()
	s := r.seen[report.VM]
	if s == nil || s.born != report.Born {
		s = &seenOf{born: report.Born}
		r.seen[report.VM] = s
	}
	return s.seen.first(number)
}
