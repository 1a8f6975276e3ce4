package fleet

import (
	"slices"
	"strings"
	"time"
)

// Target is one backend of a service.
type Target struct {
	ID         TargetID   `json:"id"`
	Address    string     `json:"address"`
	DataCentre DataCentre `json:"data-centre"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts from all
	// daemons of the fleet together.
	Connections int `json:"connections"`
	// Drained is set by an operator; the target then gets no new requests.
	Drained bool `json:"drained,omitempty"`
}

// Service is a service with its effective settings. It is immutable after it was
// compiled from the settings document.
type Service struct {
	ID        ServiceID   `json:"id"`
	Workspace WorkspaceID `json:"workspace"`
	Region    Region      `json:"region"`
	Targets   []Target    `json:"targets"`
	Routes    []Route     `json:"routes"`
	Policy    Policy      `json:"policy"`
}

// RouteFor returns the route with the longest path prefix among those that match
// path and allow method. found reports whether any prefix matches the path, and
// allowed whether a matching route allows the method.
func (s *Service) RouteFor(method, path string) (route *Route, found, allowed bool) {
	for i := range s.Routes {
		r := &s.Routes[i]
		if !r.matches(path) {
			continue
		}
		found = true
		if !slices.Contains(r.Methods, method) {
			continue
		}
		if route == nil || len(r.PathPrefix) > len(route.PathPrefix) {
			route = r
		}
	}
	return route, found, route != nil
}

// matches reports whether the path has the route's prefix. It compares whole path
// segments, so that /stock does not match /stocks.
func (r *Route) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, r.PathPrefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/'
}

// RequestKind is the kind of a request. It decides the priority of the request in the queue.
type RequestKind uint8

// The kinds of requests.
const (
	Lookup RequestKind = iota
	Order
	Batch
)

// String returns the kebab-case name of the kind.
func (k RequestKind) String() string {
	switch k {
	case Order:
		return "order"
	case Batch:
		return "batch"
	default:
		return "lookup"
	}
}

// OrderKeyMode says whether orders on a route need an Idempotency-Key.
type OrderKeyMode uint8

// The order key modes.
const (
	KeyRequired OrderKeyMode = iota
	KeyOptional
)

// Route states how the requests with a path prefix and one of the methods are handled.
type Route struct {
	Name       string        `json:"name"`
	Methods    []string      `json:"methods"`
	PathPrefix string        `json:"path-prefix"`
	Kind       RequestKind   `json:"kind"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	// Attempts is the maximum number of targets that are tried for one request.
	Attempts int `json:"attempts"`
	// HedgeAfter is the wait before a second copy of an idempotent request is
	// sent to another target; 0 turns hedging off.
	HedgeAfter  time.Duration `json:"hedge-after"`
	OrderKey    OrderKeyMode  `json:"order-key"`
	BodyFailure *BodyFailure  `json:"body-failure,omitempty"`
	Refusal     *Refusal      `json:"refusal,omitempty"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `json:"max-body"`
}

// BodyFailure recognises responses that report a failure in the body although
// their status is a success.
type BodyFailure struct {
	// ContentType restricts the rule to responses of this media type; empty
	// matches all.
	ContentType string `json:"content-type,omitempty"`
	// Contains is the byte sequence in the body that marks a failure.
	Contains string `json:"contains"`
	// Within is the number of bytes at the start of the body that are searched.
	Within int `json:"within"`
	// Retryable says that a failed request had no effect, so that it may be retried.
	Retryable bool `json:"retryable,omitempty"`
}

// Refusal recognises responses by which a target refuses a request before it has
// started to process it. Header names a header that must also be present, if set.
type Refusal struct {
	Status int    `json:"status"`
	Header string `json:"header,omitempty"`
}

// Policy holds the effective settings of a service that apply to all its routes.
type Policy struct {
	Floor Floor `json:"floor"`
	// Carriers is the number of daemons that forward requests of the service.
	Carriers  int       `json:"carriers"`
	Detection Detection `json:"detection"`
	Ejection  Ejection  `json:"ejection"`
	Probe     Probe     `json:"probe"`
	// RetryBudget is the average number of retries allowed per request.
	RetryBudget float64 `json:"retry-budget"`
	// QueueLength is the maximum number of requests that wait for a slot at one daemon.
	QueueLength int `json:"queue-length"`
	// AddressTTL is the time for which callers may cache a list of daemon addresses.
	AddressTTL time.Duration `json:"address-ttl"`
	// SlowStart is the time in which the traffic to a target that returns to
	// service grows from 10% to its full share.
	SlowStart time.Duration `json:"slow-start"`
}

// Floor is the minimum number of targets that stay in service, as a count or as a
// percentage of all targets. If both are set, the larger number applies.
type Floor struct {
	Count   int     `json:"count,omitempty"`
	Percent float64 `json:"percent,omitempty"`
}

const hundredPercent = 100

// MinTargets returns the minimum number of targets for a service with n targets. A
// percentage is rounded up, and the result is at most n.
func (f Floor) MinTargets(n int) int {
	floor := f.Count
	if f.Percent > 0 {
		share := f.Percent * float64(n) / hundredPercent
		floor = max(floor, int(share))
		if share > float64(int(share)) {
			floor = max(floor, int(share)+1)
		}
	}
	return min(floor, n)
}

// Detection configures when a target counts as failing. It trades the time to
// detect a failure against the risk of ejecting a healthy target.
type Detection struct {
	// Window is the time over which the results of requests are counted.
	Window time.Duration `json:"window"`
	// MinRequests is the minimum number of requests in a window for a decision.
	MinRequests  int     `json:"min-requests"`
	FailureRatio float64 `json:"failure-ratio"`
	// SlowFactor is the ratio of a target's latency to the median of the other
	// targets above which the target counts as slow.
	SlowFactor float64 `json:"slow-factor"`
	// MinObservers is the minimum number of daemons that must agree before an
	// ejection.
	MinObservers int `json:"min-observers"`
}

// Ejection sets how long an ejected target stays out of service: Base the first
// time, longer if it is ejected again, and at most Max.
type Ejection struct {
	Base time.Duration `json:"base"`
	Max  time.Duration `json:"max"`
}

// Probe configures the health probes of a service's targets.
type Probe struct {
	Path     string        `json:"path"`
	Interval time.Duration `json:"interval"`
	Timeout  time.Duration `json:"timeout"`
}
