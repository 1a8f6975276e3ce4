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
	// CallerAddress, AddressAddress and ReadyAddress are the addresses for requests,
	// for questions where to connect, and for readiness checks; an empty one is
	// not served.
	CallerAddress  string `json:"caller-address"`
	AddressAddress string `json:"address-address"`
	ReadyAddress   string `json:"ready-address"`
	// InnerAddress is for datagrams of peers, MetricsAddress for metrics and state.
	InnerAddress   string `json:"inner-address"`
	MetricsAddress string `json:"metrics-address"`
	StoreAddress   string `json:"store-address"`
	// Seeds are addresses of some other VMs, which may be down or gone. A daemon that
	// starts asks the daemons there, at the port of its own inner address, for peers.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool `json:"first-start"`
	// ShutdownSeconds is the time from the signal to stop until the process is killed.
	ShutdownSeconds float64     `json:"shutdown-s"`
	RetryBudget     RetryBudget `json:"retry-budget"`
	MemoryMB        int64       `json:"memory-mb"`
	// CPUShare is the share of a core that the daemon may use, CPUSpeed the speed
	// of that core as a multiple of the usual one, and LinkMbit the bandwidth of
	// the VM's link in Mbit/s; 0 stands for unknown.
	CPUShare float64 `json:"cpu-share"`
	CPUSpeed float64 `json:"cpu-speed"`
	LinkMbit float64 `json:"link-mbit"`
	// LogLinesPerSecond bounds the log; 0 stands for the default.
	LogLinesPerSecond int `json:"log-lines-per-s"`
}

// RetryBudget bounds the extra sends of the whole fleet to one service.
type RetryBudget struct {
	Ratio       float64 `json:"ratio"`
	SpanSeconds float64 `json:"span-s"`
	Slack       float64 `json:"slack"`
}

// Shutdown returns the time from the signal to stop until the process is killed.
func (s *Settings) Shutdown() time.Duration {
	return seconds(s.ShutdownSeconds)
}

// linkPerCore is the bandwidth in Mbit/s that one core of requests takes.
const linkPerCore = 100

// Capacity returns the cores for requests, as far as the link can keep up; 0 if
// it is unknown.
func (s *Settings) Capacity() float64 {
	cores := s.CPUShare
	if s.CPUSpeed > 0 {
		cores *= s.CPUSpeed
	}
	if s.LinkMbit > 0 {
		cores = min(cores, s.LinkMbit/linkPerCore)
	}
	return cores
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Load reads and checks a settings file, in JSON with comments.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "settings file cannot be read")
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file; file is its name in errors.
func Parse(file string, data []byte) (*Settings, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s: not valid JSON with comments", file)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s%s", file, lineOf(plain, err))
	}
	if err := s.check(); err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s", file)
	}
	return &s, nil
}

// lineOf returns the line of an error as ":12", or nothing if it has none.
// Comments were replaced by spaces, so that offsets are those of the file.
func lineOf(data []byte, err error) string {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return ""
	}
	return fmt.Sprintf(":%d", 1+bytes.Count(data[:min(wrongType.Offset, int64(len(data)))], []byte("\n")))
}

func (s *Settings) check() error {
	for key, value := range map[string]string{"vm": s.VM, "data-centre": s.DataCentre, "store-address": s.StoreAddress} {
		if value == "" {
			return fault.New(fault.ConfigInvalid, "key %q is missing or empty", key)
		}
	}
	addresses := map[string]string{
		"caller-address": s.CallerAddress, "address-address": s.AddressAddress, "ready-address": s.ReadyAddress,
		"inner-address": s.InnerAddress, "metrics-address": s.MetricsAddress, "store-address": s.StoreAddress,
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
	if s.CallerAddress == "" || s.InnerAddress == "" {
		return fault.New(fault.ConfigInvalid, "keys %q and %q are required", "caller-address", "inner-address")
	}
	if s.CPUShare < 0 || s.CPUSpeed < 0 || s.LinkMbit < 0 || s.MemoryMB < 0 {
		return fault.New(fault.ConfigInvalid, "keys %q, %q, %q and %q must not be negative", "cpu-share", "cpu-speed", "link-mbit", "memory-mb")
	}
	if s.ShutdownSeconds <= 0 || s.RetryBudget.Ratio < 0 || s.RetryBudget.SpanSeconds <= 0 || s.RetryBudget.Slack < 0 {
		return fault.New(fault.ConfigInvalid, "keys %q and %q must be positive", "shutdown-s", "retry-budget")
	}
	return nil
}
