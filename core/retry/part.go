package retry

// Start says how the run of a daemon began, as far as that matters for what
// earlier runs spent of the fleet's budget.
type Start int

// The starts.
const (
	// Settled is a run that no earlier one can have spent anything in the span before.
	Settled Start = iota
	// WithFleet is a run that began within the span, as those of most daemons.
	WithFleet
	// Alone is a run that began within the span while most daemons ran on.
	Alone
)

// Part is the part of the fleet's budget that one daemon may use.
type Part struct {
	// Ratio is the part of the extra sends for this daemon's requests.
	Ratio float64
	// Slack is the part of the extra sends that the whole fleet has besides.
	Slack float64
}

const (
	// slackFraction is the part of the fleet's slack that is dealt out. The rest covers
	// the moments in which daemons disagree on who carries a service.
	slackFraction = 0.7
	// slackFractionFleetRestart is the same after a start of the whole fleet.
	slackFractionFleetRestart = 0.2
	// ratioFractionSingleRestart is the part of the ratio for a daemon that was restarted alone.
	ratioFractionSingleRestart = 0.2
)

// PartOf returns the part of the budget for one of several carriers. Load
// pattern: daemons are restarted one after the other while a service refuses half
// of its requests; what the predecessor of a daemon spent counts in the same span
// and is not known.
func PartOf(carriers int, s Start) Part {
	each := 1 / float64(max(carriers, 1))
	switch s {
	case Settled:
		return Part{Ratio: 1, Slack: slackFraction * each}
	case WithFleet:
		return Part{Ratio: 1, Slack: slackFractionFleetRestart * each}
	default:
		return Part{Ratio: ratioFractionSingleRestart}
	}
}
