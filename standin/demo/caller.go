package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/stand"
)

// work is what a caller repeats.
type work struct {
	service fleet.ServiceID
	method  string
	path    string
	every   time.Duration
}

// caller is a counter, a handheld or a billing job: it asks for addresses,
// keeps them as long as it may, and connects there.
type caller struct {
	name   string
	centre fleet.DataCentre
	work   work
	boot   func() []string
	tally  *tally
	client *http.Client

	addresses []string
	until     time.Time
	token     string
	count     int
}

func newCaller(name string, centre fleet.DataCentre, w work, boot func() []string, t *tally) *caller {
	return &caller{name: name, centre: centre, work: w, boot: boot, tally: t, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

const (
	callTimeout = 8 * time.Second
	// maxCopies bounds how often a caller sends one order.
	maxCopies = 6
	copyPause = 150 * time.Millisecond
)

func (c *caller) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	defer c.client.CloseIdleConnections()
	for pause(ctx, c.work.every) {
		c.count++
		if c.work.method == http.MethodPost {
			c.order()
			continue
		}
		c.lookup()
	}
}

// refresh asks a daemon which addresses to use once the last response is too old.
func (c *caller) refresh() {
	if time.Now().Before(c.until) && len(c.addresses) > 0 {
		return
	}
	for _, address := range append(c.boot(), c.addresses...) {
		var list proxy.AddressList
		url := fmt.Sprintf("http://%s/v1/addresses?service=%s&data-centre=%s", address, c.work.service, c.centre)
		if c.fetch(http.MethodGet, url, &list) != nil || len(list.Addresses) == 0 {
			continue
		}
		c.addresses = c.addresses[:0]
		for _, a := range list.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.until = time.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
		c.token = ""
		return
	}
}

func (c *caller) fetch(method, url string, into any) error {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.NotReady, "status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// reply is what a caller learned from one copy of a request.
type reply struct {
	err     error
	status  int
	outcome fault.Outcome
	answer  stand.WorkResponse
	problem proxy.Problem
}

func (c *caller) lookup() {
	c.refresh()
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	var r reply
	for i := range min(len(c.addresses), maxTried) {
		r = c.send(c.addresses[i], id, "")
		if r.err == nil && r.problem.Retry != fault.RetryOtherAddress {
			break
		}
		c.until = time.Time{}
	}
	c.tally.lookup(c.work.service, id, r)
}

// maxTried is how many addresses a caller tries for one lookup.
const maxTried = 3

// order sends one order until its outcome is known or the copies are used up.
func (c *caller) order() {
	c.refresh()
	if c.token == "" && !c.newToken() {
		return
	}
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	key := c.token + "." + id
	var r reply
	for i := range maxCopies {
		if len(c.addresses) == 0 {
			break
		}
		r = c.send(c.addresses[i%len(c.addresses)], id, key)
		if r.outcome == fault.Run || r.outcome == fault.NotRun {
			break
		}
		c.until = time.Time{}
		pause(context.Background(), copyPause)
	}
	c.tally.order(c.work.service, id, key, r)
	if r.outcome != fault.Run {
		c.token = ""
	}
}

func (c *caller) newToken() bool {
	for _, address := range c.addresses {
		var t struct {
			Token string `json:"token"`
		}
		if c.fetch(http.MethodPost, fmt.Sprintf("http://%s/v1/order-tokens?service=%s", address, c.work.service), &t) == nil {
			c.token = t.Token
			return true
		}
	}
	return false
}

func (c *caller) send(address, id, key string) reply {
	var body io.Reader
	if c.work.method == http.MethodPost {
		body = bytes.NewReader([]byte(`{"item":"` + id + `"}`))
	}
	req, err := http.NewRequest(c.work.method, "http://"+address+c.work.path, body)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(proxy.HeaderService, string(c.work.service))
	req.Header.Set(proxy.HeaderRequestID, id)
	if key != "" {
		req.Header.Set(proxy.HeaderOrderKey, `"`+key+`"`)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	r := reply{status: resp.StatusCode, outcome: fault.Outcome(resp.Header.Get(proxy.HeaderOutcome))}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		r.err = json.Unmarshal(data, &r.problem)
		return r
	}
	if resp.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(data, &r.answer)
	}
	return r
}
