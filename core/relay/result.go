package relay

import (
	"net/http"
	"time"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
)

// handleResult handles the result of an attempt. It returns the response to the
// caller, or nil if another attempt is running or was started, or if the request waits for
// the end of saturation.
func (x *exchange) handleResult(r *result) *caller.Response {
	if r.attempt.grant != nil && !x.inFlight[r.attempt] {
		x.tried = append(x.tried, r.attempt.grant.Target.Key)
	}
	delete(x.running, r.attempt)
	delete(x.inFlight, r.attempt)
	x.mayHaveRun = x.mayHaveRun || !r.notRun
	x.relay.recordResult(x, r)
	if r.response != nil && r.observation == judge.Served {
		x.discardBest()
		return x.relayResponse(r.response)
	}
	if x.isBetter(r) {
		x.discardBest()
		x.best = r
	}
	if x.allowRetry(r) {
		x.start(0)
		return nil
	}
	if len(x.running) > 0 || x.resume != nil {
		return nil
	}
	if length := x.pause(); length > 0 {
		x.lastResult = r
		x.resume = time.After(length)
		return nil
	}
	return x.finalResponse()
}

// endPause makes another attempt if the service is no longer saturated. If it still is, it
// returns the response to the caller, which says when to come back.
func (x *exchange) endPause() *caller.Response {
	if x.allowRetry(x.lastResult) {
		x.start(0)
		return nil
	}
	return x.finalResponse()
}

// discardBest discards the response that was kept in case no attempt succeeds.
func (x *exchange) discardBest() {
	if x.best != nil && x.best.response != nil {
		x.best.response.discard(judge.Nothing)
		x.best = nil
	}
}

// isBetter reports whether the result should replace the best one so far as the
// basis of the response. A response of a target is better than a failed attempt, and
// that is better than finding no target.
func (x *exchange) isBetter(r *result) bool {
	switch {
	case x.best == nil || r.response != nil:
		return true
	case x.best.response != nil:
		return false
	default:
		return r.attempt.grant != nil
	}
}

// finalResponse returns the response to the caller after the last attempt has failed:
// the best failure response of a target, or else an error response that states
// whether the request may have run.
func (x *exchange) finalResponse() *caller.Response {
	switch {
	case x.best.response != nil:
		return x.relayResponse(x.best.response)
	case !x.mayHaveRun && !x.mayStart():
		resp := x.relay.leavingResponse(x.targetPool.AvailableIn())
		x.relay.recordResponse(x, resp.Status, errLeaving.Error())
		return resp
	case !x.mayHaveRun:
		kind := x.best.kind
		if kind.Response().Status != http.StatusServiceUnavailable {
			kind = fault.NoTarget
		}
		return x.fail(kind, x.best.err.Error())
	case x.best.kind == fault.TargetTimeout:
		return x.fail(fault.TargetTimeout, x.best.err.Error())
	default:
		return x.fail(fault.TargetProtocol, x.best.err.Error())
	}
}

// expire returns the response to the caller at the deadline, or at the end of a shutdown
// if that is earlier. It first cancels the attempts and waits for their results: after a
// pause of the process, an attempt may have sent the request without the exchange having
// received its grant, and the response must not state that such a request did not run.
func (x *exchange) expire() *caller.Response {
	observation := judge.Broken
	if time.Now().Before(x.deadline) {
		observation = judge.Nothing
	}
	for t := range x.inFlight {
		t.grant.Complete(observation, 0)
	}
	for t := range x.running {
		t.cancel()
	}
	for len(x.running) > 0 {
		r := <-x.results
		delete(x.running, r.attempt)
		x.mayHaveRun = x.mayHaveRun || !r.notRun
		if r.response != nil {
			x.discardBest()
			return x.relayResponse(r.response)
		}
	}
	x.discardBest()
	if x.mayHaveRun {
		return x.fail(fault.TargetTimeout, "no answer until the deadline")
	}
	return x.fail(fault.QueueFull, "no target had a free slot before the deadline")
}

// relayResponse returns a target's response as the response to the caller, unchanged
// except for hop-by-hop headers.
func (x *exchange) relayResponse(r *targetResponse) *caller.Response {
	h := withoutHopByHop(r.header)
	x.relay.sizes.add(x.route.Name, int64(len(x.request.Body))+max(r.length, int64(len(r.body))))
	x.relay.recordResponse(x, r.status, "")
	resp := &caller.Response{Status: r.status, Header: h, Body: r.body, ContentLength: r.length}
	if r.rest != nil {
		resp.UnreadBody = r.rest
	}
	if r.rest != nil && x.route.Idempotent() {
		resp.Abort = r.rest.abort
	}
	resp.Release = r.release
	return resp
}

// fail returns an error response of the relay itself; reason goes only to the log.
func (x *exchange) fail(kind fault.Kind, reason string) *caller.Response {
	resp := errorResponse(kind, max(x.targetPool.AvailableIn(), x.advisedRetryAfter(kind)))
	x.relay.recordResponse(x, resp.Status, reason)
	return resp
}

// advisedRetryAfter returns the time after which the pool advised the caller of a refused
// request to retry, 0 if it did not.
func (x *exchange) advisedRetryAfter(kind fault.Kind) time.Duration {
	if x.best == nil || kind != fault.QueueFull {
		return 0
	}
	return fault.From(x.best.err).RetryAfter
}
