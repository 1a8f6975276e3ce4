package place

import (
	"math/bits"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Prober returns the carrier that probes the target, or "" if there is no carrier.
// The order of the carriers does not matter.
func Prober(service fleet.ServiceID, target fleet.TargetID, carriers []fleet.VMID) fleet.VMID {
	key := hashTarget(service, target)
	var best fleet.VMID
	for _, vm := range carriers {
		if best == "" || outranks(key, vm, best) {
			best = vm
		}
	}
	return best
}

// ProberRank returns the rank of the VM self among the carriers as prober of the
// target: 0 is the prober, 1 the carrier that replaces it, and so on. A VM that is
// not a carrier ranks below all carriers.
func ProberRank(service fleet.ServiceID, target fleet.TargetID, carriers []fleet.VMID, self fleet.VMID) int {
	if !slices.Contains(carriers, self) {
		return len(carriers) + 1
	}
	key := hashTarget(service, target)
	rank := 0
	for _, vm := range carriers {
		if vm != self && outranks(key, vm, self) {
			rank++
		}
	}
	return rank
}

// hashTarget hashes a target of a service. The rotation makes the hash of service "a"
// with target "b" differ from that of service "b" with target "a".
func hashTarget(service fleet.ServiceID, target fleet.TargetID) uint64 {
	return bits.RotateLeft64(hashKey(string(service)), keyRotation) ^ hashKey(string(target))
}

// outranks reports whether a has a higher score than b for the key; of equal scores,
// the lower id ranks higher.
func outranks(key uint64, a, b fleet.VMID) bool {
	scoreA, scoreB := score(key, hashNode(string(a))), score(key, hashNode(string(b)))
	return scoreA > scoreB || scoreA == scoreB && a < b
}
