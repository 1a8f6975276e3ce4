package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// timeLimit is how long a consumer waits for an answer, in Deadline-Ms.
	timeLimit = 1500 * time.Millisecond
	host      = "shop.example"
)

// Request is one request of a consumer, and what became of it.
type Request struct {
	ID      string
	SentAt  time.Time
	Address string
	// Outcome is the status of the answer, or why there is none.
	Outcome string
}

// Served reports whether the consumer got the whole answer of an upstream.
func (q *Request) Served() bool {
	return q.Outcome == "200"
}

// Consumers send requests at a steady rate, each on a new connection, to addresses that
// the daemons name.
type Consumers struct {
	fleet  *Fleet
	record *Record
	path   string
	method string

	mu        sync.Mutex
	addresses []string
	requests  []*Request
	pending   sync.WaitGroup
	paused    bool
}

// NewConsumers returns consumers of a path.
func NewConsumers(fleet *Fleet, record *Record, method, path string) *Consumers {
	return &Consumers{fleet: fleet, record: record, method: method, path: path}
}

// run sends a request at each interval until ctx ends, and returns once all have ended.
func (c *Consumers) run(ctx context.Context, interval time.Duration) {
	go c.runLookups(ctx)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			c.pending.Wait()
			return
		case <-tick.C:
		}
		if c.isPaused() {
			continue
		}
		q := &Request{ID: fmt.Sprintf("r%05d", number), SentAt: time.Now(), Address: c.pick()}
		c.mu.Lock()
		c.requests = append(c.requests, q)
		c.mu.Unlock()
		c.pending.Add(1)
		go func() {
			defer c.pending.Done()
			c.send(q)
		}()
	}
}

// SetPaused makes the consumers send nothing, or go on.
func (c *Consumers) SetPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
}

func (c *Consumers) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// SentAt returns when each request was sent.
func (c *Consumers) SentAt() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]time.Time{}
	for _, q := range c.requests {
		out[q.ID] = q.SentAt
	}
	return out
}

// runLookups asks a daemon each second where to connect. The last answer is kept if none
// can be had.
func (c *Consumers) runLookups(ctx context.Context) {
	for ctx.Err() == nil {
		c.lookup()
		time.Sleep(time.Second)
	}
}

func (c *Consumers) lookup() {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(c.fleet.Daemons)) {
		d := c.fleet.Daemons[i]
		resp, err := client.Get("http://" + d.directory() + "/resolve?name=" + host + "&region=region-1&zone=a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.addresses = answer.Addresses
		c.mu.Unlock()
		return
	}
}

func (c *Consumers) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// send sends the request and records its outcome.
func (c *Consumers) send(q *Request) {
	outcome := c.exchange(q)
	c.mu.Lock()
	q.Outcome = outcome
	c.mu.Unlock()
	c.record.Logf("request %s sent at %.3f s to %s: %s", q.ID, q.SentAt.Sub(c.record.started).Seconds(), q.Address, outcome)
}

func (c *Consumers) exchange(q *Request) string {
	if q.Address == "" {
		return "no address known"
	}
	conn, err := net.DialTimeout("tcp4", q.Address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(q.SentAt.Add(timeLimit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, host, q.ID, timeLimit.Milliseconds())
	if c.method != http.MethodGet {
		head += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return "cut, no answer"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "cut, no answer"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "cut, answer not complete"
	case resp.StatusCode == http.StatusOK && (resp.Header.Get("Response-Seal") != "seal-"+q.ID || !strings.HasPrefix(string(body), q.ID+" by ")):
		return "200 with a foreign answer"
	default:
		return fmt.Sprint(resp.StatusCode)
	}
}

// Share returns the number of requests sent from one time to another, and of those among
// them that were served.
func (c *Consumers) Share(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.requests {
		if q.SentAt.Before(from) || !q.SentAt.Before(to) {
			continue
		}
		sent++
		if q.Served() {
			served++
		}
	}
	return sent, served
}

// Outcomes counts the outcomes of the requests sent from one time to another.
func (c *Consumers) Outcomes(from, to time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, q := range c.requests {
		if !q.SentAt.Before(from) && q.SentAt.Before(to) {
			out[q.Outcome]++
		}
	}
	return out
}
