package memory

// Kind is a kind of memory that is held.
type Kind int

// The kinds of memory.
const (
	// Connections is the memory of callers' connections.
	Connections Kind = iota
	// Heads is the memory reserved for request heads that are being read.
	Heads
	// Requests is the memory of requests without a complete response.
	Requests
	// Bodies is the memory of the bodies of these requests.
	Bodies
	// Exchanges is the memory of exchanges with targets.
	Exchanges
	// IdleConnections is the memory of idle connections to targets.
	IdleConnections
	// Responses is the memory of buffered responses.
	Responses
	kindCount
)

var kindNames = [kindCount]string{"connections", "heads", "requests", "bodies", "exchanges", "idle-connections", "responses"}

// String returns the name of the kind in metrics and state dumps.
func (k Kind) String() string {
	return kindNames[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// ExchangeBytes is the memory of an exchange with a target: a connection, its buffers,
// stacks, and a buffer for a response that is streamed. BenchmarkMemoryHeld of the relay
// measures it; this is rounded up.
const ExchangeBytes = 48 << 10

// FieldBytes is the memory of a header field in addition to its text.
const FieldBytes = 128

// HeaderBytes returns the memory of a header.
func HeaderBytes(header map[string][]string) int64 {
	size := int64(0)
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + FieldBytes
		}
	}
	return size
}

// Limits are the limits of a budget in bytes; 0 means no limit. Buffer, Admit and Total
// apply to the memory of all kinds together, in ascending order: buffering stops first,
// then new work is refused, and the rest up to Total is for work that runs already.
type Limits struct {
	// Buffer is the limit above which responses are streamed instead of buffered.
	Buffer int64 `json:"buffer"`
	// Admit is the limit above which connections and requests are refused.
	Admit int64 `json:"admit"`
	// Total is the bound on all memory held.
	Total int64 `json:"total"`
	// Bodies and Responses limit one kind alone.
	Bodies    int64 `json:"bodies"`
	Responses int64 `json:"responses"`
}

const (
	// The bound is 3/8 of the VM's memory. The soft limit of the Go runtime is 0.6 of it;
	// the difference is for the rest of the daemon's heap, which is 20 to 30 MB of
	// the 184 MB of a small VM, and for garbage.
	boundNumerator, boundDenominator = 3, 8
	// Buffering stops at 6/8 of the bound, new work is refused at 7/8 of it.
	bufferEighths, admitEighths = 6, 7
)

// LimitsOf returns the limits for a VM with that much memory in bytes.
func LimitsOf(vmBytes int64) Limits {
	total := vmBytes / boundDenominator * boundNumerator
	return Limits{Buffer: total / 8 * bufferEighths, Admit: total / 8 * admitEighths, Total: total}
}

// Spare returns the number of bytes between Admit and Total.
func (l Limits) Spare() int64 {
	return l.Total - l.Admit
}

// level returns the limit on all memory that applies to a reservation of the kind.
func (l *Limits) level(k Kind) int64 {
	switch k {
	case Responses, IdleConnections:
		return l.Buffer
	case Heads:
		// A head is read also when its request will be refused, for the log.
		return l.Total
	default:
		return l.Admit
	}
}

// kindLimit returns the limit on the memory of the kind alone.
func (l *Limits) kindLimit(k Kind) int64 {
	switch k {
	case Bodies:
		return l.Bodies
	case Responses:
		return l.Responses
	default:
		return 0
	}
}

// Allows reports whether the memory of the kind, and that of all kinds, may grow to these
// numbers of bytes.
func (l *Limits) Allows(k Kind, ofKind, total int64) bool {
	level, kindLimit := l.level(k), l.kindLimit(k)
	return (level == 0 || total <= level) && (kindLimit == 0 || ofKind <= kindLimit)
}
