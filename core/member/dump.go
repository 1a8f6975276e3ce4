package member

import (
	"time"

	"wisteriarelay.example/core/fleet"
)

// Dump is the part of a state dump about the membership.
type Dump struct {
	Self        fleet.VM          `json:"self"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	VMsKnown    bool              `json:"known"`
	Superseded  bool              `json:"superseded,omitempty"`
	ListVersion uint64            `json:"list-version"`
	// ListAge is the time since the VM list was last read, such as "3.2s", or empty
	// if it has never been read.
	ListAge             string            `json:"list-age,omitempty"`
	PlacementGeneration uint64            `json:"generation"`
	LiveVMs             int               `json:"live-vms"`
	Carried             []fleet.ServiceID `json:"carried"`
	WindingDown         []fleet.ServiceID `json:"winding-down,omitempty"`
	Peers               []PeerDump        `json:"peers"`
	Reports             Counters          `json:"reports"`
}

// PeerDump is one peer in a state dump, with the results of the methods of Peer at
// the time of the dump.
type PeerDump struct {
	ID                 fleet.VMID        `json:"id"`
	Incarnation        fleet.Incarnation `json:"incarnation,omitempty"`
	Listed             bool              `json:"listed"`
	Leaving            bool              `json:"leaving,omitempty"`
	Ready              bool              `json:"ready"`
	Heard              bool              `json:"heard"`
	HearsUs            bool              `json:"hears-us"`
	Silence            string            `json:"silence,omitempty"`
	Revision           uint64            `json:"revision"`
	UsableForEvidence  bool              `json:"usable-for-evidence"`
	UsableAsProber     bool              `json:"usable-as-prober"`
	UsableForAddresses bool              `json:"usable-for-addresses"`
	InFlightWeight     float64           `json:"in-flight-share"`
}

// Dump returns the part of a state dump about the membership.
func (t *Table) Dump(now time.Time) Dump {
	v := t.View()
	d := Dump{
		Self:                v.Self,
		Incarnation:         v.Incarnation,
		VMsKnown:            v.VMsKnown,
		Superseded:          v.Superseded,
		ListVersion:         v.ListVersion,
		ListAge:             age(v.ListReadAt, now),
		PlacementGeneration: v.PlacementGeneration,
		LiveVMs:             len(v.Live),
		Carried:             v.Carried,
		WindingDown:         v.WindingDown(now),
		Peers:               make([]PeerDump, len(v.Peers)),
		Reports:             t.Counters(),
	}
	for i := range v.Peers {
		d.Peers[i] = v.Peers[i].dump(now)
	}
	return d
}

func (p *Peer) dump(now time.Time) PeerDump {
	return PeerDump{
		ID:                 p.VM.ID,
		Incarnation:        p.Incarnation,
		Listed:             p.Listed,
		Leaving:            p.VM.Leaving,
		Ready:              p.Ready,
		Heard:              p.IsHeard(now),
		HearsUs:            p.HearsUs(now),
		Silence:            age(p.HeardAt, now),
		Revision:           p.Revision,
		UsableForEvidence:  p.IsUsableForEvidence(now),
		UsableAsProber:     p.IsUsableAsProber(now),
		UsableForAddresses: p.IsUsableForAddresses(now),
		InFlightWeight:     p.InFlightWeight(now),
	}
}

func age(at, now time.Time) string {
	if at.IsZero() {
		return ""
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
