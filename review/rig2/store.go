package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row of a table as the platform's store encodes it.
type Row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver,omitempty"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in for the platform's store.
type Store struct {
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	rows    map[[3]string]Row
	changes []Row
	version int64
	changed chan struct{}
	down    bool
	// silenced is closed at the end of the outage in which no call is answered; nil if
	// there is none.
	silenced chan struct{}
	// called is called with the table of each call that reads changes, if it is set.
	called func(table string)
}

// NewStore returns a store that listens on a loopback address.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, started: time.Now(), rows: map[[3]string]Row{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// Address returns the address that the store listens on.
func (s *Store) Address() string {
	return s.listener.Addr().String()
}

// SetDown makes the store answer every call with 503, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetSilent makes the store leave every call without an answer, those that wait already
// too, or serve again. Calls that were made in the meantime stay without one.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		s.silenced = make(chan struct{})
		s.wake()
		return
	}
	close(s.silenced)
	s.silenced = nil
}

// OnFeedCall sets the function that is called with the table of each call that reads
// changes.
func (s *Store) OnFeedCall(called func(table string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.called = called
}

// Put writes a row for the operator or an upstream. It returns false, and does nothing,
// while the store is down.
func (s *Store) Put(table, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.silenced != nil {
		return false
	}
	s.apply(Row{Table: table, Key: key, Value: data})
	return true
}

// Expire deletes a row of an upstream that has not renewed it. The platform does so also
// while the store is down.
func (s *Store) Expire(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[[3]string{table, "", key}]; !ok {
		return false
	}
	s.apply(Row{Table: table, Key: key, Deleted: true})
	return true
}

func (s *Store) apply(r Row) {
	s.version++
	r.Version = s.version
	id := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.changes = append(s.changes, r)
	s.wake()
}

// wake ends the wait of all waiting calls. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	down, silent, called := s.down, s.silenced != nil, s.called
	s.mu.Unlock()
	if req.URL.Path == "/rows-feed" && called != nil {
		called(req.URL.Query().Get("table_name"))
	}
	switch {
	case silent:
		withhold(req)
		return
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch req.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, req)
	case "/rows-get":
		s.serveTable(w, req)
	case "/rows-feed":
		s.serveFeed(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// withhold leaves a call without an answer until its client closes the connection.
func withhold(req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Store) serveTransaction(w http.ResponseWriter, req *http.Request) {
	var t struct {
		Expect []Row `json:"expect"`
		Put    []Row `json:"put"`
		Delete []Row `json:"delete"`
	}
	if err := json.NewDecoder(req.Body).Decode(&t); err != nil || len(t.Expect) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range t.Put {
		s.apply(r)
	}
	for _, r := range t.Delete {
		r.Deleted = true
		s.apply(r)
	}
	s.respond(w, nil)
}

// respond writes the rows. The caller holds s.mu.
func (s *Store) respond(w http.ResponseWriter, rows []Row) {
	if rows == nil {
		rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": false, "schema_ver": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *Store) serveTable(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for _, r := range s.rows {
		if r.Table == q.Get("table_name") && r.Part == q.Get("part") && r.Key >= q.Get("from") {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	s.respond(w, rows)
}

// serveFeed answers with the last change of each row after a version, and waits for one.
func (s *Store) serveFeed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if s.silenced != nil {
			s.mu.Unlock()
			withhold(req)
		}
		rows := s.changesAfter(q.Get("table_name"), after)
		if len(rows) > 0 || !waiting {
			s.respond(w, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *Store) changesAfter(table string, after int64) []Row {
	last := map[string]Row{}
	for _, r := range s.changes {
		if r.Table == table && r.Version > after {
			last[r.Key] = r
		}
	}
	var rows []Row
	for _, r := range last {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows
}
