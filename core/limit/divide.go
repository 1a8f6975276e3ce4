package limit

import (
	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
)

// distant sorts the ranks of members in another data centre last.
const distant = 1 << 63

// divide returns the slots of each target that are this daemon's share. All daemons
// that see the same members and open targets compute the same division: each slot
// goes to one of the members that have received the fewest, first by data centre and then by rank.
func (g *Gate) divide(members []fleet.VMID) []int {
	own := make([]int, len(g.targets))
	received := make([]int, len(members))
	ranks := make([]uint64, len(members))
	for i, t := range g.targets {
		if t.State == choose.Closed {
			continue
		}
		for m, vm := range members {
			ranks[m] = choose.Rank(vm, t.ID) | distant
			if c, ok := g.centres[vm]; ok && c == t.DataCentre {
				ranks[m] &^= distant
			}
		}
		for range t.Slots {
			next := 0
			for m := range members {
				if received[m] < received[next] || (received[m] == received[next] && ranks[m] < ranks[next]) {
					next = m
				}
			}
			received[next]++
			if members[next] == g.daemon {
				own[i]++
			}
		}
	}
	return own
}
