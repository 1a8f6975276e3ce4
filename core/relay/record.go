package relay

import (
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/stats"
)

// recordResult counts the result of an attempt and logs it if the attempt failed.
func (r *Relay) recordResult(x *exchange, res *result) {
	if res.observation == judge.Served {
		r.metrics.Counter("relay_attempts_served").Inc(1)
		return
	}
	r.metrics.Counter(stats.Label("relay_attempts_failed", "result", res.observation.String())).Inc(1)
	fields := []any{
		"msg", "attempt failed", "id", x.id, "service", x.service, "number", x.attemptsStarted,
		"result", res.observation, "not-run", res.notRun, "took", res.duration, "err", res.err,
	}
	if g := res.attempt.grant; g != nil {
		fields = append(fields, "target", g.Target.ID, "fail-rate", g.FailRate, "load", g.Load, "reason", g.Reason)
	}
	_ = r.logger.Log(fields...)
}

// count counts an event of the exchange's service.
func (x *exchange) count(name string) {
	x.relay.metrics.Counter(stats.Label(name, "service", x.service)).Inc(1)
}

// minLoggedWait is the shortest wait for a target that is logged.
const minLoggedWait = 20 * time.Millisecond

// recordWait records how long an attempt waited for its target, and logs long waits.
func (r *Relay) recordWait(t *attempt) {
	x := t.exchange
	waited := t.sentAt.Sub(t.startedAt)
	r.metrics.Histogram(stats.Label("relay_wait_ms", "service", x.service)).Update(waited.Milliseconds())
	if waited < minLoggedWait {
		return
	}
	_ = r.logger.Log("msg", "waited for a target", "id", x.id, "service", x.service, "waited", waited,
		"target", t.grant.Target.ID, "fail-rate", t.grant.FailRate, "load", t.grant.Load)
}

// checkTarget fails if the target of the attempt may get no requests any more: it was
// removed from the pool after it was acquired, which is counted and logged, or it asked for
// a pause.
func (t *attempt) checkTarget() error {
	if t.grant.BackingOff() {
		return errTargetBackingOff
	}
	since, removed := t.grant.SinceRemoval()
	if !removed {
		return nil
	}
	x := t.exchange
	x.relay.metrics.Counter(stats.Label("relay_targets_removed_before_send", "service", x.service)).Inc(1)
	_ = x.relay.logger.Log("msg", "target removed before the request was sent", "id", x.id, "service", x.service,
		"target", t.grant.Target.ID, "since-removal", since, "reason", t.grant.Reason)
	return errTargetRemoved
}

// recordResponse records and logs the response to a caller; a non-empty reason says
// why it is an error response of the relay.
func (r *Relay) recordResponse(x *exchange, status int, reason string) {
	took := time.Since(x.request.ReceivedAt)
	r.metrics.Histogram(stats.Label("relay_latency_ms", "service", x.service)).Update(took.Milliseconds())
	r.metrics.Counter(stats.Label("relay_answers", "status-class", string(rune('0'+status/100))+"xx")).Inc(1)
	fields := []any{
		"msg", "answered", "id", x.id, "route", x.route.Name, "config", x.configVersion,
		"service", x.service, "attempts", x.attemptsStarted, "status", status, "took", took,
	}
	if n := len(x.tried); n > 0 {
		fields = append(fields, "target", x.tried[n-1].ID)
	}
	if x.workspace != nil {
		fields = append(fields, "workspace", x.workspace.Name)
	}
	if x.withheld {
		fields = append(fields, "saturated", true)
	}
	if reason != "" {
		fields = append(fields, "why", reason)
	}
	_ = r.logger.Log(fields...)
}
