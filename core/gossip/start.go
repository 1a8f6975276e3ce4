package gossip

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// Snapshot is the whole target list, divided into fragments to be sent.
type Snapshot struct {
	fragments []Fragment
}

// NewSnapshot encodes the whole target list. It fails with fault.MessageInvalid if the
// list is too large.
func NewSnapshot(d watch.Delta) (*Snapshot, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "target list cannot be encoded")
	}
	fragments, err := (&Document{Version: d.Version, Data: data}).split()
	return &Snapshot{fragments: fragments}, err
}

// SendSnapshot sends the whole target list to the members.
func (n *Transport) SendSnapshot(s *Snapshot, to []roster.Member) {
	for i := range s.fragments {
		n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, SnapshotFragment: &s.fragments[i]}, to)
	}
}

// SendMembers sends members of the fleet to a daemon that has just started.
func (n *Transport) SendMembers(members []roster.Member, to roster.Member) {
	for part := range slices.Chunk(members, maxMembers) {
		n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, Members: part}, []roster.Member{to})
	}
}

// RequestMembers asks daemons of which only the addresses are known for the members of
// this daemon's data centre.
func (n *Transport) RequestMembers(addresses []string) {
	report := n.sources.Heartbeat()
	report.WantsMembers = true
	n.sendToAddresses(&report, addresses)
}

// SendHeartbeatTo sends a heartbeat to the addresses at once.
func (n *Transport) SendHeartbeatTo(addresses []string) {
	report := n.sources.Heartbeat()
	n.sendToAddresses(&report, addresses)
}

// sendToAddresses sends a report to daemons of which only the addresses are known.
func (n *Transport) sendToAddresses(report *Report, addresses []string) {
	members := make([]roster.Member, len(addresses))
	for i, a := range addresses {
		members[i] = roster.Member{PeerAddress: a}
	}
	n.sendReport(report, members)
}

// handleStartup calls the handlers for the contents that are sent mostly to daemons that
// have just started.
func (r *receiver) handleStartup(report *Report) {
	if len(report.Members) > 0 {
		r.handlers.Members(report.VM, report.Members)
	}
	if report.SnapshotFragment == nil {
		return
	}
	d, err := r.addSnapshotFragment(report.SnapshotFragment)
	if err != nil {
		_ = r.logger.Log("msg", "piece of a target list dropped", "peer", report.VM, "err", err)
		return
	}
	if d != nil {
		r.handlers.Snapshot(report.VM, *d)
	}
}

// addSnapshotFragment adds a fragment and returns the target list once it is complete.
func (r *receiver) addSnapshotFragment(f *Fragment) (*watch.Delta, error) {
	doc, err := r.snapshotFragments.add(f)
	if doc == nil || err != nil {
		return nil, err
	}
	var d watch.Delta
	if err := cbor.Unmarshal(doc.Data, &d); err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "target list cannot be decoded")
	}
	if d.Since != 0 || d.Version <= 0 || d.Age < 0 {
		return nil, fault.New(fault.MessageInvalid, "target list of version %d since %d is not a valid snapshot", d.Version, d.Since)
	}
	return &d, nil
}
