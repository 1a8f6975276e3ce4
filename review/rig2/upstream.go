package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// expiry is the silence after which the platform removes an entry: three heartbeats.
	expiry = 3 * heartbeatInterval
	// workTime is how long an upstream works on a request.
	workTime = 40 * time.Millisecond
	slots    = 4
)

// Upstream is a sound upstream: it serves each request that is meant for it, and keeps its
// entry in the store.
type Upstream struct {
	ID      string
	service string
	zone    string
	born    int64
	store   *Store
	record  *Record
	server  *http.Server
	address string

	mu       sync.Mutex
	seq      int64
	lastPing time.Time
	// leaving is set once the upstream drains.
	leaving bool
	runs    []Run
}

// Run is a request that an upstream ran.
type Run struct {
	ID string
	At time.Time
}

// NewUpstream starts an upstream.
func NewUpstream(id, service, zone string, store *Store, record *Record) (*Upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{ID: id, service: service, zone: zone, born: time.Now().UnixMilli(), store: store, record: record, address: listener.Addr().String()}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// Ping writes the entry. It returns false if the store is down.
func (u *Upstream) Ping() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	ok := u.store.Put("servers", u.ID, u.nextEntry())
	if ok {
		u.lastPing = time.Now()
	}
	return ok
}

// PingLate sends a ping whose answer is lost, and which the store performs after a delay.
func (u *Upstream) PingLate(delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry := u.nextEntry()
	u.record.Notef("upstream %s pings as %s with seq_no %d; the answer is lost and the write is late by %s", u.ID, entry["state"], u.seq, delay)
	time.AfterFunc(delay, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.store.Put("servers", u.ID, entry) {
			u.lastPing = time.Now()
			u.record.Notef("the store performs the late write of %s with seq_no %d", u.ID, entry["seq_no"])
		}
	})
}

// Drain reports that the upstream leaves, and returns when the store had accepted it. From
// then on the upstream says so in its answers too, and serves on.
func (u *Upstream) Drain() time.Time {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.Ping()
	u.record.Notef("the store acknowledged that %s is draining", u.ID)
	return time.Now()
}

// Leave removes the entry of the upstream, which leaves without reporting that it drains,
// and returns when the store had accepted that. The upstream serves on.
func (u *Upstream) Leave() time.Time {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.store.Expire("servers", u.ID)
	u.record.Notef("the store acknowledged that %s is gone", u.ID)
	return time.Now()
}

// nextEntry returns the entry of the next ping. The caller holds u.mu.
func (u *Upstream) nextEntry() map[string]any {
	u.seq++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	return map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": slots,
		"state": state, "cold_left_ms": 0, "seq_no": u.seq, "born": u.born,
	}
}

// run pings at each interval after the first time, and lets the platform remove the entry
// after three intervals of silence.
func (u *Upstream) run(ctx context.Context, first time.Time) {
	next := first
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	back := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if !now.Before(next) {
			next = next.Add(heartbeatInterval)
			ok := u.Ping()
			if ok != back {
				u.record.Logf("upstream %s: entry written: %v", u.ID, ok)
			}
			back = ok
		}
		u.mu.Lock()
		silent := now.Sub(u.lastPing) >= expiry
		u.mu.Unlock()
		if silent && u.store.Expire("servers", u.ID) {
			u.record.Logf("platform: entry of %s expired", u.ID)
		}
	}
}

// Runs returns the requests that the upstream ran.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// ServeHTTP runs one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Header.Get("Expect-Instance") != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Request-Id")
	u.mu.Lock()
	leaving := u.leaving
	u.runs = append(u.runs, Run{ID: id, At: time.Now()})
	u.mu.Unlock()
	u.record.Logf("%s runs %s, leaving: %v", u.ID, id, leaving)
	time.Sleep(workTime)
	body := fmt.Sprintf("%s by %s", id, u.ID)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", slots))
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	_, _ = w.Write([]byte(body))
}
