package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"wisteriarelay.example/core/config"

	. "github.com/onsi/gomega"
)

// TestAdminPort guards against a state dump that is served without a token, and
// against components that are not connected to the administration API.
func TestAdminPort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(t, scenarioSettings)
		digest := sha256.Sum256([]byte("secret"))
		s.operators = []config.Operator{{Name: "marta", TokenSHA256: hex.EncodeToString(digest[:])}}
		s.startReadyDaemon()
		for _, c := range []struct {
			token, method, path string
			status              int
			contains            string
		}{
			{"", "GET", "/metrics", http.StatusOK, `wisteria_targets{state="ready"}`},
			{"", "GET", "/metrics", http.StatusOK, "wisteria_ready 1\n"},
			{"", "GET", "/v1/state", http.StatusUnauthorized, "unauthenticated"},
			{"wrong", "GET", "/v1/rollout", http.StatusUnauthorized, "unauthenticated"},
			{"secret", "GET", "/v1/state?part=settings", http.StatusOK, `"ready":true`},
			{"secret", "GET", "/v1/rollout", http.StatusOK, `"state":"current"`},
			{"secret", "GET", "/v1/services/reservas/addresses", http.StatusOK, `"address":"10.0.0.1:7000"`},
			{"secret", "POST", "/v1/services/reservas/targets/reservas-1/eject", http.StatusOK, `"operator":"marta"`},
			{"secret", "GET", "/v1/services/reservas/targets", http.StatusOK, `"health":"unknown","state":"ejected"`},
			{"secret", "POST", "/v1/services/reservas/targets/reservas-2/eject", http.StatusConflict, "floor-reached"},
			{"secret", "POST", "/v1/services/reservas/targets/reservas-1/return", http.StatusOK, `"action":"return"`},
		} {
			status, body := s.admin(c.token, c.method, c.path)
			s.g.Expect(status).To(Equal(c.status), c.path)
			s.g.Expect(body).To(ContainSubstring(c.contains), c.path)
			synctest.Wait()
		}
		s.close()
	})
}

// admin sends a request to the administration port.
func (s *scenario) admin(token, method, path string) (status int, body string) {
	client := &http.Client{Transport: &http.Transport{DialContext: s.net.dialFrom(callerHost), DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://10.0.0.1:7200"+path, nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data)
}
