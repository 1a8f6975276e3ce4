package route

import "time"

// Version orders configurations; a higher one replaces a lower one.
type Version int64

// Config is one configuration as the operators wrote it.
type Config struct {
	Version  Version
	Services []Service
	Hosts    []Host
	Limits   Limits
	// Problems are the parts that could not be read and are missing here.
	Problems []error
	// Partial says that hosts or routes are among those parts.
	Partial bool
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from the whole fleet.
	MaxConnections int
}

// Host groups the routes of one host name.
type Host struct {
	Name   string
	Routes []Route
}

// Route states where the requests below a path prefix go and how they may be treated.
type Route struct {
	Name   string
	Prefix string
	Kind   Kind
	// KindWord is the operators' word for the kind.
	KindWord string
	// Timeout is the longest time until the caller has its final answer.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to the caller.
	Objective time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Attempts is the largest number of targets tried for one request.
	Attempts int
	// Split divides the requests among services by weight.
	Split []Share
	// Problem says why the route cannot be served; its requests are refused.
	Problem error
}

// Kind says whether the requests of a route may run more than once.
type Kind uint8

// The kinds. A request of a kind that this version does not know runs at most
// once, because that cannot double anything.
const (
	UnknownKind Kind = iota
	NotIdempotent
	Idempotent
)

// Idempotent reports whether the requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent
}

// Share is one part of a traffic split.
type Share struct {
	Service string
	Weight  int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold until a configuration is known, and in place of a limit that
// is not positive.
var DefaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}
