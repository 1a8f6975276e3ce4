package link

import (
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against log lines and error responses that hold the tens of kilobytes that a
// target sent in place of a response.
func TestErrorOfInvalidHeadIsShort(t *testing.T) {
	const maxTextBytes = 1 << 10
	junk := strings.Repeat("\x00", maxHeadBytes-200)
	cases := map[string]string{
		"status line":    junk + "\r\n\r\n",
		"status code":    "HTTP/1.1 " + junk + "\r\n\r\n",
		"version":        "HTTP/" + junk + " 200 OK\r\n\r\n",
		"field":          "HTTP/1.1 200 OK\r\n" + junk + "\r\n\r\n",
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", maxHeadBytes-200) + "\r\n\r\n",
		"encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", maxHeadBytes-200) + "\r\n\r\n",
	}
	for name, reply := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := NewPool("target", WithDial(newScriptedTarget(true, reply).dial))
			_, err := p.Forward(t.Context(), &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h"}, time.Minute)
			g.Expect(err).To(HaveOccurred())
			t.Logf("error of %d bytes", len(err.Error()))
			g.Expect(len(err.Error())).To(BeNumerically("<", maxTextBytes))
		})
	}
}

// Guards against errors that keep what targets sent in memory for as long as their
// requests last.
func TestErrorsOfInvalidHeadsTakeLittleMemory(t *testing.T) {
	const exchanges, maxBytes = 100, 4 << 10
	g := NewWithT(t)
	reply := strings.Repeat("\x00", maxHeadBytes-200) + "\r\n\r\n"
	errs := make([]error, exchanges)
	before := heapInUse()
	for i := range errs {
		p := NewPool("target", WithDial(newScriptedTarget(true, reply).dial))
		_, errs[i] = p.Forward(t.Context(), &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h"}, time.Minute)
	}
	used := (heapInUse() - before) / exchanges
	t.Logf("%d bytes for each error", used)
	g.Expect(used).To(BeNumerically("<", maxBytes))
	runtime.KeepAlive(errs)
}
