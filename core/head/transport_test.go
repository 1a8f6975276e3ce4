package head_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/head"
	"wisteriarelay.example/core/stand"
)

// Guards against clients of net/http that take a response with a broken head for an answer.
func TestTransportRejectsBrokenHeads(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n"
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		response string
		valid    bool
	}{
		"valid":                          {"HTTP/1.1 200 OK\r\nX-Y: z\r\nContent-Length: 2\r\n\r\nok", true},
		"failure":                        {"HTTP/1.1 599 None\r\nContent-Length: 2\r\n\r\nok", true},
		"status 000":                     {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", false},
		"status 600":                     {"HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nok", false},
		"blank in a name":                {"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok", false},
		"blank after a name":             {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		"NUL in a name":                  {"HTTP/1.1 200 OK\r\nX\x00Y: z\r\nContent-Length: 2\r\n\r\nok", false},
		"blank before a name":            {"HTTP/1.1 200 OK\r\nX: z\r\n Y: z\r\nContent-Length: 2\r\n\r\nok", false},
		"tab before the encoding":        {"HTTP/1.1 200 OK\r\nX: z\r\n\tTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"encoding in 1.0":                {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", false},
		"version 2.0":                    {"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"blank in an interim response":   {interim + "X Y: z\r\n\r\n" + whole, false},
		"blank before an interim's name": {interim + "X: z\r\n Y: z\r\n\r\n" + whole, false},
		"blank before a name, interim":   {interim + "\r\nHTTP/1.1 200 OK\r\nX: z\r\n Y: z\r\nContent-Length: 2\r\n\r\nok", false},
		"interim responses":              {interim + "\r\n" + interim + "Link: a\r\n\r\n" + whole, true},
		"too many interim responses":     {strings.Repeat(interim+"\r\n", 17) + whole, false},
		"interim response of 1.0":        {"HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"version 1.0":                    {"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", true},
		"lines that end with LF":         {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", true},
	}
	for name, c := range cases {
		for reads, dial := range map[string]func(context.Context, string, string) (net.Conn, error){"whole": nil, "byte by byte": dialSlow} {
			t.Run(name+"/"+reads, func(t *testing.T) {
				g := NewWithT(t)
				server := httptest.NewServer(stand.RawHandler(c.response))
				defer server.Close()
				client := &http.Client{Transport: head.NewTransport(&http.Transport{DialContext: dial})}
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
}

// slowConn is a connection that reads single bytes.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	return c.Conn.Read(p[:min(len(p), 1)])
}

func dialSlow(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return slowConn{c}, nil
}

// Guards against a broken head that is noticed only on a new connection, and against a body
// that is taken for a part of a head.
func TestTransportRejectsBrokenHeadOnKeptConnection(t *testing.T) {
	g := NewWithT(t)
	connections := map[string]int{}
	responses := []string{"a\r\n Y: z\r\n\r\n", "a\r\n Y: z\r\n\r\n"}
	count := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr]++
		if count++; count <= len(responses) {
			_, _ = io.WriteString(w, responses[count-1])
			return
		}
		stand.RawHandler("HTTP/1.1 200 OK\r\nX: z\r\n Y: z\r\nContent-Length: 2\r\n\r\nok").ServeHTTP(w, r)
	}))
	defer server.Close()
	client := &http.Client{Transport: head.NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for _, want := range responses {
		resp, err := client.Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo(want))
		_ = resp.Body.Close()
	}
	_, err := client.Get(server.URL)
	g.Expect(err).To(MatchError(ContainSubstring("begins with a blank")))
	g.Expect(connections).To(HaveLen(1))
}
