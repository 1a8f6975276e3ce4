package relay

import "sync/atomic"

// defaultResponseMemory is the maximum number of bytes of buffered responses if the
// settings have no memory limit.
const defaultResponseMemory = 32 << 20

// memoryQuota limits the memory that a daemon uses to buffer responses; available is
// the number of bytes not reserved.
type memoryQuota struct {
	available atomic.Int64
}

// reserve reserves n bytes, or none if fewer are available, and reports whether it
// succeeded.
func (m *memoryQuota) reserve(n int64) bool {
	if m.available.Add(-n) >= 0 {
		return true
	}
	m.available.Add(n)
	return false
}

// release returns n reserved bytes to the quota.
func (m *memoryQuota) release(n int64) {
	m.available.Add(n)
}
