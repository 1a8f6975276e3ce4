package place

import (
	"math/bits"

	"wisteriarelay.example/core/fleet"
)

// Prober returns the VM among the carriers that probes the target, or "" if
// there is no carrier. The carriers may come in any order.
func Prober(service fleet.ServiceID, target fleet.TargetID, carriers []fleet.VMID) fleet.VMID {
	// The rotation keeps service "a" with target "b" apart from service "b" with target "a".
	item := bits.RotateLeft64(hashItem(string(service)), itemRotation) ^ hashItem(string(target))
	var best fleet.VMID
	var top uint64
	for _, vm := range carriers {
		s := score(item, hashMember(string(vm)))
		if best == "" || s > top || s == top && vm < best {
			best, top = vm, s
		}
	}
	return best
}
