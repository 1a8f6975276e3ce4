package tree

import (
	"encoding/json"
	"fmt"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Levels at which keys may be set. A key may be set at its own level and at
// the more general ones. Values at a data centre apply to its targets only, so
// only keys of targets and the approval rule have a meaning there.
var (
	anyLevel       = []Level{LevelDeployment, LevelRegion, LevelDataCentre, LevelWorkspace, LevelService, LevelRoute}
	targetLevels   = []Level{LevelDeployment, LevelRegion, LevelDataCentre, LevelWorkspace, LevelService}
	serviceLevels  = []Level{LevelDeployment, LevelRegion, LevelWorkspace, LevelService}
	routeLevels    = []Level{LevelDeployment, LevelRegion, LevelWorkspace, LevelService, LevelRoute}
	deploymentOnly = []Level{LevelDeployment}
	serviceOnly    = []Level{LevelService}
	routeOnly      = []Level{LevelRoute}
	drainedLevels  = []Level{LevelDataCentre, LevelService}
)

// Names of the detection presets.
const (
	presetFast    = "fast"
	presetCareful = "careful"
)

// presets weigh detection time (fast) against false ejections (careful).
var presets = map[string]fleet.Detection{
	presetFast:    {Window: 4 * time.Second, MinRequests: 4, FailureRatio: 0.4, SlowFactor: 3, MinObservers: 2},
	presetCareful: {Window: 12 * time.Second, MinRequests: 10, FailureRatio: 0.6, SlowFactor: 5, MinObservers: 3},
}

// Bounds of durations. The lower ones admit short test runs, the upper ones
// catch a wrong unit.
const (
	shortest     = 10 * time.Millisecond
	millisecond  = time.Millisecond
	longestProbe = time.Hour
	longestEject = 24 * time.Hour
	longestCall  = 10 * time.Minute
)

// Bounds of counts.
const (
	maxSlots       = 1024
	maxConnections = 100_000
	maxCarriers    = 64
	maxRequests    = 100_000
	maxSlowFactor  = 100
	maxQueue       = 100_000
	maxAttempts    = 10
	maxBodyBytes   = 1 << 30
	defaultMaxBody = 1 << 20
)

var (
	keyOwners      = newKey("owners", deploymentOnly, "none", "names of the operators whose approval counts", ownersAllowed, parseOwners, []string(nil))
	keyApproval    = dynamicKey("approval", anyLevel, "both at the deployment, one below", "who must approve a change at this path and below", `"one" or "both"`, enumOf(RuleOne, RuleBoth), defaultApproval)
	keyRegion      = newKey("region", serviceOnly, "none", "region of the service", nameAllowed, parseName, "")
	keyTargets     = newKey("targets", serviceOnly, "none", "targets of the service", targetsAllowed, parseTargets, []TargetEntry(nil))
	keySlots       = intKey("slots", targetLevels, 1, maxSlots, 2, "requests a target works on at once")
	keyConnections = intKey("connections", targetLevels, 1, maxConnections, 330, "connections a target accepts from the whole fleet")
	keyDrained     = newKey("drained", drainedLevels, "[]", "ids of drained targets (service), or true for a whole data centre", drainedAllowed, parseDrained, []fleet.TargetID{})
	keyFloor       = newKey("floor", serviceLevels, `"50%"`, "smallest number of targets in service", floorAllowed, parseFloor, fleet.Floor{Percent: 50})
	keyCarriers    = intKey("carriers", serviceLevels, 1, maxCarriers, 6, "daemons that carry the service")

	keyDetection    = newKey("detection", serviceLevels, presetFast, "preset of the detection values", `"fast" or "careful"`, enumOf(presetFast, presetCareful), presetFast)
	keyWindow       = presetKey("detection-window", durationBounds(shortest, longestCall), "time over which evidence is weighed", func(d fleet.Detection) any { return d.Window })
	keyMinRequests  = presetKey("detection-min-requests", intBounds(1, maxRequests), "fewest requests in a window that give a verdict", func(d fleet.Detection) any { return d.MinRequests })
	keyFailureRatio = presetKey("detection-failure-ratio", floatBounds(0.01, 1), "share of failed requests at which a target is suspect", func(d fleet.Detection) any { return d.FailureRatio })
	keySlowFactor   = presetKey("detection-slow-factor", floatBounds(1.01, maxSlowFactor), "ratio to the median latency of the other targets above which a target is slow", func(d fleet.Detection) any { return d.SlowFactor })
	keyMinObservers = presetKey("detection-min-observers", intBounds(1, maxCarriers), "distinct observers that must agree before an ejection", func(d fleet.Detection) any { return d.MinObservers })

	keyEjectionBase  = durationKey("ejection-base", serviceLevels, shortest, longestEject, 10*time.Second, "first ejection period")
	keyEjectionMax   = durationKey("ejection-max", serviceLevels, shortest, longestEject, 5*time.Minute, "longest ejection period")
	keyProbePath     = newKey("probe-path", serviceLevels, "/health", "path of the health probe", pathTextAllowed, parsePathText, "/health")
	keyProbeInterval = durationKey("probe-interval", serviceLevels, shortest, longestProbe, 5*time.Second, "time between health probes of a target")
	keyProbeTimeout  = durationKey("probe-timeout", serviceLevels, millisecond, longestCall, time.Second, "time allowed for a health probe")
	keyRetryBudget   = boundedKey("retry-budget", serviceLevels, floatBounds(0, 1), 0.1, "retries for each request, on average")
	keyQueueLength   = intKey("queue-length", serviceLevels, 0, maxQueue, 64, "requests that wait at one daemon")
	keyAddressTTL    = durationKey("address-ttl", serviceLevels, 100*time.Millisecond, time.Hour, 30*time.Second, "how long callers may keep an address response")
	keySlowStart     = durationKey("slow-start", serviceLevels, 0, time.Hour, 10*time.Second, "time from 10% to full weight")

	keyMethods     = newKey("methods", routeOnly, "none", "methods that the route matches", methodsAllowed, parseMethods, []string(nil))
	keyPathPrefix  = newKey("path-prefix", routeOnly, "none", "path prefix that the route matches", pathTextAllowed, parsePathText, "")
	keyKind        = newKey("kind", routeOnly, "lookup", "kind of the requests", `"order", "lookup" or "batch"`, parseKind, fleet.Lookup)
	keyIdempotent  = dynamicKey("idempotent", routeOnly, "true unless kind is order", "whether repeats are harmless", "true or false", plain[bool], defaultIdempotent)
	keyDeadline    = durationKey("deadline", routeLevels, millisecond, longestCall, 2*time.Second, "time for a request if the caller names none, and the most it may name")
	keyAttempts    = dynamicKey("attempts", routeLevels, "2 if idempotent, else 1", "targets tried for one request", intBounds(1, maxAttempts).allowed, intBounds(1, maxAttempts).parse, defaultAttempts)
	keyHedgeAfter  = durationKey("hedge-after", routeLevels, 0, longestCall, 0, "wait before a second copy; 0 turns hedging off")
	keyOrderKey    = newKey("order-key", routeLevels, "required", "whether orders need an Idempotency-Key", `"required" or "optional"`, parseOrderKey, fleet.KeyRequired)
	keyBodyFailure = nullableKey("body-failure", "failure inside a response with a success status", bodyFailureAllowed, parseBodyFailure, (*fleet.BodyFailure)(nil))
	keyRefusal     = nullableKey("refusal", "refusal of a request before its start", refusalAllowed, parseRefusal, (*fleet.Refusal)(nil))
	keyMaxBody     = boundedKey("max-body", routeLevels, int64Bounds(0, maxBodyBytes), int64(defaultMaxBody), "largest request body in bytes")
)

var registry = []*Key{
	keyOwners, keyApproval, keyRegion, keyTargets, keySlots, keyConnections, keyDrained, keyFloor, keyCarriers,
	keyDetection, keyWindow, keyMinRequests, keyFailureRatio, keySlowFactor, keyMinObservers,
	keyEjectionBase, keyEjectionMax, keyProbePath, keyProbeInterval, keyProbeTimeout,
	keyRetryBudget, keyQueueLength, keyAddressTTL, keySlowStart,
	keyMethods, keyPathPrefix, keyKind, keyIdempotent, keyDeadline, keyAttempts, keyHedgeAfter,
	keyOrderKey, keyBodyFailure, keyRefusal, keyMaxBody,
}

var registryByName = indexKeys()

func indexKeys() map[string]*Key {
	m := make(map[string]*Key, len(registry))
	for _, k := range registry {
		m[k.Name] = k
	}
	return m
}

type parseFunc = func(raw json.RawMessage, at Level) (any, error)

func newKey(name string, levels []Level, std, description, allowed string, parse parseFunc, fallback any) *Key {
	return dynamicKey(name, levels, std, description, allowed, parse, func(view) any { return fallback })
}

func dynamicKey(name string, levels []Level, std, description, allowed string, parse parseFunc, fallback func(v view) any) *Key {
	return &Key{Name: name, Levels: levels, Allowed: allowed, Default: std, Description: description, parse: parse, fallback: fallback}
}

func boundedKey(name string, levels []Level, b bounds, fallback any, description string) *Key {
	return newKey(name, levels, fmt.Sprint(fallback), description, b.allowed, b.parse, fallback)
}

func intKey(name string, levels []Level, low, high, fallback int, description string) *Key {
	return boundedKey(name, levels, intBounds(low, high), fallback, description)
}

func durationKey(name string, levels []Level, low, high, fallback time.Duration, description string) *Key {
	return boundedKey(name, levels, durationBounds(low, high), fallback, description)
}

// nullableKey admits null, which removes a value inherited from above.
func nullableKey(name, description, allowed string, parse parseFunc, fallback any) *Key {
	k := newKey(name, routeLevels, "none", description, allowed, parse, fallback)
	k.nullable = true
	return k
}

func presetKey(name string, b bounds, description string, pick func(fleet.Detection) any) *Key {
	fallback := func(v view) any { return pick(presets[get[string](v, keyDetection)]) }
	k := dynamicKey(name, serviceLevels, "from the preset", description, b.allowed, b.parse, fallback)
	k.preset = true
	return k
}

func defaultApproval(v view) any {
	if v.level == LevelDeployment {
		return RuleBoth
	}
	return RuleOne
}

func defaultIdempotent(v view) any { return get[fleet.RequestKind](v, keyKind) != fleet.Order }

func defaultAttempts(v view) any {
	if get[bool](v, keyIdempotent) {
		return 2
	}
	return 1
}
