package inner

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Authority is an in-memory certificate authority for tests and the demo.
type Authority struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

const (
	// clockTolerance dates certificates back, so that a VM whose clock is behind by
	// up to this much accepts them.
	clockTolerance    = time.Hour
	authorityLifetime = 365 * 24 * time.Hour
	serialBits        = 120
)

// NewAuthority generates an authority. Its certificate is valid for one year.
func NewAuthority() (*Authority, error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "key of the authority")
	}
	t := newTemplate("wisteriarelay ephemeral authority")
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, public, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "certificate of the authority")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "certificate of the authority")
	}
	return &Authority{certificate: c, key: key}, nil
}

func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(authorityLifetime),
	}
}

// Issue generates a key and a signed certificate for the VM.
func (a *Authority) Issue(vm fleet.VMID) (Identity, error) {
	return a.issue(string(vm), serverName)
}

func (a *Authority) issue(name, dnsName string) (Identity, error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Identity{}, fault.Wrap(err, fault.Internal, "key of %s", name)
	}
	t := newTemplate(name)
	t.DNSNames = []string{dnsName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, public, a.key)
	if err != nil {
		return Identity{}, fault.Wrap(err, fault.Internal, "certificate of %s", name)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return Identity{}, fault.Wrap(err, fault.Internal, "certificate of %s", name)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return newIdentity(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool)
}

// IdentityPEM holds the PEM blocks that ParseIdentity reads.
type IdentityPEM struct {
	Certificate, Key, Authority []byte
}

// IssuePEM is like Issue, but returns the identity as PEM blocks.
func (a *Authority) IssuePEM(vm fleet.VMID) (IdentityPEM, error) {
	id, err := a.Issue(vm)
	if err != nil {
		return IdentityPEM{}, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(id.Certificate.PrivateKey)
	if err != nil {
		return IdentityPEM{}, fault.Wrap(err, fault.Internal, "key of %s", vm)
	}
	return IdentityPEM{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: id.Certificate.Certificate[0]}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
		Authority:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw}),
	}, nil
}
