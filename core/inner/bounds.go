package inner

import (
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Bounds of messages and their parts, in bytes or elements. They lie well above
// the planned scale and keep a broken or hostile peer from filling the memory.
const (
	// MaxID bounds ids and names.
	MaxID = 128
	// MaxAddress bounds "ip:port" addresses.
	MaxAddress = 64
	// MaxServices bounds the services in one report. A daemon carries 3.1 on average,
	// but all services in a fleet of few daemons.
	MaxServices = 256
	// MaxHeard bounds the heard list of a report.
	MaxHeard = 1024
	// MaxTargets bounds the targets of one service in a report; 27.2 on average.
	MaxTargets = 2048
	// MaxEvidence bounds the evidence rows of one service.
	MaxEvidence = 32 << 10
	// MaxEjections bounds the ejection list of one service.
	MaxEjections = 64 << 10
	// MaxLedgerRecords bounds the records in one part of a ledger.
	MaxLedgerRecords = 1 << 16
	// MaxVMs bounds the VMs that a peer tells of; 690 are planned.
	MaxVMs = 2048
	// MaxSnapshot bounds a snapshot of the settings.
	MaxSnapshot = 8 << 20
	// MaxDump bounds a state dump.
	MaxDump = 4 << 20
	// MaxAsk bounds any encoded message that a server reads.
	MaxAsk = 1 << 20
	// MaxReply bounds any encoded message that a client reads.
	MaxReply = MaxSnapshot + 64<<10
	// maxElements bounds each array of a message before it is decoded.
	maxElements = MaxLedgerRecords
)

// checker collects the first violation of a bound.
type checker struct {
	message string
	err     error
}

func (c *checker) size(field string, n, limit int) {
	if n > limit {
		c.fail("%s has %d entries or bytes, at most %d are allowed", field, n, limit)
	}
}

// id demands a name that is present and not too long.
func (c *checker) id(field string, n int) {
	c.size(field, n, MaxID)
	c.demand(n > 0, "%s is missing", field)
}

func (c *checker) demand(ok bool, format string, args ...any) {
	if !ok {
		c.fail(format, args...)
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fault.New(fault.MessageInvalid, c.message+": "+format, args...)
	}
}

func (c *checker) vm(field string, vm *fleet.VM) {
	c.id(field+" id", len(vm.ID))
	c.size(field+" region", len(vm.Region), MaxID)
	c.size(field+" data centre", len(vm.DataCentre), MaxID)
	c.size(field+" caller address", len(vm.Caller), MaxAddress)
	c.size(field+" inner address", len(vm.Inner), MaxAddress)
	c.size(field+" admin address", len(vm.Admin), MaxAddress)
}
