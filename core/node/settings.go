package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"wisteriarelay.example/core/fault"
)

// Settings are the process settings of a daemon.
type Settings struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// CallerAddress, LookupAddress and ReadyAddress are the listen addresses for
	// requests, for callers that ask which daemons to connect to, and for readiness
	// checks. An empty LookupAddress or ReadyAddress disables that endpoint.
	CallerAddress string `json:"caller-address"`
	LookupAddress string `json:"address-address"`
	ReadyAddress  string `json:"ready-address"`
	// PeerAddress is the UDP address for messages of peers, MetricsAddress the listen
	// address for metrics and the state dump.
	PeerAddress    string `json:"inner-address"`
	MetricsAddress string `json:"metrics-address"`
	StoreAddress   string `json:"store-address"`
	// Seeds are addresses of some other VMs, which may be down or gone. A daemon that
	// starts asks the daemons there for peers, at the port of its own PeerAddress.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool `json:"first-start"`
	// ShutdownSeconds is the time between the signal to stop and the kill of the
	// process.
	ShutdownSeconds float64     `json:"shutdown-s"`
	RetryBudget     RetryBudget `json:"retry-budget"`
	MemoryMB        int64       `json:"memory-mb"`
	// CPUShare is the share of a core that the daemon may use, CPUSpeed the speed of
	// that core as a multiple of the usual one, and LinkMbit the bandwidth of the VM's
	// network link in Mbit/s; 0 means unknown.
	CPUShare float64 `json:"cpu-share"`
	CPUSpeed float64 `json:"cpu-speed"`
	LinkMbit float64 `json:"link-mbit"`
	// LogLinesPerSecond limits the log rate; 0 means the default.
	LogLinesPerSecond int `json:"log-lines-per-s"`
	// Quota bounds the requests that exceed quotas; without it, none are allowed.
	Quota *Quota `json:"quota,omitempty"`
	// PlatformFields are values that the platform hands over under its own names. A
	// translator sets the fields above from them that the file leaves out.
	PlatformFields json.RawMessage `json:"platform-fields,omitempty"`
}

// Quota is the bound on the requests of each workspace: in each window of WindowSeconds,
// the whole fleet runs at most those of its quota, multiplied by 1 + Overage, plus Slack.
type Quota struct {
	WindowSeconds float64 `json:"window-s"`
	Overage       float64 `json:"overage"`
	Slack         float64 `json:"slack"`
}

// RetryBudget limits the retries and hedges that the whole fleet sends to one
// service: Ratio for each request plus Slack, within a sliding window of WindowSeconds.
type RetryBudget struct {
	Ratio         float64 `json:"ratio"`
	WindowSeconds float64 `json:"span-s"`
	Slack         float64 `json:"slack"`
}

// ShutdownTimeout returns the time between the signal to stop and the kill of the
// process.
func (s *Settings) ShutdownTimeout() time.Duration {
	return seconds(s.ShutdownSeconds)
}

// mbitPerCore is the bandwidth in Mbit/s of the requests that occupy one core.
const mbitPerCore = 100

// Capacity returns the number of cores available for requests, limited to what the
// network link can keep busy; 0 means unknown.
func (s *Settings) Capacity() float64 {
	cores := s.CPUShare
	if s.CPUSpeed > 0 {
		cores *= s.CPUSpeed
	}
	if s.LinkMbit > 0 {
		cores = min(cores, s.LinkMbit/mbitPerCore)
	}
	return cores
}

// maxSeconds is the longest time in the settings, a year.
const maxSeconds = 365 * 24 * 60 * 60

// seconds converts a time in seconds, of which at most maxSeconds count.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxMemoryMB is the largest memory of a VM in the settings, a pebibyte.
const maxMemoryMB = 1 << 30

// MemoryBytes returns the memory of the VM; 0 means unknown.
func (s *Settings) MemoryBytes() int64 {
	return min(s.MemoryMB, maxMemoryMB) << 20
}

// SettingsOption configures how settings are read.
type SettingsOption func(s *Settings) error

