package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/sched"
)

// attempt is one try to send the request of an exchange to one target.
type attempt struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	// waitCtx is the part of ctx during which the attempt waits for a target.
	waitCtx       context.Context
	stopWaiting   context.CancelFunc
	acquireParams sched.Request
	results       chan<- *result
	grant         *sched.Grant
	startedAt     time.Time
	// extraAt is when the attempt was taken from the retry budget; zero if it was not.
	extraAt time.Time
	sentAt  time.Time
	// headDelay is the time from sentAt until the response header arrived, in
	// nanoseconds; 0 until then.
	headDelay atomic.Int64
	// reserved is the number of bytes reserved for the attempt.
	reserved atomic.Int64
}

// result is the result of an attempt.
type result struct {
	attempt *attempt
	// observation is what the attempt showed about the health of its target.
	observation judge.Result
	// unsent is set if no byte of the request reached the target.
	unsent bool
	// notRun is set if it is certain that the target did not and will not run the request.
	notRun bool
	kind   fault.Kind
	err    error
	// response is the response of the target; nil if there is none that can be relayed.
	response *targetResponse
	duration time.Duration
}

// run acquires a target, sends the request to it and delivers the result.
func (t *attempt) run() {
	leaveQueue := t.exchange.relay.enterQueue(t.acquireParams.Workspace)
	grant, err := t.exchange.targetPool.Acquire(t.waitCtx, t.acquireParams)
	leaveQueue(err)
	if err == nil && !t.mayUseBudget() {
		grant.Complete(judge.Nothing, 0)
		err = errBudgetSpent
	} else if err != nil {
		t.returnBudget()
	}
	if err != nil {
		t.cancel()
		t.releaseMemory()
		t.exchange.deliver(&result{attempt: t, notRun: true, kind: fault.From(err).Kind, err: err})
		return
	}
	t.grant = grant
	t.sentAt = time.Now()
	t.exchange.granted <- t
	t.exchange.relay.recordWait(t)
	r := t.send()
	r.duration = time.Since(t.sentAt)
	if r.unsent {
		t.returnBudget()
	}
	if r.response == nil || r.response.rest == nil {
		t.settle(r.observation)
	}
	t.exchange.deliver(r)
}

// errBudgetSpent is the error of an extra attempt that waited for a target or a connection
// until the retry budget was used up by others.
var errBudgetSpent = fault.New(fault.NoTarget, "retry budget is used up")

// mayUseBudget counts an extra attempt in the retry budget at the present time, and reports
// whether the budget allows it. If not, the attempt no longer counts.
func (t *attempt) mayUseBudget() bool {
	if t.extraAt.IsZero() {
		return true
	}
	now := time.Now()
	if !t.exchange.retryBudget.Postpone(t.extraAt, now) {
		t.extraAt = time.Time{}
		return false
	}
	t.extraAt = now
	return true
}

// confirmBudget counts an extra attempt once more when its connection is open: the daemon
// may have stood still since the target was acquired.
func (t *attempt) confirmBudget() error {
	if !t.mayUseBudget() {
		return errBudgetSpent
	}
	return nil
}

// returnBudget gives back an extra attempt that was not sent.
func (t *attempt) returnBudget() {
	if !t.extraAt.IsZero() {
		t.exchange.retryBudget.Return(t.extraAt, time.Now())
	}
}

// settle cancels the attempt's context and releases its target, reporting the
// observation. It is called when nothing more is read from the target.
func (t *attempt) settle(observation judge.Result) {
	t.cancel()
	t.releaseMemory()
	t.grant.Complete(observation, t.latency())
}

// releaseMemory returns the memory that was reserved for the attempt.
func (t *attempt) releaseMemory() {
	t.exchange.relay.memory.Release(memory.Exchanges, t.reserved.Swap(0))
}

// latency returns the time until the response header arrived, or until now if none
// has. The body is left out because the transfer time of a large body says nothing
// about the speed of the target.
func (t *attempt) latency() time.Duration {
	if delay := t.headDelay.Load(); delay > 0 {
		return time.Duration(delay)
	}
	return time.Since(t.sentAt)
}

// The errors of an attempt whose target changed after it was acquired.
var (
	errTargetRemoved    = errors.New("target was removed before the request was sent")
	errTargetBackingOff = errors.New("target asked for no requests before the request was sent")
)

// send forwards the request to the acquired target and classifies what comes back.
func (t *attempt) send() *result {
	x := t.exchange
	pool := x.relay.connPools.get(t.grant.Target)
	deadline, ok := x.relay.shutdown.allowedDeadline(x.deadline)
	if !ok {
		return &result{attempt: t, unsent: true, notRun: true, kind: fault.Leaving, observation: judge.Nothing, err: errLeaving}
	}
	if err := t.checkTarget(); err != nil {
		return &result{attempt: t, unsent: true, notRun: true, kind: fault.NoTarget, observation: judge.Nothing, err: err}
	}
	x.request.MarkSent()
	resp, err := pool.Forward(t.ctx, t.buildMessage(deadline), x.maxIdle())
	if err != nil {
		return t.classifyError(err)
	}
	t.headDelay.Store(max(int64(time.Since(t.sentAt)), 1))
	return t.classifyResponse(resp)
}

