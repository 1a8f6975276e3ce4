package relay

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
)

// Guards against callers that are refused at the same moment and all retry at the same
// moment.
func TestRetryAfterHasJitter(t *testing.T) {
	g := NewWithT(t)
	waits := map[string]bool{}
	for range 100 {
		text := errorResponse(fault.QueueFull).Header.Get("Retry-After")
		seconds, err := strconv.ParseFloat(text, 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically(">=", minRetryAfter.Seconds()))
		g.Expect(seconds).To(BeNumerically("<=", (minRetryAfter + retryAfterJitter + time.Millisecond).Seconds()))
		waits[text] = true
	}
	g.Expect(len(waits)).To(BeNumerically(">", 20))
}
