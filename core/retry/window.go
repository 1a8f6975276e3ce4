package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketsPerSpan is the number of buckets that a span is divided into.
	bucketsPerSpan = 40
	// extraBuckets is the number of buckets that a window of one span touches, and one
	// more: an extra attempt arrives at its target up to a bucket's length after it is
	// counted here.
	extraBuckets = bucketsPerSpan + 2
	// requestBuckets is the number of buckets in two spans: no request that is older than
	// that counts.
	requestBuckets = 2 * bucketsPerSpan
	// comparedWindows is the number of windows of requests that the limit is the mean of:
	// the window of the extra attempts, the one half a span before it, and the one a span
	// before it.
	comparedWindows = 3
)

// WindowBudget limits the extra attempts, which are retries and hedged attempts, that
// this daemon makes for one service in any window of the length of the span. The fleet may
// make at most the ratio of the requests that callers sent in the window, in the one half a
// span before it or in the one a span before it, whichever has most, plus the slack. A
// daemon cannot know which of them has most in the fleet, so it uses the mean of its own
// requests in the three, and a part of the slack. Both can be added up over daemons and
// over the runs of a daemon, and the mean is never more than the largest. So the limit of
// the fleet holds without coordination between daemons, whichever of them the callers use.
// It is safe for concurrent use.
type WindowBudget struct {
	span time.Duration

	mu         sync.Mutex
	ratio      float64
	slack      float64
	allocation Allocation
	// start is when the window was created; bucket requestBuckets begins then.
	start         time.Time
	requests      [requestBuckets]int
	extraAttempts [extraBuckets]int
	// currentBucket is the number of the newest bucket; buckets are reused in turn.
	currentBucket int64
	denied        uint64
}

// NewWindowBudget returns a budget with a window of the span. It allows ratio extra
// attempts for each request; slack is the number that the fleet may make besides in one
// span, of which this daemon gets nothing until [WindowBudget.SetAllocation] is called.
func NewWindowBudget(span time.Duration, ratio, slack float64, now time.Time) *WindowBudget {
	return &WindowBudget{span: span, ratio: ratio, slack: slack, start: now, currentBucket: requestBuckets}
}

// SetBounds sets the ratio and the fleet's slack.
func (w *WindowBudget) SetBounds(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// SetAllocation sets the part of the fleet's slack that this daemon may use.
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
	w.requests[w.currentBucket%requestBuckets]++
}

// RecentRequests returns the number of requests in the window.
func (w *WindowBudget) RecentRequests(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.requestSums()[bucketsPerSpan]
}

// Take takes one extra attempt from the budget and reports whether one was available.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.take()
}

// take counts an extra attempt in the current bucket, or a denied one if none is available.
func (w *WindowBudget) take() bool {
	if w.available() < 1 {
		w.denied++
		return false
	}
	w.extraAttempts[w.currentBucket%extraBuckets]++
	return true
}

// Return gives back an extra attempt taken at a time, because it was not sent.
func (w *WindowBudget) Return(taken, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	w.remove(w.bucketAt(taken))
}

// Postpone counts an extra attempt that was taken at a time as one of now, because it had
// to wait before it was sent. It reports whether the budget still allows it; if not, it is
// given back and must not be sent.
func (w *WindowBudget) Postpone(taken, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	bucket := w.bucketAt(taken)
	if bucket == w.currentBucket {
		return true
	}
	w.remove(bucket)
	return w.take()
}

// remove removes an extra attempt from a bucket that is still counted.
func (w *WindowBudget) remove(bucket int64) {
	if bucket > w.currentBucket-extraBuckets && w.extraAttempts[bucket%extraBuckets] > 0 {
		w.extraAttempts[bucket%extraBuckets]--
	}
}

// Available reports whether an extra attempt is available, without taking it.
func (w *WindowBudget) Available(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return w.available() >= 1
}

// Left returns the share of the budget that is left: of the extra attempts made in the
// span and those that may be made now, the share of the latter.
func (w *WindowBudget) Left(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	available := max(w.available(), 0)
	if available < 1 {
		return 0
	}
	return available / (available + float64(w.extras()))
}

// extras returns the number of extra attempts in the span.
func (w *WindowBudget) extras() int {
	total := 0
	for _, n := range w.extraAttempts {
		total += n
	}
	return total
}

// available returns the number of extra attempts that may be made now. An extra attempt
// made now counts in each window that began within the last span. The requests known so
// far limit the extra attempts of each of these windows; later requests can only raise the
// limit. For the windows that begin in one bucket, the extra attempts of that bucket and of
// the one before it count, and only those requests that all of the windows have in common.
func (w *WindowBudget) available() float64 {
	perRequest := w.ratio / comparedWindows
	slack := w.allocation.SlackFraction * w.slack
	since := w.requestSums()
	extras := 0
	least := math.Inf(1)
	// age is that of the bucket before the one in which the windows begin.
	for age := range extraBuckets {
		extras += w.extraAttempts[(w.currentBucket-int64(age))%extraBuckets]
		inWindowAndBefore := since[age+bucketsPerSpan-1]
		halfSpanBefore := since[age+bucketsPerSpan/2-1] - since[max(age-bucketsPerSpan/2, 0)]
		least = min(least, perRequest*float64(inWindowAndBefore+halfSpanBefore)+slack-float64(extras))
	}
	return least
}

// requestSums returns the number of requests in the newest n buckets for each n.
func (w *WindowBudget) requestSums() (sums [requestBuckets + 1]int) {
	for n := range requestBuckets {
		sums[n+1] = sums[n] + w.requests[(w.currentBucket-int64(n))%requestBuckets]
	}
	return sums
}

// WindowBudgetState is the state of a WindowBudget for the state dump.
type WindowBudgetState struct {
	// Requests is the number of requests of callers in the span, Extras the number of
	// extra attempts made.
	Requests int `json:"requests"`
	Extras   int `json:"extras"`
	// Allowed is the number of extra attempts that this daemon may make in the span: those
	// made and those that it may still make now.
	Allowed float64 `json:"allowed"`
	// Slack is the part of the fleet's slack that is included in Allowed.
	Slack float64 `json:"slack"`
	// Denied is the number of extra attempts that the budget did not allow since the start.
	Denied uint64 `json:"denied"`
}

// State returns the current state of the budget.
func (w *WindowBudget) State(now time.Time) WindowBudgetState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	extras := w.extras()
	return WindowBudgetState{
		Requests: w.requestSums()[bucketsPerSpan],
		Extras:   extras,
		Allowed:  float64(extras) + max(w.available(), 0),
		Slack:    w.allocation.SlackFraction * w.slack,
		Denied:   w.denied,
	}
}

// bucketAt returns the number of the bucket of a time.
func (w *WindowBudget) bucketAt(t time.Time) int64 {
	return requestBuckets + int64(t.Sub(w.start)/(w.span/bucketsPerSpan))
}

// slide moves the window to now and clears the buckets that are reused.
func (w *WindowBudget) slide(now time.Time) {
	bucket := w.bucketAt(now)
	if bucket-w.currentBucket >= requestBuckets {
		w.requests, w.extraAttempts = [requestBuckets]int{}, [extraBuckets]int{}
		w.currentBucket = bucket
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		w.requests[w.currentBucket%requestBuckets] = 0
		w.extraAttempts[w.currentBucket%extraBuckets] = 0
	}
}
