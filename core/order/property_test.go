package order

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// TestAtMostOnce guards against an order that runs twice, an order that runs
// although a caller was told not-run, and a replay of another response than the
// first one to the same request. WISTERIA_ORDER_OPS sets the number of copies for
// a longer run, WISTERIA_ORDER_SEED another seed.
func TestAtMostOnce(t *testing.T) {
	copies := intFromEnv(t, "WISTERIA_ORDER_OPS", 30_000)
	seed := intFromEnv(t, "WISTERIA_ORDER_SEED", 1)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSim(uint64(seed), copies)
		s.simulate()
		t.Log(s.summary())
		g.Expect(s.violations).To(BeEmpty())
		for v := VerdictUnknown; v < VerdictInvalid; v++ {
			g.Expect(s.verdicts[v]).To(BeNumerically(">", 0), "the run should meet verdict %s", v)
		}
		g.Expect(s.importedParts).To(BeNumerically(">", 0))
	})
}

func intFromEnv(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