// buildMessage returns the request for the target: that of the caller with the time until
// the deadline and the expected target instance in its header. The id is sent also if the
// caller lists it in Connection: without it, the response is not taken for the answer.
func (t *attempt) buildMessage(deadline time.Time) *link.RawRequest {
	x := t.exchange
	names := &x.relay.headers
	h := x.header.Clone()
	left := max(time.Until(deadline).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectInstance, t.grant.Target.ID)
	if ids := x.request.Header.Values(names.RequestID); len(ids) > 0 {
		h[http.CanonicalHeaderKey(names.RequestID)] = ids
	}
	return &link.RawRequest{
		Method:     x.request.Method,
		RequestURI: x.request.RequestURI,
		Host:       x.request.Host,
		Header:     h,
		Body:       x.request.Body,
		Matches:    x.matches,
		BeforeSend: t.confirmBudget,
	}
}

// matches reports whether a response is the answer to this request. Targets return its
// id. Only a failure may lack it, on a connection that carried no other request: on a
// reused one it may be a copy of an earlier refusal.
func (x *exchange) matches(r *http.Response, reused bool) bool {
	id := r.Header.Get(x.relay.headers.RequestID)
	return id == x.id || id == "" && !reused && r.StatusCode >= http.StatusBadRequest
}

// classifyError returns the result of an attempt that got no usable response. It
// separates requests that were certainly not sent from those that a target may run.
func (t *attempt) classifyError(err error) *result {
	if errors.Is(err, errBudgetSpent) {
		return &result{attempt: t, observation: judge.Nothing, notRun: true, kind: fault.NoTarget, err: errBudgetSpent}
	}
	r := &result{attempt: t, observation: judge.Broken, kind: fault.TargetProtocol, err: err}
	var f *link.Error
	if !errors.As(err, &f) {
		return r
	}
	switch {
	case f.Unsent():
		r.unsent = true
		r.notRun = true
		r.kind = fault.NoTarget
		r.observation = judge.Unreached
		if f.Cancelled {
			r.observation = judge.Nothing
		}
	case f.Cancelled:
		r.observation = judge.Nothing
		r.kind = fault.CallerGone
	case f.TimedOut:
		r.kind = fault.TargetTimeout
	}
	return r
}

const (
	// discardLimit is the maximum number of bytes read from the body of a response that
	// is not relayed. If a target sends more, its connection is closed instead of reused.
	discardLimit = 64 << 10
	// discardTimeout is the maximum time for reading such a body, because the request may
	// still be served by another target. Most of these bodies are empty or arrive with
	// their heads.
	discardTimeout = 50 * time.Millisecond
)

// classifyResponse handles refusals by the target, reads the body of any other
// response and evaluates it.
func (t *attempt) classifyResponse(resp *link.Response) *result {
	names := &t.exchange.relay.headers
	t.observeAnnouncements(resp)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		_ = resp.Body.Close()
		t.withdrawTarget("address reused")
		return t.refusedResult(errors.Newf("address %s now belongs to another target", t.grant.Target.Address), judge.Nothing)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(names.NotRun) != "" {
		t.discardBody(resp)
		return t.refusedResult(errors.Newf("target refused the request with status %d", resp.StatusCode), judge.Shed)
	}
	if reason := t.unusableReason(resp); reason != "" {
		return t.unusableResult(resp, reason)
	}
	buffered, err := t.readResponse(resp)
	if err != nil {
		return t.classifyError(err)
	}
	return t.evaluate(buffered)
}

// discardBody reads the body of a response that is not relayed, because the connection
// can only be reused after that. It closes the connection of a long or slow body.
func (t *attempt) discardBody(resp *link.Response) {
	timer := time.AfterFunc(discardTimeout, t.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, discardLimit))
	_ = resp.Body.Close()
}

// refusedResult returns the result of a request that the target refused without
// running it.
func (t *attempt) refusedResult(err error, observation judge.Result) *result {
	return &result{attempt: t, observation: observation, notRun: true, kind: fault.TargetShed, err: err}
}

// evaluate returns the result of an attempt with a response that can be relayed.
func (t *attempt) evaluate(resp *targetResponse) *result {
	r := &result{attempt: t, response: resp, observation: judge.Served}
	if resp.status >= http.StatusInternalServerError {
		r.observation = judge.Failed
		r.kind = fault.TargetFailed
		r.err = errors.Newf("target responded with status %d", resp.status)
	}
	return r
}

// unusableReason returns why the response must not be relayed; it is empty if the response
// may be relayed. The head alone decides, because the body may have no end.
func (t *attempt) unusableReason(resp *link.Response) string {
	names := &t.exchange.relay.headers
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case success && resp.Header.Get(names.ResponseSeal) == "":
		return "successful response without the header that marks it as the target's own"
	case success && resp.Header.Get("Content-Encoding") != "":
		return "successful response with a Content-Encoding"
	case impliesNotRun(resp.StatusCode):
		// Without the NotRun header the target may have run the request even though
		// callers take this status as a promise that it did not.
		return "refusal does not state whether the request ran"
	default:
		return ""
	}
}

// unusableResult discards a response that must not be relayed and returns the
// result of its attempt.
func (t *attempt) unusableResult(resp *link.Response, reason string) *result {
	observation := judge.Broken
	if impliesNotRun(resp.StatusCode) {
		observation = judge.Failed
	}
	t.discardBody(resp)
	return &result{attempt: t, observation: observation, kind: fault.TargetProtocol, err: errors.Newf("status %d: %s", resp.StatusCode, reason)}
}

// impliesNotRun reports whether callers take the status as a promise that the
// request did not run and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
