package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
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

// Guards against queued lines that exhaust the memory while the output is blocked, because
// each of them is long, such as lines that quote what a target sent.
func TestMemoryOfQueuedLinesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lineBytes, maxQueuedBytes = 256 << 10, 32 << 20
		g := NewWithT(t)
		r, out := io.Pipe()
		w := logs.NewWriter(out, 1000)
		defer w.Close(time.Second)
		defer r.Close()
		line := append(bytes.Repeat([]byte("x"), lineBytes-1), '\n')
		before := heapInUse()
		for range 1000 {
			n, err := w.Write(line)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(lineBytes))
		}
		used := heapInUse() - before
		t.Logf("%d KiB in use", used>>10)
		g.Expect(used).To(BeNumerically("<", maxQueuedBytes))
	})
}

// Guards against a long line that swallows the next one or is cut without a trace.
func TestLongLineIsShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		w := logs.NewWriter(&out, 10)
		_, _ = fmt.Fprintln(w, "msg=long "+strings.Repeat("x", 1<<20))
		_, _ = fmt.Fprintln(w, "msg=next")
		w.Close(time.Second)
		lines := strings.Split(out.String(), "\n")
		g.Expect(lines).To(HaveLen(3))
		g.Expect(lines[0]).To(HavePrefix("msg=long xxx"))
		g.Expect(lines[0]).To(HaveSuffix("... (line of 1048586 bytes)"))
		g.Expect(lines[1]).To(Equal("msg=next"))
	})
}

// heapInUse returns the number of bytes of reachable objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
