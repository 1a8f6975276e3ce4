package proxy

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/retry"
)

// attemptResult is the response to one attempt, or the error if err is set.
type attemptResult struct {
	target fleet.TargetID
	ending retry.Ending
	// targetResult is what the attempt says about the health of the target.
	targetResult detect.Result
	// latency is the time to the response head, or to the failure.
	latency time.Duration
	// outcome is the outcome of the attempt, and that of the request once no further
	// attempt follows.
	outcome fault.Outcome
	err     *fault.Error
	status  int
	header  http.Header
	// body holds the whole body, or its start if rest is set.
	body []byte
	// rest is the part of the body that has not been read yet; it is nil if there is none.
	rest io.ReadCloser
	// releaseSlot frees the slot of the target. It is called when the body has ended;
	// further calls have no effect.
	releaseSlot func(limit.Result)
	// onStreamEnd is called with the error, if any, with which the streaming of
	// the body ended; it may be nil.
	onStreamEnd func(error)
	cancel      context.CancelFunc
}

// buffered reports whether the whole response is in memory and known to be complete.
func (res *attemptResult) buffered() bool {
	return res.err == nil && res.rest == nil
}

// discard releases the resources of a result that is not passed to the caller.
func (res *attemptResult) discard() {
	if res.rest != nil {
		_ = res.rest.Close()
	}
	res.releaseSlot(limit.Failed)
	res.cancel()
}

// attempt is one try of a caller's request at one target.
type attempt struct {
	upstream *Upstream
	in       *inboundRequest
	grant    *limit.Grant
	pool     *link.Pool
	target   fleet.Target
	started  time.Time
	timeout  time.Duration
}

// run sends the request and reads the part of the response that must be checked
// before any of it is passed to the caller.
func (a *attempt) run(ctx context.Context) *attemptResult {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	res := &attemptResult{target: a.target.ID, releaseSlot: a.grant.Release, cancel: cancel}
	a.started = time.Now()
	resp, err := a.pool.Do(ctx, a.targetRequest(ctx), !a.in.route.Idempotent)
	latency := time.Since(a.started)
	if err != nil {
		a.classifyError(res, err)
	} else {
		a.readResponse(res, resp)
	}
	a.record(res, latency)
	return res
}

