package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	server, request string
	at              time.Time
}

// answer is what a client saw of a request. status is 0 without an answer.
type answer struct {
	status int
	sent   time.Time
	ended  time.Time
	daemon string
	note   string
}

// record keeps what was sent, answered and run, and writes it to a file.
type record struct {
	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	start    time.Time
	arrivals []arrival
	runs     []arrival
	answers  map[string]answer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now(), answers: map[string]answer{}}, nil
}

// clock returns a time in seconds since the start of the case.
func (r *record) clock(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds())
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f  ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) arrived(server, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{server, request, time.Now()})
	r.addLocked("request %s reaches server %s", request, server)
}

func (r *record) ran(server, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, arrival{server, request, time.Now()})
	r.addLocked("request %s runs at server %s", request, server)
}

func (r *record) answered(request string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[request] = a
	r.addLocked("request %s sent %s to %s: status %d %s", request, r.clock(a.sent), a.daemon, a.status, a.note)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
