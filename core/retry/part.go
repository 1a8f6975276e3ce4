package retry

import "time"

// RestartKind says how the current run of a daemon process began. It decides how much
// of the fleet's slack is held back for what the earlier run may have used in the same
// span. The ratio needs no such rule: each run uses only what its own requests allow.
type RestartKind int

// The ways in which a run began.
const (
	// NoRecentRestart is a run for which no earlier one can have used retry budget in
	// the current span: the first run, or one that is older than the span.
	NoRecentRestart RestartKind = iota
	// FleetRestart is a run that began within the span, as did those of most daemons: the
	// whole fleet was started.
	FleetRestart
	// SingleRestart is a run that began within the span while most daemons kept
	// running, as in a rolling restart.
	SingleRestart
)

// Allocation is the part of the fleet's retry budget that one daemon may use besides the
// ratio of its own requests.
type Allocation struct {
	// SlackFraction is the fraction used of the budget's slack, which the whole fleet
	// shares.
	SlackFraction float64
}

const (
	// regularSlack is the fraction of the fleet's slack that is divided among the daemons
	// that regularly carry a service, commonSlack the fraction that is divided among all
	// daemons: any of them may have to carry a service while it cannot see the others. The
	// rest is a reserve for moments in which they know different members.
	regularSlack = 0.65
	commonSlack  = 0.2
	// slackFactorFleetRestart reduces both after a restart of the whole fleet. The runs
	// before it may have used all of regularSlack and commonSlack in the same span.
	slackFactorFleetRestart = 0.105
	// releasedAtStart is the fraction of that part that a run may use at once; the rest is
	// released over the span. With 3 restarts of the fleet within a span, all runs together
	// use (regularSlack + commonSlack) * (1 + slackFactorFleetRestart * (3 * releasedAtStart +
	// 1 - releasedAtStart)), which must stay below 1. Without a part that is released at once,
	// a service with little traffic could not retry at all just after a restart.
	releasedAtStart = 1.0 / 3
)

// Holders says among how many daemons the slack for a service is divided.
type Holders struct {
	// Regular says that this daemon is one of the daemons that regularly carry the
	// service; Regulars is their number.
	Regular  bool
	Regulars int
	// Members is the number of all daemons.
	Members int
}

// AllocationFor returns the part of the retry budget for one daemon. It is reduced after
// a restart: if daemons are restarted one after the other while a service refuses half of
// its requests, the extra attempts of the earlier run count in the same span, and their
// number is not known.
func AllocationFor(h Holders, restart RestartKind) Allocation {
	slack := commonSlack / float64(max(h.Members, 1))
	if h.Regular {
		slack += regularSlack / float64(max(h.Regulars, 1))
	}
	switch restart {
	case NoRecentRestart:
		return Allocation{SlackFraction: slack}
	case FleetRestart:
		return Allocation{SlackFraction: slackFactorFleetRestart * slack}
	default:
		return Allocation{}
	}
}

// ReleasedAfter returns the part of the allocation that a restarted run may use at an age
// below the span. It grows with the age, so that a fleet that is restarted several times
// within a span does not get the whole allocation with each restart.
func (a Allocation) ReleasedAfter(age, span time.Duration) Allocation {
	passed := min(max(age.Seconds()/span.Seconds(), 0), 1)
	a.SlackFraction *= releasedAtStart + (1-releasedAtStart)*passed
	return a
}
