package watch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"wisteriarelay.example/core/fault"
)

// Entry is a target's registration in the store, as written by the target.
type Entry struct {
	Service    string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Slots      int    `cbor:"4,keyasint"`
	Draining   bool   `cbor:"5,keyasint,omitempty"`
	// WarmupLeft is the remaining warm-up time, during which the target is slower than
	// usual after its start.
	WarmupLeft time.Duration `cbor:"6,keyasint,omitempty"`
	// StartMillis is the Unix time in milliseconds at which the target started.
	StartMillis int64 `cbor:"7,keyasint"`
	// Seq is the number of heartbeats since the target started.
	Seq int64 `cbor:"8,keyasint"`
}

const (
	// maxSlots is the largest number of slots of a target. Numbers beyond it come from
	// other writers; the plan of groups grows with the sum of all slots.
	maxSlots = 1 << 16
	// maxWarmup is the longest remaining warm-up time.
	maxWarmup = 24 * time.Hour
	// maxStartMillis is the latest start time, in the year 5138.
	maxStartMillis = int64(1e14)
)

// Validate fails with fault.MessageInvalid if no target could have written the entry, so
// that it names none to use.
func (e *Entry) Validate() error {
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return fault.Wrap(err, fault.MessageInvalid, "address is not an IP address with a port")
	case address.Port() == 0 || address.Addr().IsUnspecified():
		return fault.New(fault.MessageInvalid, "address %q cannot be connected to", e.Address)
	case e.Service == "":
		return fault.New(fault.MessageInvalid, "service is empty")
	case e.Slots <= 0 || e.Slots > maxSlots:
		return fault.New(fault.MessageInvalid, "slots %d are not between 1 and %d", e.Slots, maxSlots)
	case e.WarmupLeft < 0 || e.WarmupLeft > maxWarmup:
		return fault.New(fault.MessageInvalid, "warm-up time %s is not between 0 and %s", e.WarmupLeft, maxWarmup)
	case e.StartMillis < 0 || e.StartMillis > maxStartMillis || e.Seq < 0:
		return fault.New(fault.MessageInvalid, "start %d or heartbeat %d is out of range", e.StartMillis, e.Seq)
	}
	return nil
}

// isOlderThan reports whether the target wrote the entry before other: in an earlier
// run, or with an earlier heartbeat of the same run.
func (e *Entry) isOlderThan(other *Entry) bool {
	if e.StartMillis != other.StartMillis {
		return e.StartMillis < other.StartMillis
	}
	return e.Seq < other.Seq
}

// equivalentTo reports whether the entries agree in all fields that affect how the
// target is used. Heartbeats and the remaining warm-up time do not count.
func (e *Entry) equivalentTo(other *Entry) bool {
	return e.Service == other.Service && e.Address == other.Address && e.DataCentre == other.DataCentre &&
		e.Slots == other.Slots && e.Draining == other.Draining && e.StartMillis == other.StartMillis
}

// Change is the new state of one target's entry in the store.
type Change struct {
	ID string `cbor:"1,keyasint"`
	// Entry is nil if the store holds no entry for the target, or an invalid one.
	Entry *Entry `cbor:"2,keyasint,omitempty"`
	// Version is the store version of the change; 0 if it is not known.
	Version int64 `cbor:"3,keyasint,omitempty"`
}

// Delta is the result of one read of the store: the whole target list, or the
// changes since an earlier version.
type Delta struct {
	// Since is the store version after which the changes were made; 0 means that
	// Changes holds the whole list.
	Since int64 `cbor:"1,keyasint"`
	// Version is the store version that the changes lead to.
	Version int64 `cbor:"2,keyasint"`
	// Age is the time since the read was started.
	Age     time.Duration `cbor:"3,keyasint"`
	Changes []Change      `cbor:"4,keyasint,omitempty"`
	// Uptime is how long the store is known to have been readable without an outage when
	// the read was started; 0 if only the read itself shows it.
	Uptime time.Duration `cbor:"7,keyasint,omitempty"`
	// Era is the era of the store to which all versions of the delta belong.
	Era Era `cbor:"8,keyasint,omitempty"`
}

// Position returns the position in the store that the changes lead to.
func (d *Delta) Position() Position {
	return Position{Era: d.Era, Version: d.Version}
}

// versionOf returns the store version of one of the delta's changes, or a later one if
// it is not known.
func (d *Delta) versionOf(c Change) int64 {
	if c.Version == 0 {
		return d.Version
	}
	return c.Version
}

// sortChanges sorts the changes in the order in which the store made them.
func (d *Delta) sortChanges() {
	slices.SortStableFunc(d.Changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
}

// Part is one part of a delta that is sent to peers in several messages.
type Part struct {
	Delta
	// Index is the position of the part, from 0 to Count - 1.
	Index int `cbor:"5,keyasint"`
	Count int `cbor:"6,keyasint"`
}

// Split divides a delta into parts of at most size changes. A delta without changes
// is a single part.
func (d Delta) Split(size int) []Part {
	count := max((len(d.Changes)+size-1)/size, 1)
	parts := make([]Part, count)
	for i := range parts {
		partDelta := d
		partDelta.Changes = d.Changes[min(i*size, len(d.Changes)):min((i+1)*size, len(d.Changes))]
		parts[i] = Part{Delta: partDelta, Index: i, Count: count}
	}
	return parts
}
