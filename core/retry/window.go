package retry

import (
	"sync"
	"time"
)

const (
	// bucketsPerSpan is the number of steps in which a window slides.
	bucketsPerSpan = 20
	// bucketCount has one step more than the span, so that no extra send is
	// forgotten before the span has passed.
	bucketCount = bucketsPerSpan + 1
)

// Window bounds the extra sends of one service by this daemon in each sliding
// span: a ratio of the requests that callers sent in the span, and a share of
// the slack that the whole fleet has. The shares of all daemons add up to at
// most one, so the bound of the fleet holds without messages between them. It
// is safe for concurrent use.
type Window struct {
	span time.Duration

	mu            sync.Mutex
	ratio         float64
	slack         float64
	allocation    Part
	start         time.Time
	requests      [bucketCount]int
	extraAttempts [bucketCount]int
	currentBucket int64
}

// NewWindow returns a window of the span; slack is the fleet's number of extra sends in it.
func NewWindow(span time.Duration, ratio, slack float64, now time.Time) *Window {
	return &Window{span: span, ratio: ratio, slack: slack, allocation: Part{Ratio: 1}, start: now}
}

// SetBounds changes the ratio and the fleet's slack.
func (w *Window) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// SetPart sets the part of the fleet's budget that this daemon may use.
func (w *Window) SetPart(p Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allocation = p
}

// Request counts one request of a caller.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	w.requests[w.currentBucket%bucketCount]++
}

// Requests returns the number of requests in the window.
func (w *Window) Requests(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.recentRequests()
}

// recentRequests returns the requests of at most the span.
func (w *Window) recentRequests() int {
	oldest := (w.currentBucket + 1) % bucketCount
	return sum(w.requests) - w.requests[oldest]
}

// Take uses one extra send and reports whether there was one left.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	if !w.available() {
		return false
	}
	w.extraAttempts[w.currentBucket%bucketCount]++
	return true
}

// Left reports whether an extra send is left, without using it.
func (w *Window) Left(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.available()
}

func (w *Window) available() bool {
	return float64(sum(w.extraAttempts)+1) <= w.allowed()
}

// allowed returns the extra sends that this daemon may use in the span.
func (w *Window) allowed() float64 {
	return w.allocation.Ratio*w.ratio*float64(w.recentRequests()) + w.allocation.Slack*w.slack
}

// WindowState is what a window holds, for the state dump.
type WindowState struct {
	// Requests are those of callers in the span, Extras the extra sends used.
	Requests int `json:"requests"`
	Extras   int `json:"extras"`
	// Allowed is the number of extra sends that this daemon may use in the span.
	Allowed float64 `json:"allowed"`
}

// State returns the figures of the window.
func (w *Window) State(now time.Time) WindowState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return WindowState{Requests: w.recentRequests(), Extras: sum(w.extraAttempts), Allowed: w.allowed()}
}

// slide empties the buckets that have left the window.
func (w *Window) slide(now time.Time) {
	at := int64(now.Sub(w.start) / (w.span / bucketsPerSpan))
	for steps := 0; w.currentBucket < at && steps < bucketCount; steps++ {
		w.currentBucket++
		w.requests[w.currentBucket%bucketCount] = 0
		w.extraAttempts[w.currentBucket%bucketCount] = 0
	}
	w.currentBucket = max(w.currentBucket, at)
}

func sum(buckets [bucketCount]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
