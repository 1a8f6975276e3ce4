package tree

import (
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// compile builds the catalog of the document and lists the problems of all
// services. A service whose inputs are the ones of prev is taken from there.
func (d *Doc) compile(prev *Catalog) (*Catalog, []Problem) {
	c := &Catalog{
		byID:   make(map[fleet.ServiceID]compiled, len(d.services)),
		sorted: make([]*fleet.Service, 0, len(d.services)),
		spaces: d.spaces,
	}
	var problems []Problem
	for _, key := range d.serviceKeys() {
		from := d.inputsOf(key)
		if first, found := c.byID[key.id]; found {
			problems = append(problems, Problem{Path: key.path(), Value: string(key.id), Allowed: "a service id that is unique in the deployment; it also stands at " + string(first.from.key.path())})
			continue
		}
		if old, found := prev.byID[key.id]; found && old.from == from {
			c.add(old)
			continue
		}
		svc, found := d.compileService(key, from)
		problems = append(problems, found...)
		if svc == nil {
			svc = &fleet.Service{ID: key.id}
		}
		c.add(compiled{svc: reuse(prev, svc), from: from})
	}
	return c, problems
}

func (c *Catalog) add(s compiled) {
	c.byID[s.svc.ID] = s
	c.sorted = append(c.sorted, s.svc)
}

func (d *Doc) inputsOf(key serviceKey) inputs {
	return inputs{
		key:     key,
		root:    d.root,
		region:  d.regions.nodes[string(d.regionOf(key))],
		space:   d.spaces.find(key.workspace),
		centres: d.centres,
		own:     d.services[key],
	}
}

// compileService returns nil without problems if a value in the chain does not
// parse: that problem is already known and its consequences would hide it.
func (d *Doc) compileService(key serviceKey, from inputs) (*fleet.Service, []Problem) {
	k := checker{doc: d, path: key.path()}
	if from.space == nil {
		k.add("", "", "a declared workspace; an op without a key declares it")
	}
	v := d.viewOf(spot{level: LevelService, name: string(key.workspace), service: key.id})
	if v.faulty() {
		return nil, k.problems
	}
	svc := &fleet.Service{
		ID:        key.id,
		Workspace: key.workspace,
		Region:    d.regionOf(key),
		Policy:    compilePolicy(v),
	}
	svc.Targets = d.compileTargets(v)
	k.checkService(v, svc)
	svc.Routes = make([]fleet.Route, 0, len(from.own.routes))
	for _, r := range from.own.routes {
		if r.own.faulty() {
			continue
		}
		rv := v.below(LevelRoute, RoutePath(key.workspace, key.id, r.name), r.own)
		route := compileRoute(rv, r.name)
		k.checkRoute(rv, &route)
		svc.Routes = append(svc.Routes, route)
	}
	k.checkPrefixes(svc)
	return svc, k.problems
}

func (d *Doc) compileTargets(v view) []fleet.Target {
	entries := get[[]TargetEntry](v, keyTargets)
	drained := get[[]fleet.TargetID](v, keyDrained)
	targets := make([]fleet.Target, 0, len(entries))
	for _, t := range entries {
		centre := d.centres.nodes[string(t.DataCentre)]
		tv := v.atTarget(t.DataCentre, centre)
		targets = append(targets, fleet.Target{
			ID:          t.ID,
			Address:     t.Address,
			DataCentre:  t.DataCentre,
			Slots:       get[int](tv, keySlots),
			Connections: get[int](tv, keyConnections),
			Drained:     centreDrained(centre) || slices.Contains(drained, t.ID),
		})
	}
	return targets
}

func centreDrained(n *node) bool {
	e, found := n.find(keyDrained)
	return found && e.val == true
}

func compilePolicy(v view) fleet.Policy {
	return fleet.Policy{
		Floor:    get[fleet.Floor](v, keyFloor),
		Carriers: get[int](v, keyCarriers),
		Detection: fleet.Detection{
			Window:       get[time.Duration](v, keyWindow),
			MinRequests:  get[int](v, keyMinRequests),
			FailureRatio: get[float64](v, keyFailureRatio),
			SlowFactor:   get[float64](v, keySlowFactor),
			MinObservers: get[int](v, keyMinObservers),
		},
		Ejection: fleet.Ejection{
			Base: get[time.Duration](v, keyEjectionBase),
			Max:  get[time.Duration](v, keyEjectionMax),
		},
		Probe: fleet.Probe{
			Path:     get[string](v, keyProbePath),
			Interval: get[time.Duration](v, keyProbeInterval),
			Timeout:  get[time.Duration](v, keyProbeTimeout),
		},
		RetryBudget: get[float64](v, keyRetryBudget),
		QueueLength: get[int](v, keyQueueLength),
		AddressTTL:  get[time.Duration](v, keyAddressTTL),
		SlowStart:   get[time.Duration](v, keySlowStart),
	}
}

func compileRoute(v view, name string) fleet.Route {
	return fleet.Route{
		Name:        name,
		Methods:     get[[]string](v, keyMethods),
		PathPrefix:  get[string](v, keyPathPrefix),
		Kind:        get[fleet.RequestKind](v, keyKind),
		Idempotent:  get[bool](v, keyIdempotent),
		Deadline:    get[time.Duration](v, keyDeadline),
		Attempts:    get[int](v, keyAttempts),
		HedgeAfter:  get[time.Duration](v, keyHedgeAfter),
		OrderKey:    get[fleet.OrderKeyMode](v, keyOrderKey),
		BodyFailure: get[*fleet.BodyFailure](v, keyBodyFailure),
		Refusal:     get[*fleet.Refusal](v, keyRefusal),
		MaxBody:     get[int64](v, keyMaxBody),
	}
}
