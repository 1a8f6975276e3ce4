package fleet

import (
	"slices"
	"strings"
	"time"
)

// Target is one back end of a service.
type Target struct {
	ID         TargetID   `json:"id"`
	Address    string     `json:"address"`
	DataCentre DataCentre `json:"data-centre"`
	// Slots is the number of requests the target works on at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the target accepts from the whole fleet.
	Connections int `json:"connections"`
	// Drained is set by an operator; the target gets no new work.
	Drained bool `json:"drained,omitempty"`
}

// Service is one service with its effective settings; it is immutable once compiled.
type Service struct {
	ID        ServiceID   `json:"id"`
	Workspace WorkspaceID `json:"workspace"`
	Region    Region      `json:"region"`
	Targets   []Target    `json:"targets"`
	Routes    []Route     `json:"routes"`
	Policy    Policy      `json:"policy"`
}

// RouteFor returns the route with the longest path prefix that matches path
// and admits method; found is false if no prefix matches, and allowed is false
// if no matching route admits the method.
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

// matches compares whole path segments, so that /stock does not admit /stocks.
func (r *Route) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, r.PathPrefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/'
}

// Kind is the kind of a request, which sets its place in the queue.
type Kind uint8

// The kinds of request.
const (
	Lookup Kind = iota
	Order
	Batch
)

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
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

// The modes of order keys.
const (
	KeyRequired OrderKeyMode = iota
	KeyOptional
)

// Route states how requests of one kind may be treated.
type Route struct {
	Name       string        `json:"name"`
	Methods    []string      `json:"methods"`
	PathPrefix string        `json:"path-prefix"`
	Kind       Kind          `json:"kind"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	// Attempts is the largest number of targets tried for one request.
	Attempts int `json:"attempts"`
	// HedgeAfter is the wait before a second copy of an idempotent request; 0 turns hedging off.
	HedgeAfter  time.Duration `json:"hedge-after"`
	OrderKey    OrderKeyMode  `json:"order-key"`
	BodyFailure *BodyFailure  `json:"body-failure,omitempty"`
	Refusal     *Refusal      `json:"refusal,omitempty"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"max-body"`
}

// BodyFailure recognises a failure inside an answer with a success status.
type BodyFailure struct {
	// ContentType restricts the rule to answers of this media type; empty admits all.
	ContentType string `json:"content-type,omitempty"`
	// Contains is the byte sequence that marks a failure.
	Contains string `json:"contains"`
	// Within is the number of leading body bytes that are searched.
	Within int `json:"within"`
	// Retryable says that the failure leaves nothing done, so that a retry is allowed.
	Retryable bool `json:"retryable,omitempty"`
}

// Refusal recognises an answer by which a target refuses a request before it starts it.
type Refusal struct {
	Status int    `json:"status"`
	Header string `json:"header,omitempty"`
}

// Policy holds the effective settings of a service that are not per route.
type Policy struct {
	Floor     Floor     `json:"floor"`
	Carriers  int       `json:"carriers"`
	Detection Detection `json:"detection"`
	Ejection  Ejection  `json:"ejection"`
	Probe     Probe     `json:"probe"`
	// RetryBudget is the number of retries allowed for each request, on average.
	RetryBudget float64 `json:"retry-budget"`
	// QueueLength is the largest number of requests that wait for a slot at one daemon.
	QueueLength int           `json:"queue-length"`
	AddressTTL  time.Duration `json:"address-ttl"`
	SlowStart   time.Duration `json:"slow-start"`
}

// Floor is the smallest number of targets that stay in service, as a count or a share.
type Floor struct {
	Count   int     `json:"count,omitempty"`
	Percent float64 `json:"percent,omitempty"`
}

const percentWhole = 100

// Of returns the floor for a service with n targets, rounded up and at most n.
func (f Floor) Of(n int) int {
	floor := f.Count
	if f.Percent > 0 {
		share := f.Percent * float64(n) / percentWhole
		floor = max(floor, int(share))
		if share > float64(int(share)) {
			floor = max(floor, int(share)+1)
		}
	}
	return min(floor, n)
}

// Detection weighs detection time against false ejections.
type Detection struct {
	Window       time.Duration `json:"window"`
	MinRequests  int           `json:"min-requests"`
	FailureRatio float64       `json:"failure-ratio"`
	// SlowFactor is the ratio to the median of the other targets above which a target counts as slow.
	SlowFactor   float64 `json:"slow-factor"`
	MinObservers int     `json:"min-observers"`
}

// Ejection bounds how long an ejected target stays out of service.
type Ejection struct {
	Base time.Duration `json:"base"`
	Max  time.Duration `json:"max"`
}

// Probe is the health probe of a service's targets.
type Probe struct {
	Path     string        `json:"path"`
	Interval time.Duration `json:"interval"`
	Timeout  time.Duration `json:"timeout"`
}
