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

// answer is what one attempt yielded: a response, or an error.
type answer struct {
	target  fleet.TargetID
	ending  retry.Ending
	result  detect.Result
	latency time.Duration
	outcome fault.Outcome
	err     *fault.Error
	status  int
	header  http.Header
	// body holds the whole body, or its start if rest is set.
	body []byte
	rest io.ReadCloser
	// settle frees the slot of the target; it is called once the body has ended.
	settle func(limit.Result)
	// ended is told how the streaming of the body ended; it may be nil.
	ended  func(error)
	cancel context.CancelFunc
}

// whole reports whether the response is in memory and known to be complete.
func (a *answer) whole() bool {
	return a.err == nil && a.rest == nil
}

// discard ends an answer that is not passed on.
func (a *answer) discard() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
	a.settle(limit.Failed)
	a.cancel()
}

// attempt is one request to one target.
type attempt struct {
	carrier *Carrier
	in      *inbound
	grant   *limit.Grant
	pool    *link.Pool
	target  fleet.Target
	started time.Time
	limit   time.Duration
}

// run sends the request and reads as much of the response as has to be checked
// before the caller may see it.
func (t *attempt) run(ctx context.Context) *answer {
	ctx, cancel := context.WithTimeout(ctx, t.limit)
	a := &answer{target: t.target.ID, settle: t.grant.Release, cancel: cancel}
	t.started = time.Now()
	resp, err := t.pool.Do(ctx, t.request(ctx), !t.in.route.Idempotent)
	latency := time.Since(t.started)
	if err != nil {
		t.fail(a, err)
	} else {
		t.read(a, resp)
	}
	t.record(a, latency)
	return a
}

func (t *attempt) request(ctx context.Context) *http.Request {
	in := t.in
	body, length := in.targetBody()
	u := &url.URL{Scheme: "http", Host: t.target.Address, Path: in.request.URL.Path, RawPath: in.request.URL.RawPath, RawQuery: in.request.URL.RawQuery}
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
		// link takes GetBody as the sign that the body is in memory.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(in.body)), nil }
	}
	return req
}

// fail classifies an attempt without a response.
func (t *attempt) fail(a *answer, err error) {
	a.ending = endingOf(err)
	row := a.ending.Row()
	a.err = fault.Wrap(err, row.Kind, "target %s: %s", t.target.ID, row.Name).WithOutcome(row.Outcome)
	if errors.Is(err, errBodyTooLarge) {
		a.err = fault.New(fault.RequestTooLarge, "body is larger than %d bytes", t.in.route.MaxBody).WithOutcome(fault.Unknown)
	}
}

func endingOf(err error) retry.Ending {
	var f *link.Failure
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

// read checks the response head against the route's rules and reads a small
// body whole.
func (t *attempt) read(a *answer, resp *http.Response) {
	a.status = resp.StatusCode
	a.header = resp.Header
	t.carrier.onLeaving(t.target.ID, resp.Header.Get(HeaderLeaving) == "true")
	a.rest = resp.Body
	if err := t.readAhead(a, resp); err != nil {
		_ = resp.Body.Close()
		a.rest = nil
		t.fail(a, err)
		return
	}
	t.classify(a, resp)
}

// readAhead fills the start of the body. A small body of known length, and
// every small response to an order, is read whole, so that a truncated one is
// noticed while another target can still be tried or the outcome be told.
func (t *attempt) readAhead(a *answer, resp *http.Response) error {
	want := int64(0)
	if rule := t.in.route.BodyFailure; rule != nil {
		want = min(int64(rule.Within), bufferLimit)
	}
	small := resp.ContentLength >= 0 && resp.ContentLength <= bufferLimit
	if small || !t.in.route.Idempotent || t.in.request.Method == http.MethodHead {
		want = bufferLimit + 1
	}
	if want == 0 {
		return nil
	}
	var buffer bytes.Buffer
	if small {
		buffer.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(resp.Body, want))
	if err != nil {
		return err
	}
	a.body = buffer.Bytes()
	if n < want {
		a.rest = nil
	}
	return nil
}

func (t *attempt) classify(a *answer, resp *http.Response) {
	route := t.in.route
	switch {
	case route.Refusal != nil && matchesRefusal(route.Refusal, resp):
		a.ending = retry.RefusedBeforeStart
	case resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests:
		a.ending = retry.FailedStatus
	case route.BodyFailure != nil && matchesBodyFailure(route.BodyFailure, resp, a.body):
		a.ending = retry.BodyFailure
	default:
		a.ending = retry.OK
	}
	a.outcome = a.ending.Row().Outcome
}

func matchesRefusal(rule *fleet.Refusal, resp *http.Response) bool {
	if resp.StatusCode != rule.Status {
		return false
	}
	return rule.Header == "" || resp.Header.Get(rule.Header) != ""
}

// matchesBodyFailure recognises a failure inside a success status. Servers
// that commit to a 200 before the work is done report the failure in the body,
// which layers that decide from the status line miss (s3proxy-python PR #138,
// "retry CompleteMultipartUpload on transient backend errors"; measured in
// docs/policy.md, cases body-failure-rule and body-failure-no-rule).
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

// record tells the evidence and the gate how the attempt ended.
func (t *attempt) record(a *answer, latency time.Duration) {
	result := t.result(a, latency)
	a.result = result
	a.latency = latency
	t.carrier.recorder.Record(t.target.ID, result, latency)
	if a.rest != nil {
		return
	}
	a.settle(gateResult(a, result))
	a.cancel()
}

func (t *attempt) result(a *answer, latency time.Duration) detect.Result {
	switch a.ending {
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
		return t.timeoutResult(latency)
	case retry.CallerGone:
		return detect.Cancelled
	case retry.FailedStatus:
		return statusResult(a)
	default:
		return detect.Failed
	}
}

// patience is the multiple of the usual service time after which a timeout
// speaks against the target. A caller that allows less time than the work
// usually takes says nothing about the target.
const patience = 3

func (t *attempt) timeoutResult(latency time.Duration) detect.Result {
	expected := t.carrier.gate.Expected(t.in.route.Kind)
	if expected > 0 && latency < patience*expected {
		return detect.Cancelled
	}
	return detect.TimedOut
}

// statusResult takes 429, and 503 with advice when to come back, as load
// shedding, which is no sign of sickness.
func statusResult(a *answer) detect.Result {
	retryAfter := a.header.Get("Retry-After") != ""
	if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable && retryAfter {
		return detect.Shed
	}
	return detect.Failed
}

func gateResult(a *answer, r detect.Result) limit.Result {
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