// targetRequest returns the request to the target.
func (a *attempt) targetRequest(ctx context.Context) *http.Request {
	in := a.in
	body, length := in.targetBody()
	u := &url.URL{Scheme: "http", Host: a.target.Address, Path: in.request.URL.Path, RawPath: in.request.URL.RawPath, RawQuery: in.request.URL.RawQuery}
	deadline, _ := ctx.Deadline()
	req := &http.Request{
		Method:        in.request.Method,
		URL:           u,
		Host:          in.request.Host,
		Header:        in.targetHeader(deadline),
		Body:          body,
		ContentLength: length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if in.buffered && length > 0 {
		// Package link treats a request with GetBody as one whose body is in memory.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(in.body)), nil }
	}
	return req
}

// classifyError sets the ending and the error of an attempt without a complete response.
func (a *attempt) classifyError(res *attemptResult, err error) {
	res.ending = endingOf(err)
	info := res.ending.Info()
	res.err = fault.Wrap(err, info.Kind, "target %s: %s", a.target.ID, info.Name).WithOutcome(info.Outcome)
	if errors.Is(err, errBodyTooLarge) {
		res.err = fault.New(fault.RequestTooLarge, "body is larger than %d bytes", a.in.route.MaxBody).WithOutcome(fault.Unknown)
	}
}

// endingOf returns the ending of an attempt that failed with err.
func endingOf(err error) retry.Ending {
	var f *link.Error
	if !errors.As(err, &f) {
		return retry.NoResponse
	}
	switch {
	case f.Cancelled:
		return retry.CallerGone
	case f.Stage == link.StageDial && f.Refused:
		return retry.DialRefused
	case f.Stage == link.StageDial && f.TimedOut:
		return retry.DialTimeout
	case f.Unsent():
		return retry.NotDialled
	case f.TimedOut:
		return retry.TimedOut
	case f.Stage == link.StageWrite:
		return retry.WriteFailed
	case f.Stage == link.StageBody:
		return retry.Truncated
	default:
		return retry.NoResponse
	}
}

// readResponse buffers the start of the body, or the whole of a small one, and
// classifies the response by the rules of the route.
func (a *attempt) readResponse(res *attemptResult, resp *http.Response) {
	res.status = resp.StatusCode
	res.header = resp.Header
	a.upstream.onLeaving(a.target.ID, resp.Header.Get(HeaderLeaving) == "true")
	res.rest = resp.Body
	if err := a.bufferBody(res, resp); err != nil {
		_ = resp.Body.Close()
		res.rest = nil
		a.classifyError(res, err)
		return
	}
	a.classifyResponse(res, resp)
}

// bufferBody reads the start of the body into memory, as far as the body-failure
// rule of the route needs it. A body of known length up to maxBufferedBody, and
// every body up to that size in response to an order, is read whole, so that a
// truncated response is detected while another target can still be tried or the
// outcome can still be reported to the caller. The empty body of a response to
// HEAD is read to its end as well, since its Content-Length may be large.
func (a *attempt) bufferBody(res *attemptResult, resp *http.Response) error {
	readLimit := int64(0)
	if rule := a.in.route.BodyFailure; rule != nil {
		readLimit = min(int64(rule.Within), maxBufferedBody)
	}
	small := resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody
	if small || !a.in.route.Idempotent || a.in.request.Method == http.MethodHead {
		readLimit = maxBufferedBody + 1
	}
	if readLimit == 0 {
		return nil
	}
	var buffer bytes.Buffer
	if small {
		buffer.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(resp.Body, readLimit))
	if err != nil {
		return err
	}
	res.body = buffer.Bytes()
	if n < readLimit {
		res.rest = nil
	}
	return nil
}

// classifyResponse sets the ending and the outcome of an attempt with a response.
func (a *attempt) classifyResponse(res *attemptResult, resp *http.Response) {
	route := a.in.route
	switch {
	case route.Refusal != nil && matchesRefusal(route.Refusal, resp):
		res.ending = retry.RefusedBeforeStart
	case resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests:
		res.ending = retry.FailedStatus
	case route.BodyFailure != nil && matchesBodyFailure(route.BodyFailure, resp, res.body):
		res.ending = retry.BodyFailure
	default:
		res.ending = retry.OK
	}
	res.outcome = res.ending.Info().Outcome
}

// matchesRefusal reports whether the target refused the request before it
// started to process it.
func matchesRefusal(rule *fleet.Refusal, resp *http.Response) bool {
	if resp.StatusCode != rule.Status {
		return false
	}
	return rule.Header == "" || resp.Header.Get(rule.Header) != ""
}

// matchesBodyFailure reports whether a response with a success status reports a
// failure in its body. A server that sends the status 200 before the work is
// done can report a failure only there, and a proxy that checks the status line
// alone misses it. An example is s3proxy-python PR #138, "retry
// CompleteMultipartUpload on transient backend errors"; docs/policy.md has
// measurements in the cases body-failure-rule and body-failure-no-rule.
func matchesBodyFailure(rule *fleet.BodyFailure, resp *http.Response, body []byte) bool {
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	if rule.ContentType != "" {
		mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
		if err != nil || !strings.EqualFold(mediaType, rule.ContentType) {
			return false
		}
	}
	return bytes.Contains(body[:min(len(body), rule.Within)], []byte(rule.Contains))
}

// record counts the result in the statistics of the target. If no body is left
// to be streamed, it also releases the slot and the context.
func (a *attempt) record(res *attemptResult, latency time.Duration) {
	targetResult := a.targetResult(res, latency)
	res.targetResult = targetResult
	res.latency = latency
	a.upstream.recorder.Record(a.target.ID, targetResult, latency)
	if res.rest != nil {
		return
	}
	res.releaseSlot(grantResult(res, targetResult))
	res.cancel()
}

// targetResult returns what the attempt says about the health of the target.
func (a *attempt) targetResult(res *attemptResult, latency time.Duration) detect.Result {
	switch res.ending {
	case retry.OK:
		return detect.OK
	case retry.RefusedBeforeStart:
		return detect.Shed
	case retry.BodyFailure:
		return detect.BodyFailure
	case retry.Truncated:
		return detect.Short
	case retry.NotDialled, retry.DialRefused, retry.DialTimeout:
		return detect.Unreachable
	case retry.TimedOut:
		return a.timeoutResult(latency)
	case retry.CallerGone:
		return detect.Cancelled
	case retry.FailedStatus:
		return statusResult(res)
	default:
		return detect.Failed
	}
}

// timeoutFailureFactor is the multiple of the expected service time from which
// on a timeout counts as a failure of the target. If the deadline of the caller
// leaves less time than the work usually takes, a timeout says nothing about
// the target.
const timeoutFailureFactor = 3

// timeoutResult returns TimedOut, or Cancelled if the attempt had too little time
// to count as a failure of the target.
func (a *attempt) timeoutResult(latency time.Duration) detect.Result {
	expected := a.upstream.limiter.ExpectedServiceTime(a.in.route.Kind)
	if expected > 0 && latency < timeoutFailureFactor*expected {
		return detect.Cancelled
	}
	return detect.TimedOut
}

// statusResult returns Shed for the status 429, and for 503 with Retry-After:
// the target sheds load, which does not mean that it is unhealthy. Any other
// failure status is Failed.
func statusResult(res *attemptResult) detect.Result {
	retryAfter := res.header.Get("Retry-After") != ""
	if res.status == http.StatusTooManyRequests || res.status == http.StatusServiceUnavailable && retryAfter {
		return detect.Shed
	}
	return detect.Failed
}

// grantResult returns the result with which the slot of the target is released.
func grantResult(res *attemptResult, r detect.Result) limit.Result {
	switch {
	case r == detect.Shed:
		return limit.Shed
	case r == detect.OK:
		return limit.Served
	case r == detect.Cancelled:
		return limit.Unused
	default:
		return limit.Failed
	}
}
