package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// Logf adds a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Notef adds a line, and prints it too.
func (r *Record) Notef(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
