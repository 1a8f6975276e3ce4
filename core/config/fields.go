package config

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fleet"
)

// field describes one key of the settings file.
type field struct {
	key string
	// allowed describes the allowed values in errors.
	allowed  string
	required bool
	// set decodes the JSON value into the settings. It returns false if the value is
	// not allowed.
	set func(s *Settings, raw []byte) bool
}

const (
	allowedName    = "a name of lower-case letters, digits and hyphens"
	allowedAddress = "an IP address with a port, such as 10.0.0.1:7000"
	allowedFile    = "the name of a file"
	allowedSecrets = "a list of hex strings of at least 16 bytes each"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// fields lists the keys of the settings file in their documented order.
var fields = []field{
	{key: "vm", allowed: allowedName, required: true, set: nameSetter(func(s *Settings, v string) { s.VM = fleet.VMID(v) })},
	{key: "region", allowed: allowedName, required: true, set: nameSetter(func(s *Settings, v string) { s.Region = fleet.Region(v) })},
	{key: "data-centre", allowed: allowedName, required: true, set: nameSetter(func(s *Settings, v string) { s.DataCentre = fleet.DataCentre(v) })},
	{key: "caller-address", allowed: allowedAddress, required: true, set: addressSetter(func(s *Settings, v string) { s.CallerAddress = v })},
	{key: "inner-address", allowed: allowedAddress, required: true, set: addressSetter(func(s *Settings, v string) { s.InnerAddress = v })},
	{key: "admin-address", allowed: allowedAddress, required: true, set: addressSetter(func(s *Settings, v string) { s.AdminAddress = v })},
	{key: "platform-url", allowed: "an http or https URL", required: true, set: setPlatformURL},
	{key: "caller-tls-certificate", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.CallerTLS.Certificate = v })},
	{key: "caller-tls-key", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.CallerTLS.Key = v })},
	{key: "admin-tls-certificate", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.AdminTLS.Certificate = v })},
	{key: "admin-tls-key", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.AdminTLS.Key = v })},
	{key: "inner-tls-certificate", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.InnerTLS.Certificate = v })},
	{key: "inner-tls-key", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.InnerTLS.Key = v })},
	{key: "inner-tls-authority", allowed: allowedFile, set: textSetter(func(s *Settings, v string) { s.InnerTLS.Authority = v })},
	{key: "seeds", allowed: "a list of IP addresses with ports", set: setSeeds},
	{key: "fleet-secrets", allowed: allowedSecrets, required: true, set: setSecrets},
	{key: "operators", allowed: "a list of {name, token-sha256}, the token as 64 hex digits", set: setOperators},
	{key: "domain", allowed: "a domain name", set: textSetter(func(s *Settings, v string) { s.Domain = v })},
	{key: "log-level", allowed: "one of " + strings.Join(logLevels, ", "), set: setLogLevel},
	{key: "store-reads", allowed: "a number above 0", set: numberSetter(func(s *Settings, v float64) { s.StoreReadRate = v })},
	{key: "store-writes", allowed: "a number above 0", set: numberSetter(func(s *Settings, v float64) { s.StoreWriteRate = v })},
	{key: "memory-limit-mb", allowed: "a number above 0", set: numberSetter(func(s *Settings, v float64) { s.MemoryLimit = int64(v * bytesPerMB) })},
	{key: "shutdown-limit", allowed: `a duration above 0, such as "10m"`, set: setShutdownLimit},
}

const bytesPerMB = 1 << 20

// Keys returns the keys of the settings file in their documented order.
func Keys() []string {
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return keys
}

// textSetter returns the set function of a field that takes a non-empty string.
func textSetter(assign func(*Settings, string)) func(*Settings, []byte) bool {
	return func(s *Settings, raw []byte) bool {
		var v string
		if json.Unmarshal(raw, &v) != nil || v == "" {
			return false
		}
		assign(s, v)
		return true
	}
}

// nameSetter returns the set function of a field that takes a name.
func nameSetter(assign func(*Settings, string)) func(*Settings, []byte) bool {
	return func(s *Settings, raw []byte) bool {
		var v string
		if json.Unmarshal(raw, &v) != nil || !isName(v) {
			return false
		}
		assign(s, v)
		return true
	}
}

func isName(v string) bool {
	const allowedChars = "abcdefghijklmnopqrstuvwxyz0123456789-"
	return v != "" && strings.Trim(v, allowedChars) == ""
}

// addressSetter returns the set function of a field that takes an IP address with a port.
func addressSetter(assign func(*Settings, string)) func(*Settings, []byte) bool {
	return func(s *Settings, raw []byte) bool {
		var v string
		if json.Unmarshal(raw, &v) != nil || !isAddress(v) {
			return false
		}
		assign(s, v)
		return true
	}
}

func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}

// numberSetter returns the set function of a field that takes a number above 0.
func numberSetter(assign func(*Settings, float64)) func(*Settings, []byte) bool {
	return func(s *Settings, raw []byte) bool {
		var v float64
		if json.Unmarshal(raw, &v) != nil || v <= 0 {
			return false
		}
		assign(s, v)
		return true
	}
}

func setPlatformURL(s *Settings, raw []byte) bool {
	var v string
	if json.Unmarshal(raw, &v) != nil {
		return false
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	s.PlatformURL = v
	return true
}

func setSeeds(s *Settings, raw []byte) bool {
	var v []string
	if json.Unmarshal(raw, &v) != nil {
		return false
	}
	invalid := slices.ContainsFunc(v, func(a string) bool { return !isAddress(a) })
	s.Seeds = v
	return !invalid
}

func setSecrets(s *Settings, raw []byte) bool {
	var texts []string
	if json.Unmarshal(raw, &texts) != nil || len(texts) == 0 {
		return false
	}
	s.FleetSecrets = nil
	for _, t := range texts {
		secret, ok := parseSecret(t)
		if !ok {
			return false
		}
		s.FleetSecrets = append(s.FleetSecrets, secret)
	}
	return true
}

func setOperators(s *Settings, raw []byte) bool {
	var v []Operator
	if strictUnmarshal(raw, &v) != nil {
		return false
	}
	const digestBytes = 32
	for _, o := range v {
		digest, ok := parseSecret(o.TokenSHA256)
		if !ok || len(digest) != digestBytes || o.Name == "" {
			return false
		}
	}
	s.Operators = v
	return true
}

// strictUnmarshal decodes JSON and fails on unknown keys.
func strictUnmarshal(raw []byte, v any) error {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

func setLogLevel(s *Settings, raw []byte) bool {
	var v string
	if json.Unmarshal(raw, &v) != nil || !slices.Contains(logLevels, v) {
		return false
	}
	s.LogLevel = v
	return true
}

func setShutdownLimit(s *Settings, raw []byte) bool {
	var v string
	if json.Unmarshal(raw, &v) != nil {
		return false
	}
	d, err := time.ParseDuration(v)
	s.ShutdownLimit = d
	return err == nil && d > 0
}
