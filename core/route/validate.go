package route

import (
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fault"
)

const (
	// maxAttempts is the largest number of attempts for one request. A larger one in a
	// configuration is replaced by it.
	maxAttempts = 100
	// maxWeight is the largest weight of a service in a traffic split. Larger ones are
	// reduced together, so that they can be added without an overflow.
	maxWeight = 1 << 31
	// maxLimitTimeout is the longest header or idle timeout. A longer one, which stands for
	// none, is replaced by it, so that times can be added without an overflow.
	maxLimitTimeout = 24 * time.Hour
)

// Validate sets Problem on each route that cannot be served, and removes workspaces that
// cannot be used. It returns these problems and all others that leave the rest of the
// configuration usable. It fails with fault.SettingsInvalid if the configuration must not
// be applied: if it has no valid version, or if it has routes or workspaces but none of
// them can be used. It also merges hosts of the same name and replaces invalid limits by
// their defaults.
func (c *Config) Validate() (problems []error, err error) {
	if c.Version <= 0 {
		return nil, fault.New(fault.SettingsInvalid, "version %d is not positive", c.Version)
	}
	problems = slices.Clone(c.Problems)
	problems = append(problems, c.Limits.applyDefaults()...)
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = s.Name != ""
	}
	c.mergeHosts()
	routes, servable := 0, 0
	for i := range c.Hosts {
		h := &c.Hosts[i]
		problems = append(problems, h.validate(services)...)
		routes += len(h.Routes)
		servable += h.servableRoutes()
	}
	if routes > 0 && servable == 0 {
		return problems, fault.New(fault.SettingsInvalid, "none of %d routes can be served", routes)
	}
	problems = append(problems, c.validateWorkspaces()...)
	if c.WorkspacesPartial && len(c.Workspaces) == 0 {
		return problems, fault.New(fault.SettingsInvalid, "none of the workspaces can be used")
	}
	return problems, nil
}

// applyDefaults replaces each invalid limit by its default and returns an error for
// each of them. A body limit of 0 is valid. It also bounds the timeouts.
func (l *Limits) applyDefaults() []error {
	var problems []error
	addProblem := func(name string) {
		problems = append(problems, fault.New(fault.SettingsInvalid, "limit %s is not positive; using the default", name))
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
		addProblem("header bytes")
	}
	if l.BodyBytes < 0 {
		l.BodyBytes = DefaultLimits.BodyBytes
		addProblem("body bytes")
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
		addProblem("header timeout")
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
		addProblem("idle timeout")
	}
	l.HeaderTimeout = min(l.HeaderTimeout, maxLimitTimeout)
	l.IdleTimeout = min(l.IdleTimeout, maxLimitTimeout)
	return problems
}

// mergeHosts merges entries for the same host name, ignoring case.
func (c *Config) mergeHosts() {
	var out []Host
	index := map[string]int{}
	for _, h := range c.Hosts {
		name := strings.ToLower(h.Name)
		if i, ok := index[name]; ok {
			out[i].Routes = slices.Concat(out[i].Routes, h.Routes)
			continue
		}
		index[name] = len(out)
		out = append(out, h)
	}
	c.Hosts = out
}

// validate sets Problem on each route of the host that cannot be served and returns all
// problems of the host.
func (h *Host) validate(services map[string]bool) []error {
	var problems []error
	prefixes := map[string]int{}
	for i := range h.Routes {
		prefixes[h.Routes[i].Prefix]++
	}
	for i := range h.Routes {
		r := &h.Routes[i]
		if r.reduceWeights() {
			problems = append(problems, fault.New(fault.SettingsInvalid, "host %q, route %q: weights above %d are reduced in proportion", h.Name, r.Name, maxWeight))
		}
		if r.Problem == nil {
			r.Problem = r.validate(services)
		}
		if r.Problem == nil && prefixes[r.Prefix] > 1 {
			r.Problem = fault.New(fault.SettingsInvalid, "prefix occurs %d times", prefixes[r.Prefix])
		}
		if r.Problem != nil {
			problems = append(problems, fault.Wrap(r.Problem, fault.SettingsInvalid, "host %q, route %q, prefix %q", h.Name, r.Name, r.Prefix))
		}
		if r.MaxAttempts > maxAttempts {
			problems = append(problems, fault.New(fault.SettingsInvalid, "host %q, route %q: %d attempts are limited to %d", h.Name, r.Name, r.MaxAttempts, maxAttempts))
			r.MaxAttempts = maxAttempts
		}
		if r.Idempotency == UnknownIdempotency {
			problems = append(problems, fault.New(fault.SettingsInvalid,
				"host %q, route %q: kind %q is unknown; requests run at most once", h.Name, r.Name, r.IdempotencyText))
		}
	}
	return problems
}

// reduceWeights divides all weights of the route by the same number if one of them exceeds
// maxWeight, and reports whether it did. A positive weight stays positive.
func (r *Route) reduceWeights() bool {
	largest := 0
	for _, s := range r.Split {
		largest = max(largest, s.Weight)
	}
	if largest <= maxWeight {
		return false
	}
	divisor := largest/maxWeight + 1
	for i := range r.Split {
		if w := r.Split[i].Weight; w > 0 {
			r.Split[i].Weight = max(w/divisor, 1)
		}
	}
	return true
}

// servableRoutes returns the number of routes without a problem.
func (h *Host) servableRoutes() int {
	n := 0
	for i := range h.Routes {
		if h.Routes[i].Problem == nil {
			n++
		}
	}
	return n
}

// validate returns the reason why the route cannot be served, or nil. services holds
// the names of the services that exist.
func (r *Route) validate(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fault.New(fault.SettingsInvalid, "prefix must begin and end with a slash")
	}
	if r.Timeout <= 0 || r.MaxAttempts <= 0 || r.Objective < 0 || r.Priority < 0 {
		return fault.New(fault.SettingsInvalid, "timeout and attempts must be positive; objective and priority must not be negative")
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return fault.New(fault.SettingsInvalid, "service %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			return fault.New(fault.SettingsInvalid, "weight %d is negative", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fault.New(fault.SettingsInvalid, "no service has a positive weight")
	}
	return nil
}
