package head_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/head"
	"wisteriarelay.example/core/stand"
)

// Guards against clients of net/http that take a response with a broken head for an answer.
func TestTransportRejectsBrokenHeads(t *testing.T) {
	cases := map[string]struct {
		response string
		valid    bool
	}{
		"valid":              {"HTTP/1.1 200 OK\r\nX-Y: z\r\nContent-Length: 2\r\n\r\nok", true},
		"failure":            {"HTTP/1.1 599 None\r\nContent-Length: 2\r\n\r\nok", true},
		"status 000":         {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", false},
		"status 600":         {"HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nok", false},
		"blank in a name":    {"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok", false},
		"blank after a name": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		"NUL in a name":      {"HTTP/1.1 200 OK\r\nX\x00Y: z\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(stand.RawHandler(c.response))
			defer server.Close()
			client := &http.Client{Transport: head.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			resp, err := client.Get(server.URL)
			if !c.valid {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("ok"))
		})
	}
}
