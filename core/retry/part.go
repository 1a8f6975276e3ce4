package retry

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
)

// Holders says among how many daemons the slack for a service is divided.
type Holders struct {
	// Counted says that the others know of this daemon, so that they leave it a part.
	Counted bool
	// Regular says that this daemon is one of the daemons that regularly carry the
	// service; Regulars is their number.
	Regular  bool
	Regulars int
	// Members is the number of all daemons.
	Members int
}

// AllocationFor returns the part of the retry budget for one daemon.
func AllocationFor(h Holders) Allocation {
	if !h.Counted {
		return Allocation{}
	}
	slack := commonSlack / float64(max(h.Members, 1))
	if h.Regular {
		slack += regularSlack / float64(max(h.Regulars, 1))
	}
	return Allocation{SlackFraction: slack}
}
