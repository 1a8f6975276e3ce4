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
	// partial says that a part of the configuration could not be read.
	partial bool
}

// Compile returns the table of a validated configuration.
func Compile(c *Config) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		hosts:    make(map[string][]Route, len(c.Hosts)),
		services: make(map[string]Service, len(c.Services)),
		partial:  c.Partial,
	}
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

func compareByPrefixLength(a, b Route) int {
	return len(b.Prefix) - len(a.Prefix)
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil. The path is compared byte for byte, without cleaning.
func (t *Table) Match(host, path string) *Route {
	routes := t.hosts[normalizeHost(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// Partial reports whether a path without a route may have one in a part of the
// configuration that could not be read.
func (t *Table) Partial() bool {
	return t.partial
}

// Service returns the service of that name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of all services, in order.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for n := range t.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// ServicesByHost returns the services that the routes of each host lead to.
func (t *Table) ServicesByHost() [][]string {
	return t.servicesByHost
}

// servicesOf returns the services that the routes lead to, in order.
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

// MainService returns the service that most routes of a host send most of
// their requests to, or an empty name.
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
	main := ""
	for name, w := range weights {
		if main == "" || w > weights[main] || w == weights[main] && name < main {
			main = name
		}
	}
	return main
}

// normalizeHost strips the port and folds the case of a Host header.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for a request; draw is a uniformly distributed
// number, so that each service gets its share of the requests.
func (r *Route) Pick(draw uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := int(draw % uint64(total))
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
