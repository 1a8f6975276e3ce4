package tree

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"wisteriarelay.example/core/fleet"
)

// errNotAllowed stands for any refused value: the message that an operator
// sees comes from the key's Allowed text.
var errNotAllowed = errors.New("not allowed")

// TargetEntry is one entry of the targets key.
type TargetEntry struct {
	ID         fleet.TargetID   `json:"id"`
	Address    string           `json:"address"`
	DataCentre fleet.DataCentre `json:"data-centre"`
}

const (
	maxTargets    = 1024
	ownerCount    = 2
	maxOwnerName  = 128
	maxPathText   = 1024
	maxMethods    = 32
	maxWithin     = 1 << 20
	maxContains   = 4096
	statusLow     = 400
	statusHigh    = 599
	percentWhole  = 100
	percentSuffix = "%"

	ownersAllowed      = "a list of two distinct names"
	targetsAllowed     = `a list of at most 1024 {"id", "address", "data-centre"} with distinct ids and distinct ip:port addresses`
	drainedAllowed     = "at a service a list of distinct target ids, at a data centre true or false"
	floorAllowed       = `a count from 0 or a percentage from "0%" to "100%"`
	pathTextAllowed    = "a path of at most 1024 printable ASCII characters that starts with / and holds no space, ? or #"
	methodsAllowed     = "a list of 1 to 32 distinct upper-case HTTP methods"
	bodyFailureAllowed = `null or {"content-type", "contains", "within", "retryable"} with contains of 1 to 4096 bytes and within from its length to 1048576`
	refusalAllowed     = `null or {"status", "header"} with a status from 400 to 599`
)

// strict decodes one value and refuses unknown fields and trailing data.
func strict[T any](raw json.RawMessage) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, errors.New("data after the value")
	}
	return v, nil
}

// scalar decodes one value of a type without fields.
func scalar[T any](raw json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

func plain[T any](raw json.RawMessage, _ Level) (any, error) {
	v, err := scalar[T](raw)
	return v, err
}

func enumOf[T ~string](allowed ...T) parseFunc {
	return func(raw json.RawMessage, _ Level) (any, error) {
		v, err := scalar[T](raw)
		if err != nil || !slices.Contains(allowed, v) {
			return nil, errNotAllowed
		}
		return v, nil
	}
}

// bounds is a parser for a range of values together with its description.
type bounds struct {
	allowed string
	parse   parseFunc
}

func within[T cmp.Ordered](low, high T) parseFunc {
	return func(raw json.RawMessage, _ Level) (any, error) {
		v, err := scalar[T](raw)
		if err != nil || v < low || v > high {
			return nil, errNotAllowed
		}
		return v, nil
	}
}

func intBounds(low, high int) bounds {
	return bounds{allowed: fmt.Sprintf("an integer from %d to %d", low, high), parse: within(low, high)}
}

func int64Bounds(low, high int64) bounds {
	return bounds{allowed: fmt.Sprintf("an integer from %d to %d", low, high), parse: within(low, high)}
}

func floatBounds(low, high float64) bounds {
	return bounds{allowed: fmt.Sprintf("a number from %g to %g", low, high), parse: within(low, high)}
}

func durationBounds(low, high time.Duration) bounds {
	parse := func(raw json.RawMessage, _ Level) (any, error) {
		text, err := scalar[string](raw)
		if err != nil {
			return nil, err
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return nil, errNotAllowed
		}
		return d, nil
	}
	return bounds{allowed: fmt.Sprintf("a duration from %q to %q", low, high), parse: parse}
}

func parseName(raw json.RawMessage, _ Level) (any, error) {
	v, err := scalar[string](raw)
	if err != nil || !validName(v) {
		return nil, errNotAllowed
	}
	return v, nil
}

func parseOwners(raw json.RawMessage, _ Level) (any, error) {
	names, err := scalar[[]string](raw)
	if err != nil || len(names) != ownerCount || names[0] == names[1] {
		return nil, errNotAllowed
	}
	for _, n := range names {
		if n == "" || len(n) > maxOwnerName || n != strings.TrimSpace(n) {
			return nil, errNotAllowed
		}
	}
	return names, nil
}

func parseTargets(raw json.RawMessage, _ Level) (any, error) {
	list, err := strict[[]TargetEntry](raw)
	if err != nil || len(list) > maxTargets {
		return nil, errNotAllowed
	}
	ids := make(map[fleet.TargetID]bool, len(list))
	addresses := make(map[netip.AddrPort]bool, len(list))
	for _, t := range list {
		at, err := netip.ParseAddrPort(t.Address)
		if err != nil || at.Port() == 0 || addresses[at] || ids[t.ID] {
			return nil, errNotAllowed
		}
		if !validName(string(t.ID)) || !validName(string(t.DataCentre)) {
			return nil, errNotAllowed
		}
		ids[t.ID], addresses[at] = true, true
	}
	return list, nil
}

func parseDrained(raw json.RawMessage, at Level) (any, error) {
	if at == LevelDataCentre {
		return plain[bool](raw, at)
	}
	ids, err := scalar[[]fleet.TargetID](raw)
	if err != nil || !distinct(ids) {
		return nil, errNotAllowed
	}
	return ids, nil
}

func distinct[T comparable](list []T) bool {
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		if seen[v] {
			return false
		}
		seen[v] = true
	}
	return true
}

