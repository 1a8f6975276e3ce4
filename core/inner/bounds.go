package inner

import (
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Size limits of messages and their fields, in bytes or elements. They are far
// above the planned scale and keep a faulty or malicious peer from exhausting
// memory.
const (
	// MaxIDLen limits the length of ids and names in bytes.
	MaxIDLen = 128
	// MaxAddressLen limits the length of "ip:port" addresses in bytes.
	MaxAddressLen = 64
	// MaxServices limits the services in one report. A daemon carries 3.1 services
	// on average, but in a fleet of few daemons each daemon carries all services.
	MaxServices = 256
	// MaxHeard limits the heard list of a report (see ReportMsg.Heard).
	MaxHeard = 1024
	// MaxTargets limits the targets of one service in a report. A service has 27.2
	// targets on average.
	MaxTargets = 2048
	// MaxEvidenceBytes limits the evidence rows of one service.
	MaxEvidenceBytes = 32 << 10
	// MaxEjectionsBytes limits the ejection list of one service.
	MaxEjectionsBytes = 64 << 10
	// MaxLedgerRecords limits the records in one part of an order ledger.
	MaxLedgerRecords = 1 << 16
	// MaxVMs limits the VMs in a VMsReplyMsg. The planned fleet has 690 VMs.
	MaxVMs = 2048
	// MaxSnapshotBytes limits a snapshot of the settings.
	MaxSnapshotBytes = 8 << 20
	// MaxDumpBytes limits a state dump.
	MaxDumpBytes = 4 << 20
	// MaxRequestBytes limits an encoded message that a server reads.
	MaxRequestBytes = 1 << 20
	// MaxReplyBytes limits an encoded message that a client reads.
	MaxReplyBytes = MaxSnapshotBytes + 64<<10
	// maxElements limits each array and map of a message while it is decoded.
	maxElements = MaxLedgerRecords
)

// validator validates a message and keeps the first error.
type validator struct {
	message string
	err     error
}

// atMost requires that a field has at most limit entries or bytes.
func (v *validator) atMost(field string, n, limit int) {
	if n > limit {
		v.fail("%s has %d entries or bytes, at most %d are allowed", field, n, limit)
	}
}

// requireID requires that an id of n bytes is neither empty nor too long.
func (v *validator) requireID(field string, n int) {
	v.atMost(field, n, MaxIDLen)
	v.require(n > 0, "%s is missing", field)
}

func (v *validator) require(ok bool, format string, args ...any) {
	if !ok {
		v.fail(format, args...)
	}
}

func (v *validator) fail(format string, args ...any) {
	if v.err == nil {
		v.err = fault.New(fault.MessageInvalid, v.message+": "+format, args...)
	}
}

func (v *validator) validateVM(field string, vm *fleet.VM) {
	v.requireID(field+" id", len(vm.ID))
	v.atMost(field+" region", len(vm.Region), MaxIDLen)
	v.atMost(field+" data centre", len(vm.DataCentre), MaxIDLen)
	v.atMost(field+" caller address", len(vm.CallerAddress), MaxAddressLen)
	v.atMost(field+" inner address", len(vm.PeerAddress), MaxAddressLen)
	v.atMost(field+" admin address", len(vm.AdminAddress), MaxAddressLen)
}
