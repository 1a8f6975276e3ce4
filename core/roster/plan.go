package roster

const (
	// targetsPerCarrier is the number of targets for which one carrier is enough.
	// Fewer carriers learn faster which targets are sick; more share the load.
	targetsPerCarrier = 12
	// minCarriers lets callers go on at once when one daemon of their data centre fails.
	minCarriers = 2
	// maxJoint bounds the carriers of a group that carries all services: each
	// result is told to the whole group.
	maxJoint = 48
	// jointGroup is the name of the group that carries all services.
	jointGroup = "all"
)

// Plan assigns services to groups of daemons. Callers are sent to daemons by
// host, and a host may have routes to several services. So the services are
// carried by one group as long as it stays small, and each by its own otherwise.
type Plan struct {
	dataCentres int
	targets     map[string]int
	joint       bool
	total       int
}

// NewPlan returns the plan for services with these numbers of targets.
func NewPlan(targets map[string]int, dataCentres int) *Plan {
	p := &Plan{dataCentres: max(dataCentres, 1), targets: targets}
	for _, n := range targets {
		p.total += n
	}
	p.joint = p.perDataCentre(p.total)*p.dataCentres <= maxJoint
	return p
}

// Group returns the name of the group that carries the service, and its number
// of carriers in each data centre.
func (p *Plan) Group(service string) (name string, carriers int) {
	if p.joint {
		service = jointGroup
	}
	return service, p.Carriers(service)
}

// Carriers returns the number of carriers of the group in each data centre.
func (p *Plan) Carriers(group string) int {
	if p.joint {
		return p.perDataCentre(p.total)
	}
	return p.perDataCentre(p.targets[group])
}

func (p *Plan) perDataCentre(targets int) int {
	all := (targets + targetsPerCarrier - 1) / targetsPerCarrier
	return max((all+p.dataCentres-1)/p.dataCentres, minCarriers)
}
