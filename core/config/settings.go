package config

import (
	"encoding/hex"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Operator is a person who is authorised to use the administration API.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the hex SHA-256 of the operator's bearer token.
	TokenSHA256 string `json:"token-sha256"`
}

// TLSFiles holds the file names of a certificate and its key. If they are empty, TLS
// is off.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the file with the CA certificates by which peers are verified.
	// It is used only for the inner protocol, which the daemons speak with each
	// other.
	Authority string `json:"authority,omitempty"`
}

// Enabled reports whether a certificate is configured.
func (t TLSFiles) Enabled() bool {
	return t.Certificate != ""
}

// Settings holds the settings of one daemon process.
type Settings struct {
	VM         fleet.VMID       `json:"vm"`
	Region     fleet.Region     `json:"region"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// CallerAddress, InnerAddress and AdminAddress are the addresses on which the
	// daemon serves callers, other daemons and the administration API.
	CallerAddress string   `json:"caller-address"`
	InnerAddress  string   `json:"inner-address"`
	AdminAddress  string   `json:"admin-address"`
	CallerTLS     TLSFiles `json:"caller-tls"`
	AdminTLS      TLSFiles `json:"admin-tls"`
	InnerTLS      TLSFiles `json:"inner-tls"`
	PlatformURL   string   `json:"platform-url"`
	// Seeds are the inner addresses of peers that are contacted when the platform is
	// unavailable.
	Seeds []string `json:"seeds"`
	// FleetSecrets are the keys for signing order tokens. New tokens are signed with
	// the first one; tokens signed with any of them are valid.
	FleetSecrets []Secret   `json:"fleet-secrets"`
	Operators    []Operator `json:"operators"`
	// Domain is the suffix of the services' host names, <service>.<domain>.
	Domain   string `json:"domain"`
	LogLevel string `json:"log-level"`
	// StoreReadRate and StoreWriteRate are the rate limits of the whole fleet for
	// requests to the store, in requests per second.
	StoreReadRate  float64 `json:"store-reads"`
	StoreWriteRate float64 `json:"store-writes"`
	// MemoryLimit is the soft memory limit of the process in bytes.
	MemoryLimit int64 `json:"memory-limit"`
	// ShutdownLimit is the longest time for which a shutdown waits for requests in
	// progress.
	ShutdownLimit time.Duration `json:"-"`
}

// Secret is a key of at least 16 bytes, written in hex in the settings file. It is
// redacted when it is printed or encoded.
type Secret []byte

// String returns a fixed text instead of the secret.
func (s Secret) String() string {
	return "redacted"
}

// MarshalJSON returns a fixed text instead of the secret.
func (s Secret) MarshalJSON() ([]byte, error) {
	return []byte(`"redacted"`), nil
}

// Self returns the VM on which the daemon runs.
func (s *Settings) Self() fleet.VM {
	return fleet.VM{
		ID:            s.VM,
		Region:        s.Region,
		DataCentre:    s.DataCentre,
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.InnerAddress,
		AdminAddress:  s.AdminAddress,
	}
}

const (
	defaultStoreReads    = 2000
	defaultStoreWrites   = 300
	defaultMemoryLimit   = 1 << 30
	defaultShutdownLimit = 10 * time.Minute
	minSecretBytes       = 16
)

// Defaults returns settings with the default values of the optional keys.
func Defaults() *Settings {
	return &Settings{
		LogLevel:       "info",
		StoreReadRate:  defaultStoreReads,
		StoreWriteRate: defaultStoreWrites,
		MemoryLimit:    defaultMemoryLimit,
		ShutdownLimit:  defaultShutdownLimit,
	}
}

// parseSecret decodes a secret and reports whether it is long enough.
func parseSecret(text string) (Secret, bool) {
	b, err := hex.DecodeString(text)
	return b, err == nil && len(b) >= minSecretBytes
}
