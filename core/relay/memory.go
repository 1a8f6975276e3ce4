package relay

import "sync/atomic"

// defaultAnswerMemory bounds the answers held in memory, in bytes, where the
// settings state nothing.
const defaultAnswerMemory = 32 << 20

// memory is the number of bytes that the answers held by a daemon may still take.
type memory struct {
	left atomic.Int64
}

// take takes bytes and reports whether they were left.
func (m *memory) take(n int64) bool {
	if m.left.Add(-n) >= 0 {
		return true
	}
	m.left.Add(n)
	return false
}

// give returns bytes.
func (m *memory) give(n int64) {
	m.left.Add(n)
}
