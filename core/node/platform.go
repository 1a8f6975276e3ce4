package node

import (
	"context"
	"net/http"
	"time"

	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/watch"
)

// ConfigRead is what a read of the operators' configuration returned.
type ConfigRead struct {
	// Config is nil if there is no new configuration, or none that can be used.
	Config *route.Config
	// Raw is the configuration as it lies in the store, for peers.
	Raw []byte
	// Problem says why a configuration cannot be used.
	Problem error
	// Position is the version of the store up to which the read reaches.
	Position int64
}

// Platform holds the calls to the platform as a daemon uses them. Reads fail
// with fault.StoreUnavailable, and with fault.HistoryGone if the store no longer
// knows the changes since the position asked for.
type Platform struct {
	Headers     relay.Headers
	ReadConfig  func(ctx context.Context) (ConfigRead, error)
	AwaitConfig func(ctx context.Context, after int64, wait time.Duration) (ConfigRead, error)
	// DecodeConfig decodes a configuration that a peer has read.
	DecodeConfig func(raw []byte) (*route.Config, error)
	// ReadTargets reads the whole target list, PollTargets its changes. Both
	// return the problems of single entries as well.
	ReadTargets func(ctx context.Context) (watch.Delta, []error, error)
	PollTargets func(ctx context.Context, since int64) (watch.Delta, []error, error)
	ReadMembers func(ctx context.Context) ([]roster.Member, error)
	WriteMember func(ctx context.Context, m roster.Member) error
	// Addresses and Readiness return the handlers of the two outer endpoints.
	Addresses func(lookup func(host, dataCentre string) ([]string, time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
}