// WithPlatformFields sets the function that translates PlatformFields, if there are any,
// into the other fields.
func WithPlatformFields(translate func(s *Settings) error) SettingsOption {
	return func(s *Settings) error {
		if len(s.PlatformFields) == 0 || translate == nil {
			return nil
		}
		return translate(s)
	}
}

// LoadSettings reads and validates a settings file in JSON with comments.
func LoadSettings(file string, opts ...SettingsOption) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "settings file cannot be read")
	}
	return ParseSettings(file, data, opts...)
}

// ParseSettings decodes and validates the content of a settings file; file is the
// name used in errors.
func ParseSettings(file string, data []byte, opts ...SettingsOption) (*Settings, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s: not valid JSON with comments", file)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s%s", file, errorLine(plain, err))
	}
	for _, o := range opts {
		if err := o(&s); err != nil {
			return nil, fault.Wrap(err, fault.ConfigInvalid, "%s", file)
		}
	}
	if err := s.validate(); err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s", file)
	}
	return &s, nil
}

// errorLine returns the line of a JSON type error in the form ":12", or an empty
// string for other errors. Comments were replaced by spaces, so offsets match the
// original file.
func errorLine(data []byte, err error) string {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return ""
	}
	return fmt.Sprintf(":%d", 1+bytes.Count(data[:min(typeErr.Offset, int64(len(data)))], []byte("\n")))
}

func (s *Settings) validate() error {
	for key, value := range map[string]string{"vm": s.VM, "data-centre": s.DataCentre, "store-address": s.StoreAddress} {
		if value == "" {
			return fault.New(fault.ConfigInvalid, "key %q is missing or empty", key)
		}
	}
	addresses := map[string]string{
		"caller-address": s.CallerAddress, "address-address": s.LookupAddress, "ready-address": s.ReadyAddress,
		"inner-address": s.PeerAddress, "metrics-address": s.MetricsAddress, "store-address": s.StoreAddress,
	}
	for key, value := range addresses {
		if _, err := netip.ParseAddrPort(value); value != "" && err != nil {
			return fault.New(fault.ConfigInvalid, "key %q: %q is not an IP address with a port", key, value)
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fault.New(fault.ConfigInvalid, "key %q: %q is not an IP address with a port", "seeds", seed)
		}
	}
	if s.CallerAddress == "" || s.PeerAddress == "" {
		return fault.New(fault.ConfigInvalid, "keys %q and %q are required", "caller-address", "inner-address")
	}
	if s.CPUShare < 0 || s.CPUSpeed < 0 || s.LinkMbit < 0 || s.MemoryMB < 0 {
		return fault.New(fault.ConfigInvalid, "keys %q, %q, %q and %q must not be negative", "cpu-share", "cpu-speed", "link-mbit", "memory-mb")
	}
	if s.ShutdownSeconds <= 0 || s.RetryBudget.Ratio < 0 || s.RetryBudget.WindowSeconds <= 0 || s.RetryBudget.Slack < 0 {
		return fault.New(fault.ConfigInvalid, "keys %q and %q must be positive", "shutdown-s", "retry-budget")
	}
	return s.Quota.validate()
}

// maxQuotaSeconds is the longest window of the bound on quotas.
const maxQuotaSeconds = 3600

// validate checks the section, which may be missing.
func (q *Quota) validate() error {
	switch {
	case q == nil:
		return nil
	case q.WindowSeconds <= 0 || q.WindowSeconds > maxQuotaSeconds:
		return fault.New(fault.ConfigInvalid, "key %q: %v is not allowed; expected seconds above 0, at most %d", "quota.window-s", q.WindowSeconds, maxQuotaSeconds)
	case q.Overage < 0 || q.Overage > 1:
		return fault.New(fault.ConfigInvalid, "key %q: %v is not allowed; expected 0 to 1", "quota.overage", q.Overage)
	case q.Slack < 0:
		return fault.New(fault.ConfigInvalid, "key %q: %v is not allowed; expected 0 or more", "quota.slack", q.Slack)
	}
	return nil
}
