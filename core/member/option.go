package member

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/store"
)

const (
	// ReportInterval is the time between two reports to a peer. With 2 s, the control
	// traffic of a daemon would exceed 5 KB/s at the planned scale.
	ReportInterval = roundsPerInterval * SuspectReportInterval
	// SuspectReportInterval is the time between two reports about a service that has
	// a suspect target.
	SuspectReportInterval = time.Second
	// roundsPerInterval is the number of rounds in a report interval. The first
	// round covers all services, the others only those with a suspect target.
	roundsPerInterval = 3
	// HeartbeatTimeout is the time without a report after which a peer counts as unheard.
	// It tolerates the loss of two reports.
	HeartbeatTimeout = 3 * ReportInterval
	// WindDownMargin is added to the address lifetime of a service. For the sum, a
	// daemon that is no longer a carrier of the service continues to serve it,
	// because callers still hold its address.
	WindDownMargin = 10 * time.Second

	pollInterval = 5 * time.Second
	pollTimeout  = 3 * time.Second
	// A daemon that starts while the VM list is unavailable cannot serve callers, so
	// the first retries follow quickly. With the maximum of 15 s, 690 daemons make
	// 46 reads/s.
	pollRetryMin = 500 * time.Millisecond
	pollRetryMax = 15 * time.Second
	// jitterRatio is the maximum random deviation of the intervals of reports and
	// polls. It keeps the daemons of the fleet from acting in step.
	jitterRatio = 0.1
	// peerStateTTL is how long the state of a silent VM is kept, so that a late report
	// of a replaced incarnation is still recognized as outdated.
	peerStateTTL = 10 * time.Minute
	// urgentRate, per second, and urgentBurst limit urgent reports, so that a target
	// whose leaving state flaps does not flood the peers.
	urgentRate  = 4
	urgentBurst = 8
)

// Sender is the daemon that sent a report.
type Sender struct {
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentre
}

// Hooks holds the functions by which a table uses the rest of the daemon. A nil
// function is not called. The functions may be called concurrently.
type Hooks struct {
	// Send sends a report, usually by inner.Client.Report. It must apply a timeout of
	// its own.
	Send func(ctx context.Context, to inner.Peer, m *inner.ReportMsg) (*inner.ReportReplyMsg, error)
	// List is the platform's VM list.
	List store.VMList
	// Collect returns the part of the report about a service. It is called once per
	// round, also if the service has no other carrier, and the result is sent to all
	// peers that share the service.
	Collect func(id fleet.ServiceID) inner.ServiceReport
	// Deliver receives the part of a peer's report about a service that this daemon
	// carries or winds down.
	Deliver func(id fleet.ServiceID, from Sender, r *inner.ServiceReport)
	// IsSuspect reports whether the service has a suspect target.
	IsSuspect func(id fleet.ServiceID) bool
	// IsReady reports whether this daemon serves requests.
	IsReady func() bool
	// Revision returns the settings revision of this daemon.
	Revision func() uint64
	// OnPeerRevision receives the settings revision that a peer states in a report or
	// in a reply.
	OnPeerRevision func(from fleet.VMID, revision uint64)
}

// Option configures a table.
type Option func(*Table)

// WithSeeds sets the VMs that are assumed to exist before the first read of the VM list.
func WithSeeds(vms []fleet.VM) Option {
	return func(t *Table) {
		for _, vm := range vms {
			t.listed[vm.ID] = vm
			t.vmsKnown = true
		}
	}
}

// WithLog sets the logger.
func WithLog(l log.Logger) Option {
	return func(t *Table) { t.log = l }
}

// WithSeed sets the seed of the random numbers for jitter.
func WithSeed(seed uint64) Option {
	return func(t *Table) { t.seed = seed }
}
