package watch

const (
	// maxParts is the largest number of parts that an [Assembler] accepts for one delta.
	maxParts = 256
	// maxSenders is the largest number of senders whose parts an [Assembler] keeps.
	maxSenders = 64
	// maxKeptBytes is the approximate memory for all parts that an [Assembler] keeps. It
	// suffices for ten deltas of the largest size that daemons send.
	maxKeptBytes = 8 << 20
)

// The sizes in bytes of a change and of an entry in memory without their texts.
const (
	changeBytes = 48
	entryBytes  = 96
)

// Assembler joins the parts of deltas, of each sender those of the delta with the
// latest position. If a part is lost, the delta never becomes complete, and the receiver
// reads the list from the store itself.
type Assembler struct {
	bySender map[string]*assembly
	// keptBytes is the approximate memory of the parts in bySender.
	keptBytes int
	// abandoned counts the deltas that were given up for a newer one.
	abandoned int64
}

// assembly is a delta of one sender whose parts arrive.
type assembly struct {
	since    int64
	position Position
	parts    [][]Change
	missing  int
	// bytes is the approximate memory of the parts.
	bytes int
}

// memoryOf returns the approximate memory of the changes in bytes.
func memoryOf(changes []Change) int {
	n := changeBytes * len(changes)
	for i := range changes {
		n += len(changes[i].ID)
		if e := changes[i].Entry; e != nil {
			n += entryBytes + len(e.Service) + len(e.Address) + len(e.DataCentre)
		}
	}
	return n
}

// Abandoned returns the number of deltas of which a part was missing when the first
// part of a newer one arrived.
func (a *Assembler) Abandoned() int64 {
	return a.abandoned
}

// Senders returns the number of senders with a delta of which parts are missing.
func (a *Assembler) Senders() int {
	return len(a.bySender)
}

// Add adds a part from the sender. It returns the delta and true once all parts have
// arrived. If the parts would take too much memory, all incomplete deltas are given up.
func (a *Assembler) Add(sender string, p Part) (Delta, bool) {
	if p.Count <= 1 {
		return p.Delta, true
	}
	if p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return Delta{}, false
	}
	s := a.assemblyFor(sender, p)
	if s == nil || s.parts[p.Index] != nil {
		return Delta{}, false
	}
	size := memoryOf(p.Changes)
	if a.keptBytes+size > maxKeptBytes {
		a.abandonAll()
		return Delta{}, false
	}
	a.keptBytes += size
	s.bytes += size
	s.parts[p.Index] = p.Changes
	if s.missing--; s.missing > 0 {
		return Delta{}, false
	}
	a.keptBytes -= s.bytes
	delete(a.bySender, sender)
	joined := p.Delta
	joined.Changes = nil
	for _, changes := range s.parts {
		joined.Changes = append(joined.Changes, changes...)
	}
	return joined, true
}

// assemblyFor returns the assembly to which the part belongs, or nil if the part is
// older than the sender's latest delta.
func (a *Assembler) assemblyFor(sender string, p Part) *assembly {
	s := a.bySender[sender]
	switch {
	case s == nil:
	case p.Position().Before(s.position):
		return nil
	case p.Position() == s.position && p.Since == s.since && p.Count == len(s.parts):
		return s
	default:
		a.abandoned++
		a.keptBytes -= s.bytes
	}
	if s == nil && len(a.bySender) >= maxSenders {
		a.abandonAll()
	}
	if a.bySender == nil {
		a.bySender = map[string]*assembly{}
	}
	s = &assembly{since: p.Since, position: p.Position(), parts: make([][]Change, p.Count), missing: p.Count}
	a.bySender[sender] = s
	return s
}

// abandonAll gives up all incomplete deltas.
func (a *Assembler) abandonAll() {
	a.abandoned += int64(len(a.bySender))
	clear(a.bySender)
	a.keptBytes = 0
}
