package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait to be written.
	maxQueuedLines = 2048
	// maxLineBytes is the maximum length of a line. The queue then takes at most 8 MiB
	// while the output is blocked.
	maxLineBytes = 4 << 10
	// DefaultRate is the default limit in lines per second.
	DefaultRate = 400
	// burstSeconds is the capacity of the token bucket, in seconds of the rate.
	burstSeconds = 5
)

// Writer writes lines to an output in the background. Write never blocks; a line
// that exceeds the queue or the rate limit is dropped, and the next line that is
// accepted is preceded by one with the number of dropped lines. A line that exceeds
// maxLineBytes is shortened.
type Writer struct {
	out   io.Writer
	rate  float64
	lines chan []byte
	done  chan struct{}

	mu             sync.Mutex
	closed         bool
	tokens         float64
	refilledAt     time.Time
	pendingDropped uint64
	totalDropped   uint64
}

// NewWriter returns a writer that is limited to rate lines per second; a rate of 0
// means DefaultRate.
func NewWriter(out io.Writer, rate int) *Writer {
	if rate <= 0 {
		rate = DefaultRate
	}
	w := &Writer{
		out:        out,
		rate:       float64(rate),
		lines:      make(chan []byte, maxQueuedLines),
		done:       make(chan struct{}),
		tokens:     float64(rate * burstSeconds),
		refilledAt: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allow(time.Now()) {
		w.drop()
		return len(line), nil
	}
	queued := shorten(line)
	if w.pendingDropped > 0 {
		queued = append(fmt.Appendf(nil, "msg=\"log lines dropped\" count=%d\n", w.pendingDropped), queued...)
	}
	select {
	case w.lines <- queued:
		w.pendingDropped = 0
	default:
		w.drop()
	}
	return len(line), nil
}

// shorten returns a copy of the line with at most maxLineBytes of its text.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	return fmt.Appendf(nil, "%s... (line of %d bytes)\n", line[:maxLineBytes], len(line))
}

func (w *Writer) drop() {
	w.pendingDropped++
	w.totalDropped++
}

// allow takes one token from the token bucket and reports whether there was one.
func (w *Writer) allow(now time.Time) bool {
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*w.rate, w.rate*burstSeconds)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int64(w.totalDropped)
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.countLost()
		}
	}
}

// countLost counts a line that could not be written: there is no other place to report
// that the log itself is lost.
func (w *Writer) countLost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop()
}

// Close flushes the queued lines, for at most the given time. Lines that are
// written later are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
