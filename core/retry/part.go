package retry

// RestartKind says how the current run of a daemon process began. It decides how much
// of the retry budget is held back for what the earlier run may have used in the same
// span.
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

// Allocation is the part of the fleet's retry budget that one daemon may use.
type Allocation struct {
	// RatioFraction is the fraction used of the budget's ratio, which applies to the
	// requests that this daemon receives.
	RatioFraction float64
	// SlackFraction is the fraction used of the budget's slack, which the whole fleet
	// shares.
	SlackFraction float64
}

const (
	// slackFraction is the fraction of the fleet's slack that is divided among the
	// daemons that carry a service. The rest is a reserve for the moments in which
	// daemons disagree on which of them carry it.
	slackFraction = 0.7
	// slackFractionFleetRestart replaces slackFraction after a start of the whole fleet.
	slackFractionFleetRestart = 0.2
	// ratioFractionSingleRestart is the fraction of the ratio for a daemon that was
	// restarted alone.
	ratioFractionSingleRestart = 0.2
)

// AllocationFor returns the part of the retry budget for one of several daemons that
// carry a service. It is reduced after a restart: if daemons are restarted one after
// the other while a service refuses half of its requests, the extra attempts of the
// earlier run count in the same span, and their number is not known.
func AllocationFor(carriers int, restart RestartKind) Allocation {
	perCarrier := 1 / float64(max(carriers, 1))
	switch restart {
	case NoRecentRestart:
		return Allocation{RatioFraction: 1, SlackFraction: slackFraction * perCarrier}
	case FleetRestart:
		return Allocation{RatioFraction: 1, SlackFraction: slackFractionFleetRestart * perCarrier}
	default:
		return Allocation{RatioFraction: ratioFractionSingleRestart}
	}
}
