package stats

import "sync"

// StateDump collects the state of the parts of a process on request, for diagnostics.
type StateDump struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// NewStateDump returns a dump without parts.
func NewStateDump() *StateDump {
	return &StateDump{parts: map[string]func() any{}}
}

// Add registers a function that returns the state of a part. The state must be
// encodable as JSON.
func (d *StateDump) Add(part string, read func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[part] = read
}

// Read returns the state of one part, or of all parts if part is empty, keyed by
// the name of the part.
func (d *StateDump) Read(part string) any {
	d.mu.Lock()
	readers := make(map[string]func() any, len(d.parts))
	for name, read := range d.parts {
		if part == "" || part == name {
			readers[name] = read
		}
	}
	d.mu.Unlock()
	states := make(map[string]any, len(readers))
	for name, read := range readers {
		states[name] = read()
	}
	return states
}
