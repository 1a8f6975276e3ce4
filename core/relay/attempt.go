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
	"wisteriarelay.example/core/sched"
)

// attempt is one request to one target.
type attempt struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	ask      sched.Ask
	results  chan<- *result
	grant    *sched.Grant
	started  time.Time
	sentAt   time.Time
	// headAt is when the head of the response came, in nanoseconds since sentAt;
	// 0 before.
	headAt atomic.Int64
}

// result is what an attempt yielded.
type result struct {
	attempt *attempt
	verdict judge.Result
	// unsent says that no byte of the request reached the target.
	unsent bool
	// notRun says that the target certainly did not and will not run the request.
	notRun bool
	kind   fault.Kind
	err    error
	// response is the response of the target; it is nil if none can be passed on.
	response *response
	took     time.Duration
}

// run acquires a target, sends the request and reports the result.
func (t *attempt) run() {
	grant, err := t.exchange.pool.Acquire(t.ctx, t.ask)
	if err != nil {
		t.exchange.deliver(&result{attempt: t, notRun: true, kind: fault.From(err).Kind, err: err})
		return
	}
	t.grant = grant
	t.sentAt = time.Now()
	t.exchange.granted <- t
	t.exchange.relay.noteWait(t)
	r := t.send()
	r.took = time.Since(t.sentAt)
	if r.response == nil || r.response.rest == nil {
		t.end(r.verdict)
	}
	t.exchange.deliver(r)
}

// end frees the attempt's target when nothing more is read from it.
func (t *attempt) end(verdict judge.Result) {
	t.cancel()
	t.grant.Settle(verdict, t.latency())
}

// latency returns the time until the head of the response, or until now if none
// came: the transfer of a large body says nothing about the speed of the target.
func (t *attempt) latency() time.Duration {
	if head := t.headAt.Load(); head > 0 {
		return time.Duration(head)
	}
	return time.Since(t.sentAt)
}

func (t *attempt) send() *result {
	x := t.exchange
	pool := x.relay.pools.get(t.grant.Target)
	resp, err := pool.Forward(t.ctx, t.message(), x.maxIdle())
	if err != nil {
		return t.failure(err)
	}
	t.headAt.Store(max(int64(time.Since(t.sentAt)), 1))
	return t.classify(resp)
}

func (t *attempt) message() *link.Message {
	x := t.exchange
	names := &x.relay.headers
	h := x.header.Clone()
	left := max(time.Until(x.deadline).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectInstance, t.grant.Target.ID)
	return &link.Message{
		Method: x.request.Method,
		Target: x.request.Target,
		Host:   x.request.Host,
		Header: h,
		Body:   x.request.Body,
		Owns: func(r *http.Response) bool {
			id := r.Header.Get(names.RequestID)
			return id == x.id || id == "" && r.StatusCode >= http.StatusBadRequest
		},
	}
}

// failure classifies an attempt without a response.
func (t *attempt) failure(err error) *result {
	r := &result{attempt: t, verdict: judge.Broken, kind: fault.TargetProtocol, err: err}
	var f *link.Failure
	if !errors.As(err, &f) {
		return r
	}
	switch {
	case f.Unsent():
		r.unsent = true
		r.notRun = true
		r.kind = fault.NoTarget
		r.verdict = judge.Unreached
		if f.Cancelled {
			r.verdict = judge.Nothing
		}
	case f.Cancelled:
		r.verdict = judge.Nothing
		r.kind = fault.CallerGone
	case f.TimedOut:
		r.kind = fault.TargetTimeout
	}
	return r
}

// refusalLimit bounds the body of a refusal in bytes; the connection of a target
// that sends more is closed.
const refusalLimit = 64 << 10

// classify checks a response and reads it.
func (t *attempt) classify(resp *link.Response) *result {
	names := &t.exchange.relay.headers
	if resp.StatusCode == http.StatusMisdirectedRequest {
		_ = resp.Body.Close()
		t.exchange.pool.Remove(t.grant.Target.Key)
		return t.refused(errors.Newf("another target answered at %s", t.grant.Target.Address), judge.Nothing)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(names.NotRun) != "" {
		// The body is read so that the connection can be kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, refusalLimit))
		_ = resp.Body.Close()
		return t.refused(errors.Newf("target refused with status %d", resp.StatusCode), judge.Shed)
	}
	whole, err := t.read(resp)
	if err != nil {
		return t.failure(err)
	}
	return t.judge(whole)
}

func (t *attempt) refused(err error, verdict judge.Result) *result {
	return &result{attempt: t, verdict: verdict, notRun: true, kind: fault.TargetShed, err: err}
}

// judge decides what a whole response says about its target.
func (t *attempt) judge(resp *response) *result {
	names := &t.exchange.relay.headers
	r := &result{attempt: t, response: resp, verdict: judge.Served}
	success := resp.status >= http.StatusOK && resp.status < http.StatusMultipleChoices
	switch {
	case success && resp.header.Get(names.Receipt) == "":
		return t.unusable(resp, "success without a receipt")
	case success && resp.header.Get("Content-Encoding") != "":
		return t.unusable(resp, "success with an encoded body")
	case promisesNotRun(resp.status):
		// A target that states one of these without the mark may have run the request.
		return t.unusable(resp, "refusal that does not say whether the request ran")
	case resp.status >= http.StatusInternalServerError:
		r.verdict = judge.Failed
		r.kind = fault.TargetFailed
		r.err = errors.Newf("target answered with status %d", resp.status)
	}
	return r
}

func (t *attempt) unusable(resp *response, why string) *result {
	verdict := judge.Broken
	if promisesNotRun(resp.status) {
		verdict = judge.Failed
	}
	resp.discard(verdict)
	return &result{attempt: t, verdict: verdict, kind: fault.TargetProtocol, err: errors.Newf("status %d: %s", resp.status, why)}
}

// promisesNotRun reports whether callers take the status for a promise that
// the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
