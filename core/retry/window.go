package retry

import (
	"sync"
	"time"
)

const (
	// bucketsPerSpan is the number of buckets that a span is divided into.
	bucketsPerSpan = 20
	// bucketCount is one more than bucketsPerSpan, so that an extra attempt is counted
	// until a full span has passed since it.
	bucketCount = bucketsPerSpan + 1
)

// WindowBudget limits the extra attempts, which are retries and hedged attempts, that
// this daemon makes for one service in a sliding window. The window has the length of
// the span. The limit is a ratio of the requests that callers sent in the window, plus
// a part of the slack that the whole fleet shares. The parts of all daemons add up to
// at most one, so the limit of the fleet holds without coordination between them. It is
// safe for concurrent use.
type WindowBudget struct {
	span time.Duration

	mu         sync.Mutex
	ratio      float64
	slack      float64
	allocation Allocation
	// start is when the window was created; bucket 0 begins then.
	start         time.Time
	requests      [bucketCount]int
	extraAttempts [bucketCount]int
	// currentBucket counts the buckets since start; buckets are reused in turn.
	currentBucket int64
}

// NewWindowBudget returns a budget with a window of the span. It allows ratio extra
// attempts for each request; slack is the number that the fleet may make besides in one
// span, of which this daemon gets nothing until [WindowBudget.SetAllocation] is called.
func NewWindowBudget(span time.Duration, ratio, slack float64, now time.Time) *WindowBudget {
	return &WindowBudget{span: span, ratio: ratio, slack: slack, allocation: Allocation{RatioFraction: 1}, start: now}
}

// SetBounds sets the ratio and the fleet's slack.
func (w *WindowBudget) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// SetAllocation sets the part of the fleet's retry budget that this daemon may use.
func (w *WindowBudget) SetAllocation(a Allocation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allocation = a
}

// CountRequest counts one request of a caller.
func (w *WindowBudget) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	w.requests[w.currentBucket%bucketCount]++
}

// RecentRequests returns the number of requests in the window.
func (w *WindowBudget) RecentRequests(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.recentRequests()
}

// recentRequests returns the number of requests without the oldest bucket, so that no
// request older than the span counts.
func (w *WindowBudget) recentRequests() int {
	oldest := (w.currentBucket + 1) % bucketCount
	return sum(w.requests) - w.requests[oldest]
}

// Take takes one extra attempt from the budget and reports whether one was available.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	if !w.available() {
		return false
	}
	w.extraAttempts[w.currentBucket%bucketCount]++
	return true
}

// Available reports whether an extra attempt is available, without taking it.
func (w *WindowBudget) Available(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.available()
}

func (w *WindowBudget) available() bool {
	return float64(sum(w.extraAttempts)+1) <= w.allowed()
}

// allowed returns the number of extra attempts that this daemon may make in the span.
func (w *WindowBudget) allowed() float64 {
	return w.allocation.RatioFraction*w.ratio*float64(w.recentRequests()) + w.allocation.SlackFraction*w.slack
}

// WindowBudgetState is the state of a WindowBudget for the state dump.
type WindowBudgetState struct {
	// Requests is the number of requests of callers in the span, Extras the number of
	// extra attempts made.
	Requests int `json:"requests"`
	Extras   int `json:"extras"`
	// Allowed is the number of extra attempts that this daemon may make in the span.
	Allowed float64 `json:"allowed"`
}

// State returns the current state of the budget.
func (w *WindowBudget) State(now time.Time) WindowBudgetState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return WindowBudgetState{Requests: w.recentRequests(), Extras: sum(w.extraAttempts), Allowed: w.allowed()}
}

// slide moves the window to now and clears the buckets that are reused.
func (w *WindowBudget) slide(now time.Time) {
	bucket := int64(now.Sub(w.start) / (w.span / bucketsPerSpan))
	for steps := 0; w.currentBucket < bucket && steps < bucketCount; steps++ {
		w.currentBucket++
		w.requests[w.currentBucket%bucketCount] = 0
		w.extraAttempts[w.currentBucket%bucketCount] = 0
	}
	w.currentBucket = max(w.currentBucket, bucket)
}

func sum(buckets [bucketCount]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
