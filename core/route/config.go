package route

import "time"

// Version orders configurations; a higher one replaces a lower one.
type Version int64

// Config is one configuration as written by the operators.
type Config struct {
	Version  Version
	Services []Service
	Hosts    []Host
	Limits   Limits
	// RequiresKeys says that callers have to authenticate: the configuration has a list
	// of workspaces, which may be empty.
	RequiresKeys bool
	Workspaces   []Workspace
	// Problems has an error for each part that could not be read and is missing here.
	Problems []error
	// Partial is set if hosts or routes are among the missing parts.
	Partial bool
	// WorkspacesPartial is set if workspaces are among the missing parts.
	WorkspacesPartial bool
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
}

// Host holds the routes of one host name.
type Host struct {
	Name   string
	Routes []Route
}

// Route says which services receive the requests below a path prefix, and how these
// may be handled.
type Route struct {
	Name        string
	Prefix      string
	Idempotency Idempotency
	// IdempotencyText is the idempotency as written in the configuration, where it is
	// called the kind of the route. It is used in messages.
	IdempotencyText string
	// Timeout is the maximum time until the caller has its response.
	Timeout time.Duration
	// Objective is the time within which a response has its full value for the caller;
	// 0 if there is none.
	Objective time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of attempts for one request.
	MaxAttempts int
	// KeyExempt says that callers need no key for this route.
	KeyExempt bool
	// Split distributes the requests among services by weight.
	Split []WeightedService
	// Problem is the reason why the route cannot be served, or nil. While it is set, the
	// requests of the route are refused.
	Problem error
}

// Idempotency says whether the requests of a route may run more than once.
type Idempotency uint8

// The values of Idempotency. A request on a route with UnknownIdempotency, for example
// because its kind was added by a later version, runs at most once, because that is safe
// for every kind.
const (
	UnknownIdempotency Idempotency = iota
	NotIdempotent
	Idempotent
)

// Idempotent reports whether the requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Idempotency == Idempotent
}

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Limits are the limits on the size of a caller's requests and on the time to send
// them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits apply until a configuration is known. Each of them also replaces an
// invalid limit of a configuration.
var DefaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}
