package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/logs"
)

// Guards against a process that hangs because nobody reads its output.
func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, out := io.Pipe()
		w := logs.NewWriter(out, 1000)
		begin := time.Now()
		for i := range 10_000 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(begin)).To(BeZero())
		g.Expect(w.Dropped()).To(BeNumerically(">", 5000))
		_ = r.Close()
		w.Close(time.Second)
	})
}

// Guards against lines that are dropped without a trace in the log.
func TestDroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		w := logs.NewWriter(&out, 2)
		for i := range 15 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		time.Sleep(2 * time.Second)
		_, _ = fmt.Fprintln(w, "after")
		w.Close(time.Second)
		g.Expect(strings.Count(out.String(), "line ")).To(Equal(10))
		g.Expect(out.String()).To(ContainSubstring("msg=\"log lines dropped\" count=5\nafter\n"))
	})
}

// Guards against lines that are lost because the output is closed, and that no counter
// shows.
func TestLinesToClosedOutputAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, out := io.Pipe()
		_ = r.Close()
		w := logs.NewWriter(out, 1000)
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close(time.Second)
		g.Expect(w.Dropped()).To(BeEquivalentTo(3))
	})
}
