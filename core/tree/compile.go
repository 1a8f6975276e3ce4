package tree

import (
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// compile builds the catalog of the document and lists the problems of all
// services. It reuses a service of the previous catalog if its inputs did not change.
func (d *Document) compile(previous *Catalog) (*Catalog, []Problem) {
	c := &Catalog{
		servicesByID:   make(map[fleet.ServiceID]compiledService, len(d.services)),
		sortedServices: make([]*fleet.Service, 0, len(d.services)),
		workspaces:     d.workspaces,
	}
	var problems []Problem
	for _, key := range d.serviceKeys() {
		inputs := d.inputsOf(key)
		if first, found := c.servicesByID[key.id]; found {
			problems = append(problems, Problem{Path: key.path(), Value: string(key.id), Allowed: "a service id that is unique in the deployment; it also stands at " + string(first.inputs.key.path())})
			continue
		}
		if old, found := previous.servicesByID[key.id]; found && old.inputs == inputs {
			c.add(old)
			continue
		}
		svc, serviceProblems := d.compileService(key, inputs)
		problems = append(problems, serviceProblems...)
		if svc == nil {
			svc = &fleet.Service{ID: key.id}
		}
		c.add(compiledService{service: reuseIfEqual(previous, svc), inputs: inputs})
	}
	return c, problems
}

func (c *Catalog) add(s compiledService) {
	c.servicesByID[s.service.ID] = s
	c.sortedServices = append(c.sortedServices, s.service)
}

func (d *Document) inputsOf(key serviceKey) compileInputs {
	return compileInputs{
		key:         key,
		root:        d.root,
		region:      d.regions.nodes[string(d.regionOf(key))],
		workspace:   d.workspaces.find(key.workspace),
		dataCentres: d.dataCentres,
		subtree:     d.services[key],
	}
}

// compileService returns no service if a value in the inheritance chain did not
// parse. The problem of that value is reported by the docBuilder, and the errors
// that follow from it would only hide it.
func (d *Document) compileService(key serviceKey, inputs compileInputs) (*fleet.Service, []Problem) {
	checker := serviceChecker{doc: d, path: key.path()}
	if inputs.workspace == nil {
		checker.addProblem("", "", "a declared workspace; an op without a key declares it")
	}
	chain := d.chainOf(location{level: LevelService, name: string(key.workspace), service: key.id})
	if chain.hasInvalidValue() {
		return nil, checker.problems
	}
	svc := &fleet.Service{
		ID:        key.id,
		Workspace: key.workspace,
		Region:    d.regionOf(key),
		Policy:    compilePolicy(chain),
	}
	svc.Targets = d.compileTargets(chain)
	checker.checkService(chain, svc)
	svc.Routes = make([]fleet.Route, 0, len(inputs.subtree.routes))
	for _, r := range inputs.subtree.routes {
		if r.node.hasInvalidValue() {
			continue
		}
		routeChain := chain.prepend(LevelRoute, RoutePath(key.workspace, key.id, r.name), r.node)
		route := compileRoute(routeChain, r.name)
		checker.checkRoute(routeChain, &route)
		svc.Routes = append(svc.Routes, route)
	}
	checker.checkAmbiguousRoutes(svc)
	return svc, checker.problems
}

// compileTargets returns the targets of a service with their effective values. A
// target is drained if the service lists it as drained or its data centre is drained.
func (d *Document) compileTargets(chain inheritanceChain) []fleet.Target {
	entries := effective[[]TargetEntry](chain, keyTargets)
	drained := effective[[]fleet.TargetID](chain, keyDrained)
	targets := make([]fleet.Target, 0, len(entries))
	for _, t := range entries {
		dataCentreNode := d.dataCentres.nodes[string(t.DataCentre)]
		targetChain := chain.withDataCentre(t.DataCentre, dataCentreNode)
		targets = append(targets, fleet.Target{
			ID:          t.ID,
			Address:     t.Address,
			DataCentre:  t.DataCentre,
			Slots:       effective[int](targetChain, keySlots),
			Connections: effective[int](targetChain, keyConnections),
			Drained:     dataCentreDrained(dataCentreNode) || slices.Contains(drained, t.ID),
		})
	}
	return targets
}

func dataCentreDrained(dataCentreNode *node) bool {
	e, found := dataCentreNode.findKey(keyDrained)
	return found && e.parsed == true
}

func compilePolicy(chain inheritanceChain) fleet.Policy {
	return fleet.Policy{
		Floor:    effective[fleet.Floor](chain, keyFloor),
		Carriers: effective[int](chain, keyCarriers),
		Detection: fleet.Detection{
			Window:       effective[time.Duration](chain, keyDetectionWindow),
			MinRequests:  effective[int](chain, keyDetectionMinRequests),
			FailureRatio: effective[float64](chain, keyDetectionFailureRatio),
			SlowFactor:   effective[float64](chain, keyDetectionSlowFactor),
			MinObservers: effective[int](chain, keyDetectionMinObservers),
		},
		Ejection: fleet.Ejection{
			Base: effective[time.Duration](chain, keyEjectionBase),
			Max:  effective[time.Duration](chain, keyEjectionMax),
		},
		Probe: fleet.Probe{
			Path:     effective[string](chain, keyProbePath),
			Interval: effective[time.Duration](chain, keyProbeInterval),
			Timeout:  effective[time.Duration](chain, keyProbeTimeout),
		},
		RetryBudget: effective[float64](chain, keyRetryBudget),
		QueueLength: effective[int](chain, keyQueueLength),
		AddressTTL:  effective[time.Duration](chain, keyAddressTTL),
		SlowStart:   effective[time.Duration](chain, keySlowStart),
	}
}

func compileRoute(chain inheritanceChain, name string) fleet.Route {
	return fleet.Route{
		Name:        name,
		Methods:     effective[[]string](chain, keyMethods),
		PathPrefix:  effective[string](chain, keyPathPrefix),
		Kind:        effective[fleet.RequestKind](chain, keyKind),
		Idempotent:  effective[bool](chain, keyIdempotent),
		Deadline:    effective[time.Duration](chain, keyDeadline),
		Attempts:    effective[int](chain, keyAttempts),
		HedgeAfter:  effective[time.Duration](chain, keyHedgeAfter),
		OrderKey:    effective[fleet.OrderKeyMode](chain, keyOrderKey),
		BodyFailure: effective[*fleet.BodyFailure](chain, keyBodyFailure),
		Refusal:     effective[*fleet.Refusal](chain, keyRefusal),
		MaxBody:     effective[int64](chain, keyMaxBody),
	}
}
