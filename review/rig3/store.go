package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of a table in the encoding of the platform's store.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver,omitempty"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type rowsBody struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"schema_ver"`
	NowMS   int64 `json:"now_ms"`
}

type txBody struct {
	Expect []row `json:"expect"`
	Put    []row `json:"put"`
	Delete []row `json:"delete"`
}

// content is what a copy of the store holds.
type content struct {
	rows    map[rowID]row
	log     []row
	version int64
}

// store is a stand-in for the platform's store: rows, transactions, reads and the feed.
type store struct {
	mu      sync.Mutex
	content content
	era     int
	away    bool
	// hold, if set, says for a call from this host how long its answer is held back.
	hold    func(host, path string) time.Duration
	changed chan struct{}
	began   time.Time
	calls   int
}

const callTime = 4 * time.Millisecond

func newStore() *store {
	return &store{content: content{rows: map[rowID]row{}}, era: 1, changed: make(chan struct{}), began: time.Now()}
}

func (s *store) listen(host string) string {
	l, err := net.Listen("tcp4", host+":0")
	must(err)
	go http.Serve(l, s)
	return l.Addr().String()
}

// put writes a row of the operator or of a server. It reports false while the store is away.
func (s *store) put(table, key string, value any) (at time.Time, version int64, ok bool) {
	data, err := json.Marshal(value)
	must(err)
	return s.write(txBody{Put: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) drop(table, key string) (at time.Time, version int64, ok bool) {
	return s.write(txBody{Delete: []row{{Table: table, Key: key}}})
}

func (s *store) write(t txBody) (at time.Time, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return time.Time{}, 0, false
	}
	s.apply(t)
	return time.Now(), s.content.version, true
}

func (s *store) apply(t txBody) {
	c := &s.content
	c.version++
	for _, r := range t.Put {
		r.Version, r.Deleted = c.version, false
		c.rows[r.id()] = r
		c.log = append(c.log, r)
	}
	for _, r := range t.Delete {
		delete(c.rows, r.id())
		c.log = append(c.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: c.version, Deleted: true})
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup returns a copy of the store.
func (s *store) backup() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return content{rows: maps.Clone(s.content.rows), log: slices.Clone(s.content.log), version: s.content.version}
}

// leave makes the store refuse all calls; back lets it return from the copy.
func (s *store) leave() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
	return s.content.version
}

func (s *store) back(c *content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil {
		s.content = *c
		s.era++
	}
	s.away = false
	s.wake()
}

func (s *store) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.version
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	s.mu.Lock()
	away, era, hold := s.away, s.era, s.hold
	s.calls++
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(callTime)
	if hold != nil {
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		if d := hold(host, req.URL.Path); d > 0 {
			select {
			case <-time.After(d):
			case <-req.Context().Done():
				return
			}
		}
	}
	switch req.URL.Path {
	case "/rows-tx":
		s.transact(w, body)
	case "/rows-get":
		s.get(w, req)
	case "/rows-feed":
		s.feed(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(rowsBody{Rows: rows, Version: s.content.version, NowMS: time.Since(s.began).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var t txBody
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, r := range slices.Concat(t.Put, t.Delete) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, r := range t.Expect {
		if s.content.rows[r.id()].Version != r.Version {
			conflicts = append(conflicts, s.content.rows[r.id()])
		}
	}
	if len(conflicts) > 0 {
		s.reply(w, http.StatusPreconditionFailed, conflicts)
		return
	}
	s.apply(t)
	s.reply(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for id, r := range s.content.rows {
		if id.table == q.Get("table_name") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	s.reply(w, http.StatusOK, rows)
}

// feed answers with the changes after a version, as soon as there is one. A version that
// the store does not have gets 410.
func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.content.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.changes(q.Get("table_name"), after)
		if len(rows) > 0 || waitMS == 0 {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			waitMS = 0
		case <-req.Context().Done():
			return
		}
	}
}

// changes returns the last change of each row of a table after a version, in their order.
func (s *store) changes(table string, after int64) []row {
	last := map[rowID]int64{}
	for _, r := range s.content.log {
		last[r.id()] = r.Version
	}
	var out []row
	for _, r := range s.content.log {
		if r.Table == table && r.Version > after && last[r.id()] == r.Version {
			out = append(out, r)
		}
	}
	return out
}
