package fleet

import (
	"encoding/hex"
	"strconv"
)

// IncarnationOf returns the incarnation of the VM with the given run number.
func IncarnationOf(vm VMID, run uint64) Incarnation {
	b := []byte(vm)
	b = append(b, '.')
	digits := strconv.FormatUint(run, 16)
	for range incarnationBytes*hex.EncodedLen(1) - len(digits) {
		b = append(b, '0')
	}
	return Incarnation(append(b, digits...))
}

// Run returns the number in the hexadecimal digits of the incarnation, or 0 if
// it is malformed.
func (i Incarnation) Run() uint64 {
	digits := string(i)[len(i.VM()):]
	if len(digits) != 1+incarnationBytes*hex.EncodedLen(1) {
		return 0
	}
	run, err := strconv.ParseUint(digits[1:], 16, 64)
	if err != nil {
		return 0
	}
	return run
}
