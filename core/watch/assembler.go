package watch

const (
	// maxParts is the largest number of parts that an [Assembler] accepts for one delta.
	maxParts = 256
	// maxSenders is the largest number of senders whose parts an [Assembler] keeps.
	maxSenders = 64
)

// Assembler joins the parts of deltas, of each sender those of the delta with the
// highest version. If a part is lost, the delta never becomes complete, and the receiver
// reads the list from the store itself.
type Assembler struct {
	bySender map[string]*assembly
	// abandoned counts the deltas that were given up for a newer one.
	abandoned int64
}

// assembly is a delta of one sender whose parts arrive.
type assembly struct {
	since   int64
	version int64
	parts   [][]Change
	missing int
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
// arrived.
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
	s.parts[p.Index] = p.Changes
	if s.missing--; s.missing > 0 {
		return Delta{}, false
	}
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
	case p.Version < s.version:
		return nil
	case p.Version == s.version && p.Since == s.since && p.Count == len(s.parts):
		return s
	default:
		a.abandoned++
	}
	if s == nil && len(a.bySender) >= maxSenders {
		a.abandoned += int64(len(a.bySender))
		clear(a.bySender)
	}
	if a.bySender == nil {
		a.bySender = map[string]*assembly{}
	}
	s = &assembly{since: p.Since, version: p.Version, parts: make([][]Change, p.Count), missing: p.Count}
	a.bySender[sender] = s
	return s
}
