package memory

import "sync/atomic"

// Budget counts the memory that is held by kind. It is safe for concurrent use.
type Budget struct {
	limits Limits
	total  atomic.Int64
	peak   atomic.Int64
	held   [kindCount]atomic.Int64
	denied [kindCount]atomic.Int64
}

// New returns a budget with the limits.
func New(l Limits) *Budget {
	return &Budget{limits: l}
}

// Limits returns the limits.
func (b *Budget) Limits() Limits {
	return b.limits
}

// Bounded reports whether the memory of all kinds together has a bound.
func (b *Budget) Bounded() bool {
	return b.limits.Total > 0
}

// Reserve adds n bytes, or none if a limit does not allow it, and reports whether it
// succeeded.
func (b *Budget) Reserve(k Kind, n int64) bool {
	ofKind, total := b.held[k].Add(n), b.total.Add(n)
	if !b.limits.Allows(k, ofKind, total) {
		b.Release(k, n)
		b.denied[k].Add(1)
		return false
	}
	b.recordPeak(total)
	return true
}

// Add adds n bytes that running work needs, whatever the limits.
func (b *Budget) Add(k Kind, n int64) {
	b.held[k].Add(n)
	b.recordPeak(b.total.Add(n))
}

// Release returns n bytes.
func (b *Budget) Release(k Kind, n int64) {
	b.held[k].Add(-n)
	b.total.Add(-n)
}

// recordPeak records the total if it is the highest so far.
func (b *Budget) recordPeak(total int64) {
	for {
		peak := b.peak.Load()
		if total <= peak || b.peak.CompareAndSwap(peak, total) {
			return
		}
	}
}

// Held returns the number of bytes of the kind.
func (b *Budget) Held(k Kind) int64 {
	return b.held[k].Load()
}

// Denied returns how often a reservation of the kind was denied.
func (b *Budget) Denied(k Kind) int64 {
	return b.denied[k].Load()
}

// Total returns the number of bytes of all kinds.
func (b *Budget) Total() int64 {
	return b.total.Load()
}

// State is the state of a budget for state dumps, in bytes by kind.
type State struct {
	Limits Limits           `json:"limits"`
	Total  int64            `json:"total"`
	Peak   int64            `json:"peak"`
	Held   map[string]int64 `json:"held"`
	// Denied counts the reservations that a limit denied.
	Denied map[string]int64 `json:"denied"`
}

// State returns the current state.
func (b *Budget) State() State {
	s := State{Limits: b.limits, Total: b.Total(), Peak: b.peak.Load(), Held: map[string]int64{}, Denied: map[string]int64{}}
	for _, k := range Kinds() {
		s.Held[k.String()] = b.Held(k)
		s.Denied[k.String()] = b.Denied(k)
	}
	return s
}
