package caller

import "time"

// State says how far a request has come.
type State int

// The states of a request.
const (
	// Reading is the state of a request that is not read completely.
	Reading State = iota
	// Waiting is the state of a request that is read and was not sent to a target.
	Waiting
	// Sent is the state of a request that is being sent to a target, or was sent to one.
	Sent
	// Writing is the state of a request whose response is being written.
	Writing
)

var stateNames = [...]string{"reading", "waiting", "sent", "writing"}

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return stateNames[s]
}

// MarshalText encodes the state by its name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// OpenRequest describes a request without a complete response.
type OpenRequest struct {
	// ID is the request id of the caller; empty while the request is being read.
	ID     string        `json:"id"`
	State  State         `json:"state"`
	Caller string        `json:"caller"`
	Age    time.Duration `json:"age-ns"`
}

// Counts is the number of requests by state.
type Counts struct {
	Reading int
	Waiting int
	Sent    int
	Writing int
}

// Count returns how many of the requests are in each state.
func Count(requests []OpenRequest) Counts {
	var c Counts
	for _, r := range requests {
		switch r.State {
		case Reading:
			c.Reading++
		case Waiting:
			c.Waiting++
		case Sent:
			c.Sent++
		case Writing:
			c.Writing++
		}
	}
	return c
}

// Total returns the number of all requests.
func (c Counts) Total() int {
	return c.Reading + c.Waiting + c.Sent + c.Writing
}

func (x *exchange) state() State {
	switch {
	case x.writing.Load():
		return Writing
	case x.request != nil && x.request.sent.Load():
		return Sent
	default:
		return Waiting
	}
}

// open describes the request of the exchange.
func (x *exchange) open(now time.Time) OpenRequest {
	o := OpenRequest{State: x.state(), Caller: x.conn.netConn.RemoteAddr().String()}
	if x.request != nil {
		o.ID = x.request.Header.Get(x.conn.server.requestIDHeader)
		o.Age = now.Sub(x.request.ReceivedAt)
	}
	return o
}

// openRequests describes the requests of the connection without a complete response.
func (c *conn) openRequests(now time.Time) []OpenRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []OpenRequest
	for _, x := range c.pending {
		out = append(out, x.open(now))
	}
	if !c.readingSince.IsZero() {
		out = append(out, OpenRequest{State: Reading, Caller: c.netConn.RemoteAddr().String(), Age: now.Sub(c.readingSince)})
	}
	return out
}

// OpenRequests describes all requests without a complete response, for logs and the state
// dump.
func (s *Server) OpenRequests() []OpenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []OpenRequest
	for c := range s.conns {
		out = append(out, c.openRequests(now)...)
	}
	return out
}
