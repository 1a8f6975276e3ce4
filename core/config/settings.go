package config

import (
	"encoding/hex"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Operator is a person who may use the administration API.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the hex SHA-256 of the operator's bearer token.
	TokenSHA256 string `json:"token-sha256"`
}

// TLSFiles names the files of a certificate and its key; empty names turn TLS off.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the file with the certificates that peers are checked
	// against; only the inner protocol uses it.
	Authority string `json:"authority,omitempty"`
}

// Enabled reports whether a certificate is configured.
func (t TLSFiles) Enabled() bool {
	return t.Certificate != ""
}

// Settings are the settings of one daemon process.
type Settings struct {
	VM            fleet.VMID       `json:"vm"`
	Region        fleet.Region     `json:"region"`
	DataCentre    fleet.DataCentre `json:"data-centre"`
	CallerAddress string           `json:"caller-address"`
	InnerAddress  string           `json:"inner-address"`
	AdminAddress  string           `json:"admin-address"`
	CallerTLS     TLSFiles         `json:"caller-tls"`
	AdminTLS      TLSFiles         `json:"admin-tls"`
	InnerTLS      TLSFiles         `json:"inner-tls"`
	PlatformURL   string           `json:"platform-url"`
	// Seeds are inner addresses of peers that are asked when the platform is away.
	Seeds []string `json:"seeds"`
	// FleetSecrets sign order tokens; the first signs, all are accepted.
	FleetSecrets []Secret   `json:"fleet-secrets"`
	Operators    []Operator `json:"operators"`
	// Domain is the suffix of host names of the form <service>.<domain>.
	Domain   string `json:"domain"`
	LogLevel string `json:"log-level"`
	// StoreReads and StoreWrites are the fleet's budgets in requests per second.
	StoreReads  float64 `json:"store-reads"`
	StoreWrites float64 `json:"store-writes"`
	// MemoryLimit is the soft memory limit of the process in bytes.
	MemoryLimit int64 `json:"memory-limit"`
	// ShutdownLimit is the longest time that a shutdown waits for requests in progress.
	ShutdownLimit time.Duration `json:"-"`
}

// Secret is a key of at least 16 bytes, written in hex; it prints redacted.
type Secret []byte

// String returns a fixed text in place of the secret.
func (s Secret) String() string {
	return "redacted"
}

// MarshalJSON encodes a fixed text in place of the secret.
func (s Secret) MarshalJSON() ([]byte, error) {
	return []byte(`"redacted"`), nil
}

// Self returns the VM that the settings describe.
func (s *Settings) Self() fleet.VM {
	return fleet.VM{
		ID:         s.VM,
		Region:     s.Region,
		DataCentre: s.DataCentre,
		Caller:     s.CallerAddress,
		Inner:      s.InnerAddress,
		Admin:      s.AdminAddress,
	}
}

const (
	defaultStoreReads    = 2000
	defaultStoreWrites   = 300
	defaultMemoryLimit   = 1 << 30
	defaultShutdownLimit = 10 * time.Minute
	minSecretBytes       = 16
)

// Defaults returns settings with every optional key at its default.
func Defaults() *Settings {
	return &Settings{
		LogLevel:      "info",
		StoreReads:    defaultStoreReads,
		StoreWrites:   defaultStoreWrites,
		MemoryLimit:   defaultMemoryLimit,
		ShutdownLimit: defaultShutdownLimit,
	}
}

func parseSecret(text string) (Secret, bool) {
	b, err := hex.DecodeString(text)
	return b, err == nil && len(b) >= minSecretBytes
}
