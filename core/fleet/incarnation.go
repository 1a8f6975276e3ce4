package fleet

import (
	"encoding/hex"
	"strconv"
)

// IncarnationFromRunID returns the incarnation of the VM with the given run id.
func IncarnationFromRunID(vm VMID, runID uint64) Incarnation {
	b := []byte(vm)
	b = append(b, '.')
	digits := strconv.FormatUint(runID, 16)
	for range runIDSize*hex.EncodedLen(1) - len(digits) {
		b = append(b, '0')
	}
	return Incarnation(append(b, digits...))
}

// RunID returns the run id of the incarnation, or 0 if i is malformed.
func (i Incarnation) RunID() uint64 {
	digits := string(i)[len(i.VM()):]
	if len(digits) != 1+runIDSize*hex.EncodedLen(1) {
		return 0
	}
	runID, err := strconv.ParseUint(digits[1:], 16, 64)
	if err != nil {
		return 0
	}
	return runID
}
