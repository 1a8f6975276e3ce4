package place

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Multipliers and shifts of the splitmix64 finalizer.
const (
	mixFirst       = 0xbf58476d1ce4e5b9
	mixSecond      = 0x94d049bb133111eb
	mixShiftFirst  = 30
	mixShiftSecond = 27
	mixShiftThird  = 31
)

// score ranks one member for one item. Both are hashed once with xxhash and
// combined by a finalizer, because hashing the joined strings for each of
// 690 x 360 pairs costs an order of magnitude more.
func score(item, member uint64) uint64 {
	x := item ^ member
	x = (x ^ x>>mixShiftFirst) * mixFirst
	x = (x ^ x>>mixShiftSecond) * mixSecond
	return x ^ x>>mixShiftThird
}

// itemRotation separates the hash of an item from the hash of a member of the same
// name, which would otherwise cancel out in score.
const itemRotation = 17

func hashItem(s string) uint64 {
	return bits.RotateLeft64(xxhash.Sum64String(s), itemRotation)
}

func hashMember(s string) uint64 {
	return xxhash.Sum64String(s)
}
