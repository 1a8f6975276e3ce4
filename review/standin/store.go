package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time that the store takes to answer a call.
	storeAnswerTime = 4 * time.Millisecond
	// storeHistory is how long the store keeps its changes.
	storeHistory = 20 * time.Second
	storePage    = 500
	maxStoreWait = 30 * time.Second
)

// row is a row of the store, in its JSON encoding.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schema_ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type loggedRow struct {
	row
	at time.Time
}

// store is the platform's store: tables of rows with a common version counter, as
// PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	log     []loggedRow
	version int64
	// dropped is the version up to which the history is gone.
	dropped int64
	// changed is closed and replaced at each transaction.
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row on behalf of the operator or a server, and returns when it was
// accepted.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
	return time.Now()
}

// remove deletes a row on behalf of a server, and returns when that was accepted.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
	return time.Now()
}

// apply makes one transaction; s.mu is held.
func (s *store) apply(put, del []row) {
	s.version++
	now := time.Now()
	for _, r := range put {
		r.Version = s.version
		s.rows[r.id()] = r
		s.log = append(s.log, loggedRow{r, now})
	}
	for _, r := range del {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.log = append(s.log, loggedRow{row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}, now})
	}
	for len(s.log) > 0 && now.Sub(s.log[0].at) > storeHistory {
		s.dropped = s.log[0].Version
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"schema_ver"`
	NowMS   int64 `json:"now_ms"`
}

func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(storeAnswerTime)
	q := req.URL.Query()
	switch req.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, req)
	case "/rows-get":
		s.serveGet(w, q.Get("table_name"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		s.serveFeed(w, req, q.Get("table_name"), after, min(time.Duration(wait)*time.Millisecond, maxStoreWait))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, req *http.Request) {
	var t struct{ Expect, Put, Delete []row }
	if err := json.NewDecoder(req.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Put)+len(t.Delete) > 100 {
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
		if s.rows[r.id()].Version != r.Version {
			conflicts = append(conflicts, s.rows[r.id()])
		}
	}
	if len(conflicts) > 0 {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(conflicts))
		return
	}
	s.apply(t.Put, t.Delete)
	writeJSON(w, http.StatusOK, s.answer(nil))
}

func (s *store) serveGet(w http.ResponseWriter, table, part, from, to, limitText string) {
	limit := storePage
	if n, err := strconv.Atoi(limitText); err == nil && n > 0 {
		limit = min(n, storePage)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for id, r := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	a := s.answer(rows[:min(limit, len(rows))])
	a.More = more
	writeJSON(w, http.StatusOK, a)
}

func (s *store) serveFeed(w http.ResponseWriter, req *http.Request, table string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, r := range s.log {
			if r.Table == table && r.Version > after && len(rows) <= storePage {
				rows = append(rows, r.row)
			}
		}
		a := s.answer(rows)
		if len(rows) > storePage {
			a.Rows, a.More = rows[:storePage], true
			a.Version = rows[storePage-1].Version
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-req.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
