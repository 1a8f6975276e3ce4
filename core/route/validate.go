package route

import (
	"slices"
	"strings"

	"wisteriarelay.example/core/fault"
)

// Validate sets the problem of each route that cannot be served, and returns
// these and all other problems that leave the rest of the configuration usable.
// It fails with fault.SettingsInvalid if the configuration must not come into
// force: it has no version, or routes of which none can be served.
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
	routes, served := 0, 0
	for i := range c.Hosts {
		h := &c.Hosts[i]
		problems = append(problems, h.validate(services)...)
		routes += len(h.Routes)
		served += h.servableRoutes()
	}
	if routes > 0 && served == 0 {
		return problems, fault.New(fault.SettingsInvalid, "none of %d routes can be served", routes)
	}
	return problems, nil
}

// applyDefaults puts the default in place of each limit that is not positive.
func (l *Limits) applyDefaults() []error {
	var problems []error
	problem := func(name string) {
		problems = append(problems, fault.New(fault.SettingsInvalid, "limit of %s is not positive, the default holds", name))
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
		problem("header bytes")
	}
	if l.BodyBytes < 0 {
		l.BodyBytes = DefaultLimits.BodyBytes
		problem("body bytes")
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
		problem("the time for a header")
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
		problem("the idle time")
	}
	return problems
}

// mergeHosts joins the routes of entries for the same host name.
func (c *Config) mergeHosts() {
	var out []Host
	at := map[string]int{}
	for _, h := range c.Hosts {
		name := strings.ToLower(h.Name)
		if i, ok := at[name]; ok {
			out[i].Routes = slices.Concat(out[i].Routes, h.Routes)
			continue
		}
		at[name] = len(out)
		out = append(out, h)
	}
	c.Hosts = out
}

func (h *Host) validate(services map[string]bool) []error {
	var problems []error
	prefixes := map[string]int{}
	for i := range h.Routes {
		prefixes[h.Routes[i].Prefix]++
	}
	for i := range h.Routes {
		r := &h.Routes[i]
		if r.Problem == nil {
			r.Problem = r.validate(services)
		}
		if r.Problem == nil && prefixes[r.Prefix] > 1 {
			r.Problem = fault.New(fault.SettingsInvalid, "prefix stands %d times", prefixes[r.Prefix])
		}
		if r.Problem != nil {
			problems = append(problems, fault.Wrap(r.Problem, fault.SettingsInvalid, "host %q, route %q, prefix %q", h.Name, r.Name, r.Prefix))
		}
		if r.Kind == UnknownKind {
			problems = append(problems, fault.New(fault.SettingsInvalid,
				"host %q, route %q: kind %q is not known, requests run at most once", h.Name, r.Name, r.KindWord))
		}
	}
	return problems
}

func (h *Host) servableRoutes() int {
	n := 0
	for i := range h.Routes {
		if h.Routes[i].Problem == nil {
			n++
		}
	}
	return n
}

func (r *Route) validate(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fault.New(fault.SettingsInvalid, "prefix must begin and end with a slash")
	}
	if r.Timeout <= 0 || r.Attempts <= 0 || r.Objective < 0 || r.Priority < 0 {
		return fault.New(fault.SettingsInvalid, "timeout and attempts must be positive, objective and priority not negative")
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
		return fault.New(fault.SettingsInvalid, "no service has a weight")
	}
	return nil
}
