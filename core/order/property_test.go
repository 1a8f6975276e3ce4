package order

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// TestAtMostOnce guards against an order that runs twice, an order that runs
// although a caller was told not-run, and a replay that isn't the first
// response to the caller's own request. WISTERIA_ORDER_OPS sets the number of
// copies for the long mode, WISTERIA_ORDER_SEED another seed.
func TestAtMostOnce(t *testing.T) {
	ops := fromEnv(t, "WISTERIA_ORDER_OPS", 30_000)
	seed := fromEnv(t, "WISTERIA_ORDER_SEED", 1)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSim(uint64(seed), ops)
		s.play()
		t.Log(s.summary())
		g.Expect(s.failures).To(BeEmpty())
		for v := VerdictUnknown; v < VerdictInvalid; v++ {
			g.Expect(s.verdicts[v]).To(BeNumerically(">", 0), "the run should meet verdict %s", v)
		}
		g.Expect(s.handed).To(BeNumerically(">", 0))
	})
}

func fromEnv(t *testing.T, name string, standard int) int {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
