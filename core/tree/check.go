package tree

import (
	"fmt"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// serviceChecker collects the problems of one service that only show when
// several values are compared.
type serviceChecker struct {
	doc      *Document
	path     Path
	problems []Problem
}

func (c *serviceChecker) addProblem(key, value, allowed string) {
	c.problems = append(c.problems, Problem{Path: c.path, Key: key, Value: value, Allowed: allowed})
}

// addValueProblem reports that the effective value of a key is not valid at the
// path. An inherited value is reported at the path that sets it, and the message
// names the path at which it is not valid.
func (c *serviceChecker) addValueProblem(chain inheritanceChain, key *Key, path Path, allowed string) {
	value, origin := chain.effectiveWithOrigin(key)
	p := Problem{Path: path, Key: key.Name, Value: string(value.Raw), Allowed: allowed}
	if !origin.Default && origin.Path != path {
		p.Path = origin.Path
		p.Allowed = fmt.Sprintf("%s (for %s)", allowed, path)
	}
	c.problems = append(c.problems, p)
}

func (c *serviceChecker) checkService(chain inheritanceChain, svc *fleet.Service) {
	if _, declared := c.doc.regions.nodes[string(svc.Region)]; !declared {
		c.addProblem(keyRegion.Name, quote(string(svc.Region)), "a region that is declared at /region/R")
	}
	if _, _, found := chain.find(keyTargets); !found {
		c.addProblem(keyTargets.Name, "", "a list of targets, which may be empty")
	}
	for _, t := range svc.Targets {
		if c.doc.dataCentres.nodes[string(t.DataCentre)] == nil {
			c.addProblem(keyTargets.Name, quote(string(t.DataCentre)), fmt.Sprintf("for target %s a data centre that is declared at /data-centre/D", t.ID))
		}
	}
	for _, id := range effective[[]fleet.TargetID](chain, keyDrained) {
		if !slices.ContainsFunc(svc.Targets, func(t fleet.Target) bool { return t.ID == id }) {
			c.addProblem(keyDrained.Name, quote(string(id)), "an id that stands in targets")
		}
	}
	if svc.Policy.Floor.Count > len(svc.Targets) {
		c.addValueProblem(chain, keyFloor, c.path, fmt.Sprintf("at most the %d targets of the service", len(svc.Targets)))
	}
	c.checkDurations(chain, svc)
}

func (c *serviceChecker) checkDurations(chain inheritanceChain, svc *fleet.Service) {
	if svc.Policy.Ejection.Base > svc.Policy.Ejection.Max {
		c.addValueProblem(chain, keyEjectionBase, c.path, "at most ejection-max, "+svc.Policy.Ejection.Max.String())
	}
	if svc.Policy.Probe.Timeout > svc.Policy.Probe.Interval {
		c.addValueProblem(chain, keyProbeTimeout, c.path, "at most probe-interval, "+svc.Policy.Probe.Interval.String())
	}
}

func (c *serviceChecker) checkRoute(chain inheritanceChain, r *fleet.Route) {
	path := chain.nodes[0].path
	if len(r.Methods) == 0 {
		c.problems = append(c.problems, Problem{Path: path, Key: keyMethods.Name, Allowed: methodsAllowed})
	}
	if r.PathPrefix == "" {
		c.problems = append(c.problems, Problem{Path: path, Key: keyPathPrefix.Name, Allowed: httpPathAllowed})
	}
	if !r.Idempotent && r.Attempts > 1 {
		c.addValueProblem(chain, keyAttempts, path, "1, because the route is not idempotent")
	}
	if !r.Idempotent && r.HedgeAfter > 0 {
		c.addValueProblem(chain, keyHedgeAfter, path, `"0s", because the route is not idempotent`)
	}
	if r.HedgeAfter >= r.Deadline && r.HedgeAfter > time.Duration(0) {
		c.addValueProblem(chain, keyHedgeAfter, path, "less than deadline, "+r.Deadline.String())
	}
}

// checkAmbiguousRoutes reports routes of the same path prefix that have a method
// in common, because a request would match both.
func (c *serviceChecker) checkAmbiguousRoutes(svc *fleet.Service) {
	byPrefix := make(map[string][]*fleet.Route, len(svc.Routes))
	for i := range svc.Routes {
		r := &svc.Routes[i]
		for _, other := range byPrefix[r.PathPrefix] {
			if method := commonMethod(r.Methods, other.Methods); method != "" && r.PathPrefix != "" {
				path := RoutePath(svc.Workspace, svc.ID, r.Name)
				allowed := fmt.Sprintf("another prefix or other methods: route %s also takes %s", other.Name, method)
				c.problems = append(c.problems, Problem{Path: path, Key: keyPathPrefix.Name, Value: quote(r.PathPrefix), Allowed: allowed})
			}
		}
		byPrefix[r.PathPrefix] = append(byPrefix[r.PathPrefix], r)
	}
}

// commonMethod returns a method that both lists contain, or "" if there is none.
func commonMethod(a, b []string) string {
	for _, m := range a {
		if slices.Contains(b, m) {
			return m
		}
	}
	return ""
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
