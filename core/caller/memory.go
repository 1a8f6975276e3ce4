package caller

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriarelay.example/core/memory"
)

// The memory in bytes of what a daemon holds for callers, apart from heads, bodies and
// responses; measured by BenchmarkMemoryHeld of the relay and rounded up.
const (
	// connectionMemory is the memory of a connection with its buffers and the stacks of
	// its goroutines.
	connectionMemory = 16 << 10
	// requestMemory is the memory of a request until its response is written.
	requestMemory = 16 << 10
)

// headCopies is the number of copies of a head: as received, without hop-by-hop fields, and
// as forwarded.
const headCopies = 3

// headMemory returns the memory of the copies of a request's head.
func headMemory(req *http.Request) int64 {
	text := int64(len(req.RequestURI) + len(req.Host))
	return headCopies * (text + memory.HeaderBytes(req.Header))
}

// parserCopies is the number of copies of a head while it is parsed: a long line grows in a
// buffer and is then copied.
const parserCopies = 3

var newline = []byte{'\n'}

// headReservation is the memory that is reserved for a head that is being read: its text,
// and its fields, which take a multiple of their text if they are short.
type headReservation struct {
	budget *memory.Budget
	bytes  int64
}

// reserve reserves memory for a part of the head that has arrived. The limit on heads does
// not matter: operators may set one that exceeds the memory.
func (r *headReservation) reserve(part []byte) bool {
	lines := bytes.Count(part, newline)
	n := parserCopies*int64(len(part)) + int64(lines)*memory.FieldBytes
	if !r.budget.Reserve(memory.Heads, n) {
		return false
	}
	r.bytes += n
	return true
}

func (r *headReservation) release() {
	r.budget.Release(memory.Heads, r.bytes)
	r.bytes = 0
}

// reservation is the memory that is reserved for one request.
type reservation struct {
	budget                  *memory.Budget
	request, body, exchange int64
}

// reserve reserves the memory of a request whose head was read, without its body, and
// reports whether the request may be run.
func (r *reservation) reserve(head int64) bool {
	if !r.budget.Bounded() {
		return true
	}
	if !r.budget.Reserve(memory.Requests, requestMemory+head) {
		return false
	}
	r.request = requestMemory + head
	if !r.budget.Reserve(memory.Exchanges, memory.ExchangeBytes) {
		return false
	}
	r.exchange = memory.ExchangeBytes
	return true
}

// growBody reserves memory for a body of size bytes, of which the previous part is
// copied into the new memory, and reports whether there is enough.
func (r *reservation) growBody(size int64) bool {
	if !r.budget.Reserve(memory.Bodies, size) {
		return false
	}
	r.budget.Release(memory.Bodies, r.body)
	r.body = size
	return true
}

// releaseExchange returns the memory of the exchange with a target.
func (r *reservation) releaseExchange() {
	r.budget.Release(memory.Exchanges, r.exchange)
	r.exchange = 0
}

// releaseBody returns the memory of the body.
func (r *reservation) releaseBody() {
	r.budget.Release(memory.Bodies, r.body)
	r.body = 0
}

// release returns all memory of the request. A body counts until then, because the request
// and the exchanges with targets refer to it.
func (r *reservation) release() {
	r.releaseExchange()
	r.releaseBody()
	r.budget.Release(memory.Requests, r.request)
	r.request = 0
}

const (
	// minMemoryRetryAfter is the minimum Retry-After of a request that is refused for lack
	// of memory. Callers that read at all free memory within this time.
	minMemoryRetryAfter = time.Second
	// memoryRetryAfterJitter bounds the random time added to it, so that refused callers
	// do not all return at the same moment.
	memoryRetryAfterJitter = time.Second
)

// memoryResponse returns the response to a request that is refused, and not run, for lack
// of memory.
func memoryResponse() *Response {
	resp := TextResponse(http.StatusServiceUnavailable, "memory-full\n")
	wait := minMemoryRetryAfter + rand.N(memoryRetryAfterJitter)
	resp.Header.Set("Retry-After", FormatSeconds(wait))
	return resp
}
