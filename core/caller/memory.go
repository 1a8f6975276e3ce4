package caller

import (
	"math/rand/v2"
	"net/http"
	"strconv"
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

const (
	// headFieldMemory is the memory of a field of a head in addition to its text.
	headFieldMemory = 128
	// headCopies is the number of copies of a head: as received, without hop-by-hop
	// fields, and as forwarded.
	headCopies = 3
)

// headMemory returns the memory of the copies of a request's head.
func headMemory(req *http.Request) int64 {
	size := int64(len(req.RequestURI) + len(req.Host))
	for name, values := range req.Header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + headFieldMemory
		}
	}
	return headCopies * size
}

// headHolding is the memory that is reserved for a head that is being read: its text, and
// its fields, which take a multiple of their text if they are short.
type headHolding struct {
	budget *memory.Budget
	bytes  int64
}

func (h *headHolding) reserve(n int64) bool {
	if !h.budget.Reserve(memory.Heads, n) {
		return false
	}
	h.bytes += n
	return true
}

// reserveLines reserves memory for the fields in so many lines.
func (h *headHolding) reserveLines(lines int) bool {
	return h.reserve(int64(lines) * headFieldMemory)
}

func (h *headHolding) release() {
	h.budget.Release(memory.Heads, h.bytes)
	h.bytes = 0
}

// holding is the memory that is reserved for one request.
type holding struct {
	budget                  *memory.Budget
	request, body, exchange int64
}

// reserve reserves the memory of a request whose head was read, without its body, and
// reports whether the request may be run.
func (h *holding) reserve(head int64) bool {
	if !h.budget.Bounded() {
		return true
	}
	if !h.budget.Reserve(memory.Requests, requestMemory+head) {
		return false
	}
	h.request = requestMemory + head
	if !h.budget.Reserve(memory.Exchanges, memory.ExchangeBytes) {
		return false
	}
	h.exchange = memory.ExchangeBytes
	return true
}

// growBody reserves memory for a body of size bytes, of which the previous part is
// copied into the new memory, and reports whether there is enough.
func (h *holding) growBody(size int64) bool {
	if !h.budget.Reserve(memory.Bodies, size) {
		return false
	}
	h.budget.Release(memory.Bodies, h.body)
	h.body = size
	return true
}

// releaseExchange returns the memory of the exchange with a target.
func (h *holding) releaseExchange() {
	h.budget.Release(memory.Exchanges, h.exchange)
	h.exchange = 0
}

// releaseBody returns the memory of the body.
func (h *holding) releaseBody() {
	h.budget.Release(memory.Bodies, h.body)
	h.body = 0
}

// release returns all memory of the request. A body counts until then, because the request
// and the exchanges with targets refer to it.
func (h *holding) release() {
	h.releaseExchange()
	h.releaseBody()
	h.budget.Release(memory.Requests, h.request)
	h.request = 0
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
	resp.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	return resp
}
