package gossip

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// Snapshot is the whole target list in the pieces in which it is passed on.
type Snapshot struct {
	pieces []Piece
}

// NewSnapshot packs a whole target list; it fails with fault.MessageInvalid if
// that is too large.
func NewSnapshot(d watch.Delta) (*Snapshot, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "target list cannot be encoded")
	}
	pieces, err := (&Document{Version: d.Version, Data: data}).split()
	return &Snapshot{pieces: pieces}, err
}

// TellSnapshot passes the whole target list on to a daemon that has just started.
func (n *Node) TellSnapshot(s *Snapshot, to roster.Member) {
	for i := range s.pieces {
		n.sendAll(&Report{VM: n.self.VM, Born: n.self.Born, Snapshot: &s.pieces[i]}, []roster.Member{to})
	}
}

// TellMembers tells a daemon that has just started who else is in its data centre.
func (n *Node) TellMembers(members []roster.Member, to roster.Member) {
	for part := range slices.Chunk(members, maxGroup) {
		n.sendAll(&Report{VM: n.self.VM, Born: n.self.Born, Members: part}, []roster.Member{to})
	}
}

// Seek asks daemons of which only the addresses are known for those of the own
// data centre.
func (n *Node) Seek(addresses []string) {
	report := n.sources.State()
	report.Seeks = true
	n.sendTo(&report, addresses)
}

// BeatTo sends a heartbeat to the addresses at once.
func (n *Node) BeatTo(addresses []string) {
	report := n.sources.State()
	n.sendTo(&report, addresses)
}

func (n *Node) sendTo(report *Report, addresses []string) {
	members := make([]roster.Member, len(addresses))
	for i, a := range addresses {
		members[i] = roster.Member{Inner: a}
	}
	n.sendAll(report, members)
}

// takeStart hands on what a daemon that has just started is told.
func (r *receiver) takeStart(report *Report) {
	if len(report.Members) > 0 {
		r.handlers.Members(report.VM, report.Members)
	}
	if report.Snapshot == nil {
		return
	}
	d, err := r.takeSnapshot(report.Snapshot)
	if err != nil {
		_ = r.logger.Log("msg", "piece of a target list dropped", "peer", report.VM, "err", err)
		return
	}
	if d != nil {
		r.handlers.Snapshot(*d)
	}
}

// takeSnapshot takes in a piece and returns the list once it is whole.
func (r *receiver) takeSnapshot(p *Piece) (*watch.Delta, error) {
	doc, err := r.snapshot.add(p)
	if doc == nil || err != nil {
		return nil, err
	}
	var d watch.Delta
	if err := cbor.Unmarshal(doc.Data, &d); err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "target list cannot be decoded")
	}
	if d.Since != 0 || d.Version <= 0 || d.Age < 0 {
		return nil, fault.New(fault.MessageInvalid, "list of version %d since %d is not whole", d.Version, d.Since)
	}
	return &d, nil
}
