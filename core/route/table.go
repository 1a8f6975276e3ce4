package route

import (
	"net"
	"slices"
	"strings"
)

// Table is a compiled configuration. It is immutable and safe for concurrent use.
type Table struct {
	Version        Version
	Limits         Limits
	hosts          map[string][]Route
	services       map[string]Service
	servicesByHost [][]string
	// partial is set if hosts or routes of the configuration could not be read.
	partial bool
	// requiresKeys says that callers have to authenticate.
	requiresKeys bool
	workspaces   []*Workspace
	keys         keyIndex
	// meanWeight is the weight of workspaces without a quota.
	meanWeight float64
}

// Compile returns the table for a validated configuration.
func Compile(c *Config) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		hosts:    make(map[string][]Route, len(c.Hosts)),
		services: make(map[string]Service, len(c.Services)),
		partial:  c.Partial,

		requiresKeys: c.RequiresKeys,
	}
	t.workspaces, t.keys = compileWorkspaces(c)
	t.meanWeight = meanRate(t.workspaces)
	for _, s := range c.Services {
		if s.Name != "" {
			t.services[s.Name] = s
		}
	}
	for _, h := range c.Hosts {
		routes := slices.Clone(h.Routes)
		slices.SortFunc(routes, compareByPrefixLength)
		t.hosts[strings.ToLower(h.Name)] = routes
		t.servicesByHost = append(t.servicesByHost, servicesOf(routes))
	}
	return t
}

// compareByPrefixLength orders routes from the longest prefix to the shortest.
func compareByPrefixLength(a, b Route) int {
	return len(b.Prefix) - len(a.Prefix)
}

// Match returns the route of the host whose prefix is the longest that the path begins
// with, or nil. The path is compared byte for byte, without normalization.
func (t *Table) Match(host, path string) *Route {
	routes := t.hosts[normalizeHost(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// Partial reports whether hosts or routes of the configuration could not be read, so
// that a path without a route may have one there.
func (t *Table) Partial() bool {
	return t.partial
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// ServicesByHost returns, for each host, the services that its routes send requests
// to.
func (t *Table) ServicesByHost() [][]string {
	return t.servicesByHost
}

// servicesOf returns the sorted names of the services that the routes send requests to.
func servicesOf(routes []Route) []string {
	var out []string
	for _, r := range routes {
		for _, s := range r.Split {
			out = append(out, s.Service)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// MainService returns the service with the largest sum of traffic shares over the
// routes of a host, or an empty name if the host has no usable route.
func (t *Table) MainService(host string) string {
	weights := map[string]float64{}
	for _, r := range t.hosts[normalizeHost(host)] {
		if r.Problem != nil {
			continue
		}
		total := 0
		for _, s := range r.Split {
			total += s.Weight
		}
		for _, s := range r.Split {
			weights[s.Service] += float64(s.Weight) / float64(total)
		}
	}
	heaviest := ""
	for name, w := range weights {
		if heaviest == "" || w > weights[heaviest] || w == weights[heaviest] && name < heaviest {
			heaviest = name
		}
	}
	return heaviest
}

// normalizeHost returns the host name of a Host header in lower case, without the port.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// PickService returns the service for a request, by weight. random must be uniformly
// distributed, so that each service gets its share of the requests.
func (r *Route) PickService(random uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	point := int(random % uint64(total))
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
