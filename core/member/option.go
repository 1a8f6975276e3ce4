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
	// Interval is the time between two reports to a peer. At 2 s, the control
	// traffic of a daemon at the planned scale exceeds 5 KB/s.
	Interval = roundsPerInterval * SuspectInterval
	// SuspectInterval is the time between two reports about a suspect service.
	SuspectInterval = time.Second
	// roundsPerInterval is the number of rounds of which one is about all
	// services and the others about the suspect ones.
	roundsPerInterval = 3
	// UnheardAfter is the silence after which a peer is unheard; two reports
	// may get lost before.
	UnheardAfter = 3 * Interval
	// WindDownExtra is added to the address lifetime of a service for the time
	// that a daemon serves it after it stopped being a carrier.
	WindDownExtra = 10 * time.Second

	pollInterval = 5 * time.Second
	pollTimeout  = 3 * time.Second
	// A daemon that starts while the list is away serves nobody, so the first
	// retries come quickly; 690 daemons that retry every 15 s make 46 reads/s.
	pollRetryMin = 500 * time.Millisecond
	pollRetryMax = 15 * time.Second
	// jitter spreads reports and polls of the fleet by this share either way.
	jitter = 0.1
	// forgetAfter keeps what is known of a silent VM, so that a late report of
	// a replaced incarnation is still recognised.
	forgetAfter = 10 * time.Minute
	// urgentRate and urgentBurst bound reports out of turn, so that a target
	// that flaps its leaving sign does not flood the peers.
	urgentRate  = 4
	urgentBurst = 8
)

// Sender is the daemon that sent a report.
type Sender struct {
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentre
}

// Hooks connects a table to the rest of the daemon; nil fields are skipped.
// The functions may be called from several goroutines at once.
type Hooks struct {
	// Send delivers a report, usually inner.Client.Report; it bounds its own time.
	Send func(ctx context.Context, to inner.Peer, m *inner.ReportMsg) (*inner.ReportReplyMsg, error)
	// List is the platform's VM list.
	List store.VMList
	// Collect returns what this daemon reports of a service. It is called once
	// per round, also if the service has no other carrier, and the result goes
	// to all peers of the service.
	Collect func(id fleet.ServiceID) inner.ServiceReport
	// Deliver takes what a peer reports of a service that this daemon carries
	// or winds down.
	Deliver func(id fleet.ServiceID, from Sender, r *inner.ServiceReport)
	// IsSuspect reports whether a target of the service is suspect.
	IsSuspect func(id fleet.ServiceID) bool
	// IsReady reports whether this daemon serves requests.
	IsReady func() bool
	// Revision returns the settings revision of this daemon.
	Revision func() uint64
	// SeenRevision takes the settings revision that a peer states.
	SeenRevision func(from fleet.VMID, revision uint64)
}

// Option changes a table.
type Option func(*Table)

// WithSeeds sets the VMs that are known before the VM list is read for the first time.
func WithSeeds(vms []fleet.VM) Option {
	return func(t *Table) {
		for _, vm := range vms {
			t.listed[vm.ID] = vm
			t.known = true
		}
	}
}

// WithLog sets the logger.
func WithLog(l log.Logger) Option {
	return func(t *Table) { t.log = l }
}

// WithSeed fixes the random numbers for jitter.
func WithSeed(seed uint64) Option {
	return func(t *Table) { t.seed = seed }
}
