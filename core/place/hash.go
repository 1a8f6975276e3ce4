package place

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Multipliers and shifts of the splitmix64 finalizer.
const (
	splitmixMultiplier1 = 0xbf58476d1ce4e5b9
	splitmixMultiplier2 = 0x94d049bb133111eb
	splitmixShift1      = 30
	splitmixShift2      = 27
	splitmixShift3      = 31
)

// score returns the rendezvous hashing score of a node for a key: the nodes with the
// highest scores are chosen. Both arguments are xxhash sums that are computed once
// and combined by the splitmix64 finalizer, because hashing the joined strings for
// each of 690 x 360 pairs costs an order of magnitude more.
func score(key, node uint64) uint64 {
	x := key ^ node
	x = (x ^ x>>splitmixShift1) * splitmixMultiplier1
	x = (x ^ x>>splitmixShift2) * splitmixMultiplier2
	return x ^ x>>splitmixShift3
}

// keyRotation makes the hash of a key differ from the hash of a node of the same
// name. The XOR in score would otherwise give 0 for each such pair.
const keyRotation = 17

// hashKey hashes what is assigned: a service or a target.
func hashKey(s string) uint64 {
	return bits.RotateLeft64(xxhash.Sum64String(s), keyRotation)
}

// hashNode hashes what a key is assigned to: a VM or a data centre. It also hashes
// callers, whose score for a service is the offset of the rotation in Addresses.
func hashNode(s string) uint64 {
	return xxhash.Sum64String(s)
}
