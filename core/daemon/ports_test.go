package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/inner"
)

// Guards against a callers' port that ignores the configured certificate or does not
// negotiate HTTP/2.
func TestCallersPortServesTLSAndHTTP2(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	authority, err := inner.NewAuthority()
	g.Expect(err).NotTo(HaveOccurred())
	blocks, err := authority.IssuePEM("mdp-1")
	g.Expect(err).NotTo(HaveOccurred())
	files := config.TLSFiles{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "c.key")}
	g.Expect(os.WriteFile(files.Certificate, blocks.Certificate, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(files.Key, blocks.Key, 0o600)).To(Succeed())

	seen := make(chan string, 1)
	server, err := newHTTPServer("caller", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Proto }), files, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server.start(l)
	defer func() { g.Expect(server.stop(context.Background())).To(Succeed()) }()

	transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("https://" + l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(<-seen).To(Equal("HTTP/2.0"))
}
