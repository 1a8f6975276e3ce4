package relay

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/stats"
)

// leavingValue is the value of the header Leaving in the responses of a target that
// leaves.
const leavingValue = "1"

// observeAnnouncements evaluates what the target says of itself in the head of a
// response: that it leaves, or, with status 503, that it wants no requests for some time.
// Neither says that the target is failing.
func (t *attempt) observeAnnouncements(resp *link.Response) {
	if name := t.exchange.relay.headers.Leaving; name != "" && strings.TrimSpace(resp.Header.Get(name)) == leavingValue {
		t.withdrawTarget("leaving")
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if d, ok := parseRetryAfter(resp.Header); ok {
		t.startBackoff(d)
	}
}

// withdrawTarget stops sending requests to this run of the target and closes the idle
// connections to it. Requests that it is running continue.
func (t *attempt) withdrawTarget(reason string) {
	x := t.exchange
	if !x.targetPool.Withdraw(t.grant.Target.Key) {
		return
	}
	x.relay.connPools.close(t.grant.Target)
	x.relay.metrics.Counter(stats.Label("relay_targets_withdrawn", "service", x.service)).Inc(1)
	_ = x.relay.logger.Log("msg", "target withdrawn", "service", x.service, "target", t.grant.Target.ID,
		"started", t.grant.Target.StartMillis, "source", "answer", "reason", reason, "id", x.id)
}

// startBackoff sends the target no requests for some time.
func (t *attempt) startBackoff(d time.Duration) {
	x := t.exchange
	until := x.targetPool.Backoff(t.grant.Target.Key, d)
	x.relay.metrics.Counter(stats.Label("relay_target_backoffs", "service", x.service)).Inc(1)
	_ = x.relay.logger.Log("msg", "target wants no requests", "service", x.service, "target", t.grant.Target.ID,
		"started", t.grant.Target.StartMillis, "source", "answer", "for", d, "until", until.UTC(), "id", x.id)
}

// parseRetryAfter returns the longest valid wait of the Retry-After fields, in seconds
// with an optional fraction; ok is false if there is none.
func parseRetryAfter(h http.Header) (wait time.Duration, ok bool) {
	const maxSeconds = math.MaxInt64 / float64(time.Second) / 2
	for _, text := range h.Values("Retry-After") {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
			continue
		}
		wait = max(wait, time.Duration(min(seconds, maxSeconds)*float64(time.Second)))
	}
	return wait, wait > 0
}
