package gossip

// dedupWindowSize is the number of sequence numbers, up to the highest, that a window
// covers.
const dedupWindowSize = 64

// dedupWindow is a sliding window that records which events of a sender were received.
type dedupWindow struct {
	highest uint64
	// bits marks the sequence numbers that were received; bit 0 stands for the
	// highest, the next bit for the number before it.
	bits uint64
}

// markNew marks a sequence number as received and reports whether it was new. A number
// below the window counts as received.
func (w *dedupWindow) markNew(seq uint64) bool {
	if seq > w.highest {
		w.bits = w.bits<<min(seq-w.highest, dedupWindowSize) | 1
		w.highest = seq
		return true
	}
	age := w.highest - seq
	if age >= dedupWindowSize || w.bits&(1<<age) != 0 {
		return false
	}
	w.bits |= 1 << age
	return true
}
