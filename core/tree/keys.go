package tree

import (
	"encoding/json"
	"fmt"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Levels at which keys may be set. Most keys may be set at the level that they
// apply to and at the more general ones. Values at a data centre apply to its
// targets only, so a data centre accepts only the keys of targets and the
// approval rule.
var (
	allLevels      = []Level{LevelDeployment, LevelRegion, LevelDataCentre, LevelWorkspace, LevelService, LevelRoute}
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

// presets are the defaults of the detection values. The fast preset detects faulty
// targets sooner; the careful preset ejects fewer healthy targets by mistake.
var presets = map[string]fleet.Detection{
	presetFast:    {Window: 4 * time.Second, MinRequests: 4, FailureRatio: 0.4, SlowFactor: 3, MinObservers: 2},
	presetCareful: {Window: 12 * time.Second, MinRequests: 10, FailureRatio: 0.6, SlowFactor: 5, MinObservers: 3},
}

// Bounds of durations. The lower bounds are small enough for short test runs.
// The upper bounds catch values in a wrong unit.
const (
	minPeriod         = 10 * time.Millisecond
	minTimeout        = time.Millisecond
	maxProbeInterval  = time.Hour
	maxEjectionPeriod = 24 * time.Hour
	// maxTimeout bounds timeouts, deadlines, hedging delays and the detection window.
	maxTimeout = 10 * time.Minute
)

// Bounds of counts.
const (
	maxSlots       = 1024
	maxConnections = 100_000
	maxCarriers    = 64
	maxMinRequests = 100_000
	maxSlowFactor  = 100
	maxQueueLength = 100_000
	maxAttempts    = 10
	maxBodyBytes   = 1 << 30
	defaultMaxBody = 1 << 20
)

var (
	keyOwners      = newKey("owners", deploymentOnly, "none", "names of the operators whose approval counts", ownersAllowed, parseOwners, []string(nil))
	keyApproval    = computedDefaultKey("approval", allLevels, "both at the deployment, one below", "who must approve a change at this path and below", `"one" or "both"`, parseOneOf(ApprovalByOne, ApprovalByBoth), defaultApproval)
	keyRegion      = newKey("region", serviceOnly, "none", "region of the service", nameAllowed, parseName, "")
	keyTargets     = newKey("targets", serviceOnly, "none", "targets of the service", targetsAllowed, parseTargets, []TargetEntry(nil))
	keySlots       = intKey("slots", targetLevels, 1, maxSlots, 2, "requests a target works on at once")
	keyConnections = intKey("connections", targetLevels, 1, maxConnections, 330, "connections a target accepts from the whole fleet")
	keyDrained     = newKey("drained", drainedLevels, "[]", "ids of drained targets (service), or true for a whole data centre", drainedAllowed, parseDrained, []fleet.TargetID{})
	keyFloor       = newKey("floor", serviceLevels, `"50%"`, "smallest number of targets in service", floorAllowed, parseFloor, fleet.Floor{Percent: 50})
	keyCarriers    = intKey("carriers", serviceLevels, 1, maxCarriers, 6, "daemons that carry the service")

	keyDetection             = newKey("detection", serviceLevels, presetFast, "preset of the detection values", `"fast" or "careful"`, parseOneOf(presetFast, presetCareful), presetFast)
	keyDetectionWindow       = presetKey("detection-window", durationRange(minPeriod, maxTimeout), "time over which evidence is weighed", func(d fleet.Detection) any { return d.Window })
	keyDetectionMinRequests  = presetKey("detection-min-requests", intRange(1, maxMinRequests), "fewest requests in a window that give a verdict", func(d fleet.Detection) any { return d.MinRequests })
	keyDetectionFailureRatio = presetKey("detection-failure-ratio", floatRange(0.01, 1), "share of failed requests at which a target is suspect", func(d fleet.Detection) any { return d.FailureRatio })
	keyDetectionSlowFactor   = presetKey("detection-slow-factor", floatRange(1.01, maxSlowFactor), "ratio to the median latency of the other targets above which a target is slow", func(d fleet.Detection) any { return d.SlowFactor })
	keyDetectionMinObservers = presetKey("detection-min-observers", intRange(1, maxCarriers), "distinct observers that must agree before an ejection", func(d fleet.Detection) any { return d.MinObservers })

	keyEjectionBase  = durationKey("ejection-base", serviceLevels, minPeriod, maxEjectionPeriod, 10*time.Second, "first ejection period")
	keyEjectionMax   = durationKey("ejection-max", serviceLevels, minPeriod, maxEjectionPeriod, 5*time.Minute, "longest ejection period")
	keyProbePath     = newKey("probe-path", serviceLevels, "/health", "path of the health probe", httpPathAllowed, parseHTTPPath, "/health")
	keyProbeInterval = durationKey("probe-interval", serviceLevels, minPeriod, maxProbeInterval, 5*time.Second, "time between health probes of a target")
	keyProbeTimeout  = durationKey("probe-timeout", serviceLevels, minTimeout, maxTimeout, time.Second, "time allowed for a health probe")
	keyRetryBudget   = rangeKey("retry-budget", serviceLevels, floatRange(0, 1), 0.1, "retries for each request, on average")
	keyQueueLength   = intKey("queue-length", serviceLevels, 0, maxQueueLength, 64, "requests that wait at one daemon")
	keyAddressTTL    = durationKey("address-ttl", serviceLevels, 100*time.Millisecond, time.Hour, 30*time.Second, "how long callers may keep an address response")
	keySlowStart     = durationKey("slow-start", serviceLevels, 0, time.Hour, 10*time.Second, "time from 10% to full weight")

	keyMethods     = newKey("methods", routeOnly, "none", "methods that the route matches", methodsAllowed, parseMethods, []string(nil))
	keyPathPrefix  = newKey("path-prefix", routeOnly, "none", "path prefix that the route matches", httpPathAllowed, parseHTTPPath, "")
	keyKind        = newKey("kind", routeOnly, "lookup", "kind of the requests", `"order", "lookup" or "batch"`, parseKind, fleet.Lookup)
	keyIdempotent  = computedDefaultKey("idempotent", routeOnly, "true unless kind is order", "whether repeats are harmless", "true or false", parseAs[bool], defaultIdempotent)
	keyDeadline    = durationKey("deadline", routeLevels, minTimeout, maxTimeout, 2*time.Second, "time for a request if the caller names none, and the most it may name")
	keyAttempts    = computedDefaultKey("attempts", routeLevels, "2 if idempotent, else 1", "targets tried for one request", intRange(1, maxAttempts).allowed, intRange(1, maxAttempts).parse, defaultAttempts)
	keyHedgeAfter  = durationKey("hedge-after", routeLevels, 0, maxTimeout, 0, "wait before a second copy; 0 turns hedging off")
	keyOrderKey    = newKey("order-key", routeLevels, "required", "whether orders need an Idempotency-Key", `"required" or "optional"`, parseOrderKey, fleet.KeyRequired)
	keyBodyFailure = nullableKey("body-failure", "failure inside a response with a success status", bodyFailureAllowed, parseBodyFailure, (*fleet.BodyFailure)(nil))
	keyRefusal     = nullableKey("refusal", "refusal of a request before its start", refusalAllowed, parseRefusal, (*fleet.Refusal)(nil))
	keyMaxBody     = rangeKey("max-body", routeLevels, int64Range(0, maxBodyBytes), int64(defaultMaxBody), "largest request body in bytes")
)

var registry = []*Key{
	keyOwners, keyApproval, keyRegion, keyTargets, keySlots, keyConnections, keyDrained, keyFloor, keyCarriers,
	keyDetection, keyDetectionWindow, keyDetectionMinRequests, keyDetectionFailureRatio, keyDetectionSlowFactor, keyDetectionMinObservers,
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

// parseFunc validates the JSON value of a key at a level and returns the typed value.
type parseFunc = func(raw json.RawMessage, level Level) (any, error)

// newKey returns a key with a fixed default, which defaultText describes.
func newKey(name string, levels []Level, defaultText, description, allowed string, parse parseFunc, defaultValue any) *Key {
	return computedDefaultKey(name, levels, defaultText, description, allowed, parse, func(inheritanceChain) any { return defaultValue })
}

// computedDefaultKey returns a key whose default depends on the level or on other
// values of the inheritance chain.
func computedDefaultKey(name string, levels []Level, defaultText, description, allowed string, parse parseFunc, defaultValue func(chain inheritanceChain) any) *Key {
	return &Key{Name: name, Levels: levels, Allowed: allowed, Default: defaultText, Description: description, parse: parse, defaultValue: defaultValue}
}

// rangeKey returns a key that accepts a range of values.
func rangeKey(name string, levels []Level, values valueRange, defaultValue any, description string) *Key {
	return newKey(name, levels, fmt.Sprint(defaultValue), description, values.allowed, values.parse, defaultValue)
}

func intKey(name string, levels []Level, low, high, defaultValue int, description string) *Key {
	return rangeKey(name, levels, intRange(low, high), defaultValue, description)
}

func durationKey(name string, levels []Level, low, high, defaultValue time.Duration, description string) *Key {
	return rangeKey(name, levels, durationRange(low, high), defaultValue, description)
}

// nullableKey returns a key that accepts null, which unsets an inherited value.
func nullableKey(name, description, allowed string, parse parseFunc, defaultValue any) *Key {
	k := newKey(name, routeLevels, "none", description, allowed, parse, defaultValue)
	k.nullable = true
	return k
}

// presetKey returns a key whose default is a field of the effective detection preset.
func presetKey(name string, values valueRange, description string, field func(fleet.Detection) any) *Key {
	defaultValue := func(chain inheritanceChain) any { return field(presets[effective[string](chain, keyDetection)]) }
	k := computedDefaultKey(name, serviceLevels, "from the preset", description, values.allowed, values.parse, defaultValue)
	k.fromPreset = true
	return k
}

func defaultApproval(chain inheritanceChain) any {
	if chain.level == LevelDeployment {
		return ApprovalByBoth
	}
	return ApprovalByOne
}

func defaultIdempotent(chain inheritanceChain) any {
	return effective[fleet.RequestKind](chain, keyKind) != fleet.Order
}

func defaultAttempts(chain inheritanceChain) any {
	if effective[bool](chain, keyIdempotent) {
		return 2
	}
	return 1
}