func parseFloor(raw json.RawMessage, at Level) (any, error) {
	if count, err := within(0, maxTargets)(raw, at); err == nil {
		return fleet.Floor{Count: count.(int)}, nil
	}
	text, err := scalar[string](raw)
	if err != nil {
		return nil, err
	}
	number, ok := strings.CutSuffix(text, percentSuffix)
	percent, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || math.IsNaN(percent) || percent < 0 || percent > percentWhole {
		return nil, errNotAllowed
	}
	return fleet.Floor{Percent: percent}, nil
}

func parsePathText(raw json.RawMessage, _ Level) (any, error) {
	v, err := scalar[string](raw)
	if err != nil || !strings.HasPrefix(v, "/") || len(v) > maxPathText {
		return nil, errNotAllowed
	}
	for _, c := range []byte(v) {
		if c <= ' ' || c > '~' || c == '?' || c == '#' {
			return nil, errNotAllowed
		}
	}
	return v, nil
}

func parseMethods(raw json.RawMessage, _ Level) (any, error) {
	list, err := scalar[[]string](raw)
	if err != nil || len(list) == 0 || len(list) > maxMethods || !distinct(list) {
		return nil, errNotAllowed
	}
	for _, m := range list {
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			return nil, errNotAllowed
		}
	}
	return list, nil
}

func parseKind(raw json.RawMessage, _ Level) (any, error) {
	text, err := scalar[string](raw)
	if err != nil {
		return nil, err
	}
	for _, k := range []fleet.RequestKind{fleet.Lookup, fleet.Order, fleet.Batch} {
		if text == k.String() {
			return k, nil
		}
	}
	return nil, errNotAllowed
}

var orderKeyNames = map[fleet.OrderKeyMode]string{fleet.KeyRequired: "required", fleet.KeyOptional: "optional"}

func parseOrderKey(raw json.RawMessage, _ Level) (any, error) {
	text, err := scalar[string](raw)
	if err != nil {
		return nil, err
	}
	for mode, name := range orderKeyNames {
		if text == name {
			return mode, nil
		}
	}
	return nil, errNotAllowed
}

func parseBodyFailure(raw json.RawMessage, _ Level) (any, error) {
	v, err := strict[*fleet.BodyFailure](raw)
	if err != nil || v == nil {
		return v, err
	}
	if v.Contains == "" || len(v.Contains) > maxContains || v.Within < len(v.Contains) || v.Within > maxWithin {
		return nil, errNotAllowed
	}
	return v, nil
}

func parseRefusal(raw json.RawMessage, _ Level) (any, error) {
	v, err := strict[*fleet.Refusal](raw)
	if err != nil || v == nil {
		return v, err
	}
	if v.Status < statusLow || v.Status > statusHigh {
		return nil, errNotAllowed
	}
	return v, nil
}
