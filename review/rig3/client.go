package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reply is what a consumer got for one request.
type reply struct {
	id     string
	daemon *daemon
	sent   time.Time
	ended  time.Time
	status int
	body   string
	err    error
}

// sender sends requests and keeps the replies.
type sender struct {
	rec    *record
	client *http.Client
	host   string
	key    string
	mu     sync.Mutex
	number int
	all    []*reply
	wg     sync.WaitGroup
}

func newSender(rec *record, host string) *sender {
	return &sender{rec: rec, host: host, client: &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true, IdleConnTimeout: 5 * time.Second},
	}}
}

// send sends one request to the daemon and returns at its end.
func (s *sender) send(d *daemon, method, path, body string, limit time.Duration) *reply {
	s.mu.Lock()
	s.number++
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), s.number)
	s.mu.Unlock()
	r := &reply{id: id, daemon: d, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+d.front()+path, strings.NewReader(body))
	must(err)
	req.Host = s.host
	if s.key != "" {
		req.Header.Set("Api-Key", s.key)
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	s.rec.log("send     %s to %s: %s %s", id, d.name, method, path)
	resp, err := s.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(data)
	}
	r.err, r.ended = err, time.Now()
	s.rec.log("answer   %s from %s: %d %q %v", id, d.name, r.status, r.body, err)
	s.mu.Lock()
	s.all = append(s.all, r)
	s.mu.Unlock()
	return r
}

// pace sends requests to random daemons at a mean interval until stop is closed.
func (s *sender) pace(stop <-chan struct{}, daemons []*daemon, every time.Duration, method, path string, limit time.Duration) {
	s.wg.Add(1)
	defer s.wg.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(every))):
		}
		d := daemons[rand.IntN(len(daemons))]
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.send(d, method, path, "order", limit)
		}()
	}
}

func (s *sender) replies() []*reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*reply(nil), s.all...)
}

func (s *sender) byID() map[string]*reply {
	out := map[string]*reply{}
	for _, r := range s.replies() {
		out[r.id] = r
	}
	return out
}
