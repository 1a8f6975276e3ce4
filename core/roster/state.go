package roster

import (
	"cmp"
	"slices"
	"time"
)

// MemberState is the state of one daemon in the state dump.
type MemberState struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data-centre"`
	Alive      bool   `json:"alive"`
	Leaving    bool   `json:"leaving,omitempty"`
	// SinceHeartbeat is the time since the last heartbeat; -1 if there was none.
	SinceHeartbeat time.Duration `json:"heard-ago-ns"`
}

// State returns the state of the other daemons, sorted by VM.
func (r *Roster) State(now time.Time) []MemberState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]MemberState, 0, len(r.entries))
	for _, e := range r.entries {
		s := MemberState{VM: e.VM, DataCentre: e.DataCentre, Alive: r.alive(e, now), Leaving: e.leaving, SinceHeartbeat: -1}
		if !e.lastHeartbeat.IsZero() {
			s.SinceHeartbeat = now.Sub(e.lastHeartbeat)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b MemberState) int { return cmp.Compare(a.VM, b.VM) })
	return out
}
