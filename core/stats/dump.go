package stats

import "sync"

// Dump collects the state of the parts of a process on request.
type Dump struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// NewDump returns a dump without parts.
func NewDump() *Dump {
	return &Dump{parts: map[string]func() any{}}
}

// Add registers the function that returns the state of a part; the state must
// encode as JSON.
func (d *Dump) Add(part string, read func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[part] = read
}

// Read returns the state of one part, or of all parts by name if part is empty.
func (d *Dump) Read(part string) any {
	d.mu.Lock()
	reads := make(map[string]func() any, len(d.parts))
	for n, read := range d.parts {
		if part == "" || part == n {
			reads[n] = read
		}
	}
	d.mu.Unlock()
	state := make(map[string]any, len(reads))
	for n, read := range reads {
		state[n] = read()
	}
	return state
}
