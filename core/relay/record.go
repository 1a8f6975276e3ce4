package relay

import (
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/stats"
)

// note records the result of an attempt.
func (r *Relay) note(x *exchange, res *result) {
	if res.verdict == judge.Served {
		r.set.Counter("relay_attempts_served").Inc(1)
		return
	}
	r.set.Counter(stats.Label("relay_attempts_failed", "result", res.verdict.String())).Inc(1)
	fields := []any{
		"msg", "attempt failed", "id", x.id, "service", x.service, "number", x.started,
		"result", res.verdict, "not-run", res.notRun, "took", res.took, "err", res.err,
	}
	if g := res.attempt.grant; g != nil {
		fields = append(fields, "target", g.Target.ID, "fail-rate", g.FailRate, "load", g.Load, "reason", g.Reason)
	}
	_ = r.logger.Log(fields...)
}

// notableWait is the wait for a target from which it is recorded.
const notableWait = 20 * time.Millisecond

// noteWait records how long a request waited for its target.
func (r *Relay) noteWait(t *attempt) {
	x := t.exchange
	waited := t.sentAt.Sub(t.started)
	r.set.Histogram(stats.Label("relay_wait_ms", "service", x.service)).Update(waited.Milliseconds())
	if waited < notableWait {
		return
	}
	_ = r.logger.Log("msg", "waited for a target", "id", x.id, "service", x.service, "waited", waited,
		"target", t.grant.Target.ID, "fail-rate", t.grant.FailRate, "load", t.grant.Load)
}

// logAnswer records the final answer to a request.
func (r *Relay) logAnswer(x *exchange, status int, why string) {
	took := time.Since(x.request.Received)
	r.set.Histogram(stats.Label("relay_latency_ms", "service", x.service)).Update(took.Milliseconds())
	r.set.Counter(stats.Label("relay_answers", "status-class", string(rune('0'+status/100))+"xx")).Inc(1)
	fields := []any{
		"msg", "answered", "id", x.id, "route", x.route.Name, "config", x.version,
		"service", x.service, "attempts", x.started, "status", status, "took", took,
	}
	if n := len(x.tried); n > 0 {
		fields = append(fields, "target", x.tried[n-1].ID)
	}
	if why != "" {
		fields = append(fields, "why", why)
	}
	_ = r.logger.Log(fields...)
}
