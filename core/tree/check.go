package tree

import (
	"fmt"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// checker collects the problems of one service that need more than one value.
type checker struct {
	doc      *Doc
	path     Path
	problems []Problem
}

func (k *checker) add(key, value, allowed string) {
	k.problems = append(k.problems, Problem{Path: k.path, Key: key, Value: value, Allowed: allowed})
}

// addValue reports the effective value of a key where it is set. A value that
// a more general level sets is reported there, with the path that it breaks.
func (k *checker) addValue(v view, key *Key, at Path, allowed string) {
	value, origin := v.explain(key)
	p := Problem{Path: at, Key: key.Name, Value: string(value.Raw), Allowed: allowed}
	if !origin.Default && origin.Path != at {
		p.Path = origin.Path
		p.Allowed = fmt.Sprintf("%s (for %s)", allowed, at)
	}
	k.problems = append(k.problems, p)
}

func (k *checker) checkService(v view, svc *fleet.Service) {
	if _, known := k.doc.regions.nodes[string(svc.Region)]; !known {
		k.add(keyRegion.Name, quote(string(svc.Region)), "a region that is declared at /region/R")
	}
	if _, _, found := v.find(keyTargets); !found {
		k.add(keyTargets.Name, "", "a list of targets, which may be empty")
	}
	for _, t := range svc.Targets {
		if k.doc.centres.nodes[string(t.DataCentre)] == nil {
			k.add(keyTargets.Name, quote(string(t.DataCentre)), fmt.Sprintf("for target %s a data centre that is declared at /data-centre/D", t.ID))
		}
	}
	for _, id := range get[[]fleet.TargetID](v, keyDrained) {
		if !slices.ContainsFunc(svc.Targets, func(t fleet.Target) bool { return t.ID == id }) {
			k.add(keyDrained.Name, quote(string(id)), "an id that stands in targets")
		}
	}
	if svc.Policy.Floor.Count > len(svc.Targets) {
		k.addValue(v, keyFloor, k.path, fmt.Sprintf("at most the %d targets of the service", len(svc.Targets)))
	}
	k.checkTimes(v, svc)
}

func (k *checker) checkTimes(v view, svc *fleet.Service) {
	if svc.Policy.Ejection.Base > svc.Policy.Ejection.Max {
		k.addValue(v, keyEjectionBase, k.path, "at most ejection-max, "+svc.Policy.Ejection.Max.String())
	}
	if svc.Policy.Probe.Timeout > svc.Policy.Probe.Interval {
		k.addValue(v, keyProbeTimeout, k.path, "at most probe-interval, "+svc.Policy.Probe.Interval.String())
	}
}

func (k *checker) checkRoute(v view, r *fleet.Route) {
	at := v.links[0].path
	if len(r.Methods) == 0 {
		k.problems = append(k.problems, Problem{Path: at, Key: keyMethods.Name, Allowed: methodsAllowed})
	}
	if r.PathPrefix == "" {
		k.problems = append(k.problems, Problem{Path: at, Key: keyPathPrefix.Name, Allowed: pathTextAllowed})
	}
	if !r.Idempotent && r.Attempts > 1 {
		k.addValue(v, keyAttempts, at, "1, because the route is not idempotent")
	}
	if !r.Idempotent && r.HedgeAfter > 0 {
		k.addValue(v, keyHedgeAfter, at, `"0s", because the route is not idempotent`)
	}
	if r.HedgeAfter >= r.Deadline && r.HedgeAfter > time.Duration(0) {
		k.addValue(v, keyHedgeAfter, at, "less than deadline, "+r.Deadline.String())
	}
}

// checkPrefixes finds routes between which a request could not choose.
func (k *checker) checkPrefixes(svc *fleet.Service) {
	byPrefix := make(map[string][]*fleet.Route, len(svc.Routes))
	for i := range svc.Routes {
		r := &svc.Routes[i]
		for _, other := range byPrefix[r.PathPrefix] {
			if both := common(r.Methods, other.Methods); both != "" && r.PathPrefix != "" {
				at := RoutePath(svc.Workspace, svc.ID, r.Name)
				allowed := fmt.Sprintf("another prefix or other methods: route %s also takes %s", other.Name, both)
				k.problems = append(k.problems, Problem{Path: at, Key: keyPathPrefix.Name, Value: quote(r.PathPrefix), Allowed: allowed})
			}
		}
		byPrefix[r.PathPrefix] = append(byPrefix[r.PathPrefix], r)
	}
}

func common(a, b []string) string {
	for _, m := range a {
		if slices.Contains(b, m) {
			return m
		}
	}
	return ""
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
