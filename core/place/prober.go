package place

import (
	"math/bits"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Prober returns the VM among the carriers that probes the target, or "" if
// there is no carrier. The carriers may come in any order.
func Prober(service fleet.ServiceID, target fleet.TargetID, carriers []fleet.VMID) fleet.VMID {
	item := targetItem(service, target)
	var best fleet.VMID
	for _, vm := range carriers {
		if best == "" || outranks(item, vm, best) {
			best = vm
		}
	}
	return best
}

// ProberRank returns the place of the VM among the carriers in the duty for the
// target: 0 for its prober. A VM that is no carrier comes behind all carriers.
func ProberRank(service fleet.ServiceID, target fleet.TargetID, carriers []fleet.VMID, self fleet.VMID) int {
	if !slices.Contains(carriers, self) {
		return len(carriers) + 1
	}
	item := targetItem(service, target)
	rank := 0
	for _, vm := range carriers {
		if vm != self && outranks(item, vm, self) {
			rank++
		}
	}
	return rank
}

// targetItem hashes a target of a service. The rotation keeps service "a" with
// target "b" apart from service "b" with target "a".
func targetItem(service fleet.ServiceID, target fleet.TargetID) uint64 {
	return bits.RotateLeft64(hashItem(string(service)), itemRotation) ^ hashItem(string(target))
}

func outranks(item uint64, a, b fleet.VMID) bool {
	scoreA, scoreB := score(item, hashMember(string(a))), score(item, hashMember(string(b)))
	return scoreA > scoreB || scoreA == scoreB && a < b
}
