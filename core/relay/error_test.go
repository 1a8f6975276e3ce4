package relay

import (
	"net/http"
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
		text := errorResponse(fault.QueueFull, 0).Header.Get("Retry-After")
		seconds, err := strconv.ParseFloat(text, 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically(">=", minRetryAfter.Seconds()))
		g.Expect(seconds).To(BeNumerically("<=", (minRetryAfter + retryAfterJitter + time.Millisecond).Seconds()))
		waits[text] = true
	}
	g.Expect(len(waits)).To(BeNumerically(">", 20))
}

// Guards against a caller's time limit that does not fit in a duration and becomes one
// that has passed.
func TestTooLargeDeadlineStaysLong(t *testing.T) {
	g := NewWithT(t)
	names := Headers{Deadline: "Deadline"}
	left, ok := names.timeLeft(http.Header{"Deadline": {"9223372036854775807"}})
	g.Expect(ok).To(BeTrue())
	g.Expect(left).To(BeNumerically(">", time.Hour))
}
