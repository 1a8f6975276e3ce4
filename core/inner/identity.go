package inner

import (
	"crypto/tls"
	"crypto/x509"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// serverName stands as DNS name in the certificate of each daemon, so that
// other certificates of the same authority do not admit to the inner protocol.
// The VM id is the certificate's common name.
const serverName = "wisteriad"

// Identity is the certificate of a daemon and the authority of the fleet.
type Identity struct {
	VM          fleet.VMID
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// ParseIdentity returns the identity from PEM blocks; it fails with
// fault.ConfigInvalid.
func ParseIdentity(certificate, key, authority []byte) (Identity, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return Identity{}, fault.Wrap(err, fault.ConfigInvalid, "certificate of the inner protocol")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Identity{}, fault.New(fault.ConfigInvalid, "authority of the inner protocol holds no certificate")
	}
	return newIdentity(pair, pool)
}

func newIdentity(pair tls.Certificate, pool *x509.CertPool) (Identity, error) {
	vm, err := vmOf(pair.Leaf)
	if err != nil {
		return Identity{}, err
	}
	return Identity{VM: vm, Certificate: pair, Authority: pool}, nil
}

// vmOf returns the VM id in a daemon's certificate.
func vmOf(leaf *x509.Certificate) (fleet.VMID, error) {
	if err := leaf.VerifyHostname(serverName); err != nil {
		return "", fault.Wrap(err, fault.Unauthenticated, "certificate of %q is not one of a daemon", leaf.Subject.CommonName)
	}
	if leaf.Subject.CommonName == "" || len(leaf.Subject.CommonName) > MaxID {
		return "", fault.New(fault.Unauthenticated, "certificate has no usable VM id")
	}
	return fleet.VMID(leaf.Subject.CommonName), nil
}

// serverTLS has no session tickets: connections live long, and a ticket would
// keep a peer admitted after its certificate expires.
func (i Identity) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{i.Certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              i.Authority,
		SessionTicketsDisabled: true,
	}
}

func (i Identity) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.Certificate},
		RootCAs:      i.Authority,
		ServerName:   serverName,
	}
}

// transport is a TLS connection that closes at once. tls.Conn.Close waits up
// to 5 s for a peer that does not read, and drpc marks the end of messages itself.
type transport struct {
	*tls.Conn
}

// Close closes the connection without a closing handshake.
func (t transport) Close() error {
	return t.NetConn().Close()
}
