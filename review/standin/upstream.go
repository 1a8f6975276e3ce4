package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	upstreamSlots     = 2
	upstreamQueue     = 8
)

// upstream is one run of a server of the platform, as PROTOCOL.md describes it.
type upstream struct {
	id      string
	service string
	zone    string
	address string
	born    int64
	work    time.Duration
	// listBytes is the size of the answer to a GET, and listTime how long the server takes
	// to send it.
	listBytes int
	listTime  time.Duration
	record    *record
	store     *store
	server    *http.Server
	slots     chan struct{}
	stopBeat  chan struct{}

	mu      sync.Mutex
	waiting int
	seq     int64
	state   string
}

// startUpstream starts a run of the server id at the address. born is the time of its
// start by its own clock.
func startUpstream(r *record, s *store, id, service, zone, address string, work time.Duration, born time.Time) (*upstream, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: born.UnixMilli(), work: work,
		record: r, store: s, slots: make(chan struct{}, upstreamSlots), stopBeat: make(chan struct{}), state: "ready",
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	at := u.beat()
	r.add("server %s starts at %s, born %d by its own clock, store accepted %s", id, u.address, u.born, r.clock(at))
	go u.beatLoop()
	return u, nil
}

// beat writes the entry and returns when the store accepted it.
func (u *upstream) beat() time.Time {
	u.mu.Lock()
	u.seq++
	entry := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": upstreamSlots,
		"state": u.state, "cold_left_ms": 0, "seq_no": u.seq, "born": u.born,
	}
	defer u.mu.Unlock()
	return u.store.put("servers", u.id, entry)
}

func (u *upstream) beatLoop() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-u.stopBeat:
			return
		case <-tick.C:
			u.beat()
		}
	}
}

// drain reports draining and returns when the store accepted that.
func (u *upstream) drain() time.Time {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	at := u.beat()
	u.record.add("server %s reports draining, store accepted %s", u.id, u.record.clock(at))
	return at
}

func (u *upstream) draining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state == "draining"
}

// crash ends the run without a word.
func (u *upstream) crash() {
	close(u.stopBeat)
	_ = u.server.Close()
	u.record.add("server %s crashes", u.id)
}

// leave ends the run after its shutdown and removes its entry.
func (u *upstream) leave() {
	close(u.stopBeat)
	u.store.remove("servers", u.id)
	_ = u.server.Close()
	u.record.add("server %s has left", u.id)
}

// enter takes a slot, or reports false if the queue is full.
func (u *upstream) enter(done <-chan struct{}) bool {
	u.mu.Lock()
	if u.waiting >= upstreamQueue+upstreamSlots {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-done:
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
		return false
	}
}

func (u *upstream) exit() {
	<-u.slots
	u.mu.Lock()
	u.waiting--
	u.mu.Unlock()
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if want := req.Header.Get("Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.record.arrived(u.id, id)
	w.Header().Set("Request-Id", id)
	if u.draining() {
		w.Header().Set("Server-Leaving", "1")
	}
	if !u.enter(req.Context().Done()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.exit()
	u.record.ran(u.id, id)
	body, _ := io.ReadAll(req.Body)
	work := u.work
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
		work = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		return
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(u.slots), upstreamSlots))
	w.Header().Set("Response-Seal", "seal."+id)
	if work < u.work {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if req.Method == http.MethodGet && u.listBytes > 0 {
		u.sendList(w, id)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d bytes by %s\n", req.Method, id, len(body), u.id)
}

// listParts is the number of parts in which a list is sent.
const listParts = 16

// sendList sends a long answer in parts, over listTime.
func (u *upstream) sendList(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Length", strconv.Itoa(u.listBytes))
	body := listBody(id, u.listBytes)
	for part := range slices.Chunk(body, (len(body)+listParts-1)/listParts) {
		if _, err := w.Write(part); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(u.listTime / listParts)
	}
}

// listBody returns the bytes of the answer to a request.
func listBody(id string, size int) []byte {
	line := []byte(id + " price list\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}
