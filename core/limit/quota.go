package limit

import (
	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
)

// remoteBit sorts the ranks of members in another data centre last.
const remoteBit = 1 << 63

// slotQuotas divides the slots of the targets among the members and returns this
// daemon's quota at each target. All daemons that see the same members and the same
// usable targets compute the same division without communication: each slot is assigned
// to the member with the fewest slots so far, and among equals first to one in the
// target's data centre and then to the one with the lowest rank.
func (g *Limiter) slotQuotas(members []fleet.VMID) []int {
	quotas := make([]int, len(g.targets))
	assigned := make([]int, len(members))
	ranks := make([]uint64, len(members))
	for i, t := range g.targets {
		if t.State == choose.Unavailable {
			continue
		}
		for m, vm := range members {
			ranks[m] = choose.Rank(vm, t.ID) | remoteBit
			if c, ok := g.dataCentres[vm]; ok && c == t.DataCentre {
				ranks[m] &^= remoteBit
			}
		}
		for range t.Slots {
			next := 0
			for m := range members {
				if assigned[m] < assigned[next] || (assigned[m] == assigned[next] && ranks[m] < ranks[next]) {
					next = m
				}
			}
			assigned[next]++
			if members[next] == g.daemon {
				quotas[i]++
			}
		}
	}
	return quotas
}
