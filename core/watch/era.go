package watch

import "strconv"

// Era identifies an era of the store; a later one is greater. The store begins a new era
// when it comes back from an older copy: it has lost the changes made since, and it gives out
// the versions after the copy again. The zero value stands for an unknown era, so an era is
// one above the number that the store gives it.
type Era uint64

// NewEra returns the era with the number that the store gives it.
func NewEra(number uint32) Era {
	return Era(number) + 1
}

// Number returns the number that the store gives the era, or -1 if it is not known.
func (e Era) Number() int64 {
	return int64(e) - 1
}

// String returns the number that the store gives the era, or "unknown".
func (e Era) String() string {
	if e == 0 {
		return "unknown"
	}
	return strconv.FormatInt(e.Number(), 10)
}

// Matches reports whether the eras may be the same. An answer or a message that names no era,
// as those of earlier versions of this software, may belong to any.
func (e Era) Matches(other Era) bool {
	return e == 0 || other == 0 || e == other
}

// Position is a version of the store in one of its eras. Versions of different eras cannot be
// compared.
type Position struct {
	Era     Era
	Version int64
}

// Before reports whether the position is in an earlier era than the other, or at a lower
// version of an era that may be the same.
func (p Position) Before(other Position) bool {
	if !p.Era.Matches(other.Era) {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}
