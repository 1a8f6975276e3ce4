package inner

import (
	"crypto/tls"
	"crypto/x509"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// serverName is the DNS name in the certificate of every daemon. It is required, so
// that other certificates of the same authority give no access to the inner
// protocol. The VM id of the daemon is the certificate's common name.
const serverName = "wisteriad"

// Identity is the certificate of a daemon with its key, and the certificate
// authority of the fleet.
type Identity struct {
	VM          fleet.VMID
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// ParseIdentity parses PEM blocks. It fails with fault.ConfigInvalid if they hold no
// certificates or no matching key, and with fault.Unauthenticated if the
// certificate is not one of a daemon.
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
	vm, err := vmFromCertificate(pair.Leaf)
	if err != nil {
		return Identity{}, err
	}
	return Identity{VM: vm, Certificate: pair, Authority: pool}, nil
}

// vmFromCertificate verifies that the certificate is one of a daemon and returns its VM id.
func vmFromCertificate(leaf *x509.Certificate) (fleet.VMID, error) {
	if err := leaf.VerifyHostname(serverName); err != nil {
		return "", fault.Wrap(err, fault.Unauthenticated, "certificate of %q is not one of a daemon", leaf.Subject.CommonName)
	}
	if leaf.Subject.CommonName == "" || len(leaf.Subject.CommonName) > MaxIDLen {
		return "", fault.New(fault.Unauthenticated, "certificate has no usable VM id")
	}
	return fleet.VMID(leaf.Subject.CommonName), nil
}

// serverTLS returns the TLS configuration of a server. Session tickets are disabled:
// they save little, because connections are long-lived, and a client could resume
// a session after its certificate has expired.
func (i Identity) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{i.Certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              i.Authority,
		SessionTicketsDisabled: true,
	}
}

// clientTLS returns the TLS configuration of a client.
func (i Identity) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.Certificate},
		RootCAs:      i.Authority,
		ServerName:   serverName,
	}
}

// fastCloseConn is a TLS connection that closes without sending a close_notify
// alert. Sending it makes tls.Conn.Close wait up to 5 s for a peer that does not
// read, and it is not needed, because drpc marks the end of messages itself.
type fastCloseConn struct {
	*tls.Conn
}

// Close closes the underlying connection without a TLS alert.
func (c fastCloseConn) Close() error {
	return c.NetConn().Close()
}
