package relay

import (
	"net/http"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
)

// take handles the result of an attempt and returns the final answer if there is one.
func (x *exchange) take(r *result) *caller.Answer {
	if r.attempt.grant != nil && !x.sent[r.attempt] {
		x.tried = append(x.tried, r.attempt.grant.Target.Key)
	}
	delete(x.running, r.attempt)
	delete(x.sent, r.attempt)
	x.mayHaveRun = x.mayHaveRun || !r.notRun
	x.relay.note(x, r)
	if r.response != nil && r.verdict == judge.Served {
		x.drop()
		return x.pass(r.response)
	}
	if x.tellsMore(r) {
		x.drop()
		x.last = r
	}
	if x.mayRetry(r) {
		x.start()
		return nil
	}
	if len(x.running) > 0 {
		return nil
	}
	return x.conclude()
}

// drop frees the response that would have been passed on for want of a better one.
func (x *exchange) drop() {
	if x.last != nil && x.last.response != nil {
		x.last.response.discard(judge.Nothing)
		x.last = nil
	}
}

// tellsMore reports whether the result is a better answer than the last one: a
// response of a target comes before a failure, and that before the lack of a target.
func (x *exchange) tellsMore(r *result) bool {
	switch {
	case x.last == nil || r.response != nil:
		return true
	case x.last.response != nil:
		return false
	default:
		return r.attempt.grant != nil
	}
}

// conclude answers after the last attempt has failed.
func (x *exchange) conclude() *caller.Answer {
	switch {
	case x.last.response != nil:
		return x.pass(x.last.response)
	case !x.mayHaveRun:
		kind := x.last.kind
		if kind.Answer().Status != http.StatusServiceUnavailable {
			kind = fault.NoTarget
		}
		return x.fail(kind, x.last.err.Error())
	case x.last.kind == fault.TargetTimeout:
		return x.fail(fault.TargetTimeout, x.last.err.Error())
	default:
		return x.fail(fault.TargetProtocol, x.last.err.Error())
	}
}

// expire answers at the deadline. It ends the attempts and waits for their
// results first: after a pause of the process an attempt may have sent the request
// without this being known here, and the answer must not promise that it did not run.
func (x *exchange) expire() *caller.Answer {
	for t := range x.sent {
		t.grant.Settle(judge.Broken, 0)
	}
	for t := range x.running {
		t.cancel()
	}
	for len(x.running) > 0 {
		r := <-x.results
		delete(x.running, r.attempt)
		x.mayHaveRun = x.mayHaveRun || !r.notRun
		if r.response != nil {
			x.drop()
			return x.pass(r.response)
		}
	}
	x.drop()
	if x.mayHaveRun {
		return x.fail(fault.TargetTimeout, "no answer until the deadline")
	}
	return x.fail(fault.QueueFull, "no target had room until the deadline")
}

// pass returns a target's response unchanged.
func (x *exchange) pass(r *response) *caller.Answer {
	h := forwardable(r.header)
	x.relay.sizes.add(x.route.Name, int64(len(x.request.Body))+max(r.length, int64(len(r.body))))
	x.relay.logAnswer(x, r.status, "")
	a := &caller.Answer{Status: r.status, Header: h, Body: r.body, Length: r.length}
	if r.rest != nil {
		a.Rest = r.rest
	}
	a.Done = func() { r.memory.give(r.held) }
	return a
}

// fail returns an answer of the relay's own.
func (x *exchange) fail(kind fault.Kind, why string) *caller.Answer {
	a := ownAnswer(kind)
	x.relay.logAnswer(x, a.Status, why)
	return a
}
