package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server got and did not reject.
type arrival struct {
	id, server, from string
	at, ended        time.Time
}

// server is an upstream: a few slots, a short queue, an entry in the store.
type server struct {
	id, service, zone string
	rec               *record
	st                *store
	work              func() time.Duration
	born              int64
	seq               atomic.Int64
	state             atomic.Value
	leaving           atomic.Bool
	// pad is the number of bytes that are added to each answer.
	pad int
	// breakEvery, if set, lets the server break off one in so many answers in the middle.
	breakEvery int64
	answers    atomic.Int64
	slots      chan struct{}
	waiting    atomic.Int32
	listener   net.Listener
	http       *http.Server
	stop       chan struct{}
	stopOnce   sync.Once

	mu       sync.Mutex
	arrivals []*arrival
}

const (
	beat         = 1500 * time.Millisecond
	slotsPerHost = 2
	queueLength  = 8
)

func newServer(rec *record, st *store, id, service, zone string, work func() time.Duration) *server {
	l, err := net.Listen("tcp4", randomIP()+":0")
	must(err)
	s := &server{
		id: id, service: service, zone: zone, rec: rec, st: st, work: work, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slotsPerHost), listener: l, stop: make(chan struct{}),
	}
	s.state.Store("ready")
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go s.http.Serve(l)
	s.register()
	go s.beats()
	return s
}

// entry returns the entry for the store, with the next number.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": slotsPerHost,
		"state": s.state.Load(), "cold_left_ms": 0, "seq_no": s.seq.Add(1), "born": s.born,
	}
}

// register writes the entry and returns when the store accepted it.
func (s *server) register() (time.Time, bool) {
	at, _, ok := s.st.put("servers", s.id, s.entry())
	return at, ok
}

// leave removes the entry of a server that leaves without reporting that it drains, and
// returns when the store accepted it. The server goes on serving.
func (s *server) leave() time.Time {
	s.leaving.Store(true)
	s.stopOnce.Do(func() { close(s.stop) })
	time.Sleep(20 * time.Millisecond) // A ping that has begun ends.
	at, _, ok := s.st.drop("servers", s.id)
	if !ok {
		must(fmt.Errorf("store is away at the end of %s", s.id))
	}
	return at
}

// beats renews the entry; while the store is away it tries again soon, so that the entry is
// written anew as soon as the store is back.
func (s *server) beats() {
	next := time.Duration(rand.Int64N(int64(beat)))
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(next):
		}
		next = beat - 50*time.Millisecond + rand.N(100*time.Millisecond)
		if _, ok := s.register(); !ok {
			next = 50 * time.Millisecond
		}
	}
}

// drain reports that the server leaves, and returns when the store accepted it.
func (s *server) drain() time.Time {
	s.leaving.Store(true)
	s.state.Store("draining")
	at, ok := s.register()
	if !ok {
		must(fmt.Errorf("store is away at the drain of %s", s.id))
	}
	return at
}

// endAfter ends a server that drains: once the time is over, and the requests that reached it
// within drain_ms have ended.
func (s *server) endAfter(acked time.Time, stay time.Duration) {
	time.Sleep(time.Until(acked.Add(stay)))
	for s.busySince(acked.Add(drainLimit)) {
		time.Sleep(10 * time.Millisecond)
	}
	s.end()
}

// busySince reports whether a request that arrived before the time is at work.
func (s *server) busySince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.Before(t) && a.ended.IsZero() {
			return true
		}
	}
	return false
}

// end ends the server, and deletes its entry unless that was done before.
func (s *server) end() {
	s.stopOnce.Do(func() {
		close(s.stop)
		s.st.drop("servers", s.id)
	})
	s.http.Close()
}

func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	id := req.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > slotsPerHost+queueLength {
		s.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	body, _ := io.ReadAll(req.Body)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	a := &arrival{id: id, server: s.id, from: req.RemoteAddr, at: time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.rec.log("run      %s at %s (%s)", id, s.id, s.service)
	select {
	case <-time.After(s.work()):
	case <-req.Context().Done():
		s.rec.log("cut      %s at %s", id, s.id)
	}
	s.mu.Lock()
	a.ended = time.Now()
	s.mu.Unlock()
	text := fmt.Sprintf("%s by %s: %s %s %d", id, s.id, req.Method, req.RequestURI, len(body))
	text += strings.Repeat(".", s.pad)
	h.Set("Response-Seal", "seal."+id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), max(int(s.waiting.Load())-len(s.slots), 0), slotsPerHost))
	if s.breakEvery > 0 && s.answers.Add(1)%s.breakEvery == 0 {
		s.rec.log("break    %s at %s", id, s.id)
		io.WriteString(w, text[:len(text)*4/5])
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
}

func (s *server) seen() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}
