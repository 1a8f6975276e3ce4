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

// errNotAllowed is returned for every rejected value. The message shown to the
// operator is the Allowed text of the key.
var errNotAllowed = errors.New("not allowed")

// TargetEntry is an element of the targets key.
type TargetEntry struct {
	ID         fleet.TargetID   `json:"id"`
	Address    string           `json:"address"`
	DataCentre fleet.DataCentre `json:"data-centre"`
}

// Limits of values, and the texts that state the limits to operators.
const (
	maxTargets         = 1024
	ownerCount         = 2
	maxOwnerNameLength = 128
	maxHTTPPathLength  = 1024
	maxMethods         = 32
	maxWithin          = 1 << 20
	maxContains        = 4096
	minRefusalStatus   = 400
	maxRefusalStatus   = 599
	maxPercent         = 100
	percentSuffix      = "%"

	ownersAllowed      = "a list of two distinct names"
	targetsAllowed     = `a list of at most 1024 {"id", "address", "data-centre"} with distinct ids and distinct ip:port addresses`
	drainedAllowed     = "at a service a list of distinct target ids, at a data centre true or false"
	floorAllowed       = `a count from 0 or a percentage from "0%" to "100%"`
	httpPathAllowed    = "a path of at most 1024 printable ASCII characters that starts with / and holds no space, ? or #"
	methodsAllowed     = "a list of 1 to 32 distinct upper-case HTTP methods"
	bodyFailureAllowed = `null or {"content-type", "contains", "within", "retryable"} with contains of 1 to 4096 bytes and within from its length to 1048576`
	refusalAllowed     = `null or {"status", "header"} with a status from 400 to 599`
)

