package stand

import (
	"io"
	"net/http"
	"strings"
)

// RawHandler answers each request with its bytes, which need not be valid HTTP. It then
// closes the connection if they announce that; otherwise the client has to close it.
type RawHandler string

// ServeHTTP sends the bytes.
func (h RawHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, string(h))
	if !strings.Contains(string(h), "Connection: close") {
		_, _ = io.Copy(io.Discard, conn)
	}
}