// decodeStrictJSON decodes a JSON value. It rejects unknown fields and trailing data.
func decodeStrictJSON[T any](raw json.RawMessage) (T, error) {
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

// decodeJSON decodes a JSON value of a type without fields.
func decodeJSON[T any](raw json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// parseAs is a parseFunc that accepts every value of type T.
func parseAs[T any](raw json.RawMessage, _ Level) (any, error) {
	v, err := decodeJSON[T](raw)
	return v, err
}

func parseOneOf[T ~string](allowed ...T) parseFunc {
	return func(raw json.RawMessage, _ Level) (any, error) {
		v, err := decodeJSON[T](raw)
		if err != nil || !slices.Contains(allowed, v) {
			return nil, errNotAllowed
		}
		return v, nil
	}
}

// valueRange is a range of values: its description and its parser.
type valueRange struct {
	allowed string
	parse   parseFunc
}

func parseWithin[T cmp.Ordered](low, high T) parseFunc {
	return func(raw json.RawMessage, _ Level) (any, error) {
		v, err := decodeJSON[T](raw)
		if err != nil || v < low || v > high {
			return nil, errNotAllowed
		}
		return v, nil
	}
}

func intRange(low, high int) valueRange {
	return valueRange{allowed: fmt.Sprintf("an integer from %d to %d", low, high), parse: parseWithin(low, high)}
}

func int64Range(low, high int64) valueRange {
	return valueRange{allowed: fmt.Sprintf("an integer from %d to %d", low, high), parse: parseWithin(low, high)}
}

func floatRange(low, high float64) valueRange {
	return valueRange{allowed: fmt.Sprintf("a number from %g to %g", low, high), parse: parseWithin(low, high)}
}

func durationRange(low, high time.Duration) valueRange {
	parse := func(raw json.RawMessage, _ Level) (any, error) {
		text, err := decodeJSON[string](raw)
		if err != nil {
			return nil, err
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return nil, errNotAllowed
		}
		return d, nil
	}
	return valueRange{allowed: fmt.Sprintf("a duration from %q to %q", low, high), parse: parse}
}

func parseName(raw json.RawMessage, _ Level) (any, error) {
	v, err := decodeJSON[string](raw)
	if err != nil || !validName(v) {
		return nil, errNotAllowed
	}
	return v, nil
}

func parseOwners(raw json.RawMessage, _ Level) (any, error) {
	names, err := decodeJSON[[]string](raw)
	if err != nil || len(names) != ownerCount || names[0] == names[1] {
		return nil, errNotAllowed
	}
	for _, n := range names {
		if n == "" || len(n) > maxOwnerNameLength || n != strings.TrimSpace(n) {
			return nil, errNotAllowed
		}
	}
	return names, nil
}

func parseTargets(raw json.RawMessage, _ Level) (any, error) {
	list, err := decodeStrictJSON[[]TargetEntry](raw)
	if err != nil || len(list) > maxTargets {
		return nil, errNotAllowed
	}
	ids := make(map[fleet.TargetID]bool, len(list))
	addresses := make(map[netip.AddrPort]bool, len(list))
	for _, t := range list {
		address, err := netip.ParseAddrPort(t.Address)
		if err != nil || address.Port() == 0 || addresses[address] || ids[t.ID] {
			return nil, errNotAllowed
		}
		if !validName(string(t.ID)) || !validName(string(t.DataCentre)) {
			return nil, errNotAllowed
		}
		ids[t.ID], addresses[address] = true, true
	}
	return list, nil
}

// parseDrained accepts a list of target ids at a service, and true or false at a
// data centre.
func parseDrained(raw json.RawMessage, level Level) (any, error) {
	if level == LevelDataCentre {
		return parseAs[bool](raw, level)
	}
	ids, err := decodeJSON[[]fleet.TargetID](raw)
	if err != nil || !allDistinct(ids) {
		return nil, errNotAllowed
	}
	return ids, nil
}

func allDistinct[T comparable](list []T) bool {
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		if seen[v] {
			return false
		}
		seen[v] = true
	}
	return true
}

// parseFloor accepts a number of targets or a percentage such as "50%".
func parseFloor(raw json.RawMessage, level Level) (any, error) {
	if count, err := parseWithin(0, maxTargets)(raw, level); err == nil {
		return fleet.Floor{Count: count.(int)}, nil
	}
	text, err := decodeJSON[string](raw)
	if err != nil {
		return nil, err
	}
	number, ok := strings.CutSuffix(text, percentSuffix)
	percent, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || math.IsNaN(percent) || percent < 0 || percent > maxPercent {
		return nil, errNotAllowed
	}
	return fleet.Floor{Percent: percent}, nil
}

func parseHTTPPath(raw json.RawMessage, _ Level) (any, error) {
	v, err := decodeJSON[string](raw)
	if err != nil || !strings.HasPrefix(v, "/") || len(v) > maxHTTPPathLength {
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
	list, err := decodeJSON[[]string](raw)
	if err != nil || len(list) == 0 || len(list) > maxMethods || !allDistinct(list) {
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
	text, err := decodeJSON[string](raw)
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
	text, err := decodeJSON[string](raw)
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

// parseBodyFailure accepts null, which turns an inherited rule off, or a rule whose
// text fits into the part of the body that is searched.
func parseBodyFailure(raw json.RawMessage, _ Level) (any, error) {
	v, err := decodeStrictJSON[*fleet.BodyFailure](raw)
	if err != nil || v == nil {
		return v, err
	}
	if v.Contains == "" || len(v.Contains) > maxContains || v.Within < len(v.Contains) || v.Within > maxWithin {
		return nil, errNotAllowed
	}
	return v, nil
}

// parseRefusal accepts null, which turns an inherited rule off, or a rule with an
// error status.
func parseRefusal(raw json.RawMessage, _ Level) (any, error) {
	v, err := decodeStrictJSON[*fleet.Refusal](raw)
	if err != nil || v == nil {
		return v, err
	}
	if v.Status < minRefusalStatus || v.Status > maxRefusalStatus {
		return nil, errNotAllowed
	}
	return v, nil
}
